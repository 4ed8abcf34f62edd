#pragma once

#include "include/base/Error.h"
#include "include/streams/StreamSession.h"

namespace arbutus::serving {

// The caller's end of one stream: takes the tokens and ends with exactly one of
// finish() and fail(). Not safe to use from several threads.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;

    // Returns false when the caller does not take the token.
    bool token(const streams::Token& token) { return onToken(token); }
    void finish(streams::FinishReason reason, std::size_t promptTokens, std::size_t tokens) { onFinish(reason, promptTokens, tokens); }
    void fail(const base::Error& error, base::TimePoint now) { onFail(error, now); }

private:
    virtual bool onToken(const streams::Token&) = 0;
    virtual void onFinish(streams::FinishReason, std::size_t promptTokens, std::size_t tokens) = 0;
    virtual void onFail(const base::Error&, base::TimePoint now) = 0;
};

} // namespace arbutus::serving

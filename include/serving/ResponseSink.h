#pragma once

#include "include/base/Error.h"
#include "include/streams/StreamSession.h"

namespace arbutus::serving {

// Receives the response to one request: its tokens, then exactly one call of
// finish() or fail(). Not thread-safe.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;

    // Returns false if the token cannot be delivered because the caller disconnected or reads too slowly.
    bool token(const streams::Token& token) { return onToken(token); }
    void finish(streams::FinishReason reason, std::size_t promptTokens, std::size_t tokens) { onFinish(reason, promptTokens, tokens); }
    void fail(const base::Error& error, base::TimePoint now) { onFail(error, now); }

private:
    virtual bool onToken(const streams::Token&) = 0;
    virtual void onFinish(streams::FinishReason, std::size_t promptTokens, std::size_t tokens) = 0;
    virtual void onFail(const base::Error&, base::TimePoint now) = 0;
};

} // namespace arbutus::serving

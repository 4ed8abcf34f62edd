#pragma once

#include "include/http/BodyWriter.h"
#include "include/streams/ChannelCodec.h"

#include <cpprest/http_client.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace arbutus::http {

// The long-lived pair of calls between this process and one engine: steps out,
// results in. Safe to use from several threads.
class EngineChannel : public std::enable_shared_from_this<EngineChannel> {
public:
    using OnMessage = std::function<void(const streams::ChannelMessage&)>;
    // Called once, from any thread, when the channel has ended for any reason.
    using OnClosed = std::function<void()>;

    // `url` is the engine's root, `name` is unique among this process's channels.
    static std::shared_ptr<EngineChannel> Make(const std::string& url, const std::string& name, OnMessage, OnClosed);

    // Returns false when the channel has ended; the message was not sent then.
    bool send(const streams::ChannelMessage&);

    void close();

    bool isOpen() const { return isOpen_; }

private:
    EngineChannel(const std::string& url, OnMessage, OnClosed);

    void open(const std::string& name);
    bool receive(std::string_view bytes);

    web::http::client::http_client stepsClient_;
    web::http::client::http_client resultsClient_;
    OnMessage onMessage_;
    OnClosed onClosed_;
    BodyWriter steps_;
    streams::ChannelDecoder decoder_;
    pplx::cancellation_token_source cancellation_;
    std::atomic<bool> isOpen_ { true };
};

} // namespace arbutus::http

#pragma once

#include "include/http/BodyWriter.h"
#include "include/streams/ChannelCodec.h"

#include <cpprest/http_client.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace arbutus::http {

// A bidirectional channel to one engine, made of two long-lived HTTP requests: one
// sends steps, the other receives results. Thread-safe.
class EngineChannel : public std::enable_shared_from_this<EngineChannel> {
public:
    using OnMessage = std::function<void(const streams::ChannelMessage&)>;
    // Called once, from any thread, when the channel is closed for any reason.
    using OnClosed = std::function<void()>;

    // Opens a channel asynchronously. `url` is the engine's base URL; `name` must be
    // unique among the engine's channels. Throws if `url` is invalid.
    static std::shared_ptr<EngineChannel> Make(const std::string& url, const std::string& name, OnMessage, OnClosed);

    // Returns false, sending nothing, if the channel is closed or too much data is
    // pending.
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

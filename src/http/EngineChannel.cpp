#include "include/http/EngineChannel.h"

#include "include/http/ChunkReader.h"

namespace arbutus::http {

using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;
using web::http::client::http_client_config;

// A step or result holds at most a prompt and an activation, both bounded by the
// request size limit.
static constexpr std::size_t maxMessageBytes = std::size_t { 16 } << 20;
static constexpr std::size_t maxPendingBytes = std::size_t { 64 } << 20;

static http_client_config channelConfig()
{
    http_client_config config;
    // A lost connection is detected by missing load reports, not by this timeout.
    config.set_timeout(std::chrono::hours(24));
    return config;
}

EngineChannel::EngineChannel(const std::string& url, OnMessage onMessage, OnClosed onClosed)
    : stepsClient_(url, channelConfig())
    , resultsClient_(url, channelConfig())
    , onMessage_(std::move(onMessage))
    , onClosed_(std::move(onClosed))
    , decoder_(maxMessageBytes)
{
}

std::shared_ptr<EngineChannel> EngineChannel::Make(const std::string& url, const std::string& name, OnMessage onMessage, OnClosed onClosed)
{
    std::shared_ptr<EngineChannel> channel(new EngineChannel(url, std::move(onMessage), std::move(onClosed)));
    channel->open(name);
    return channel;
}

void EngineChannel::open(const std::string& name)
{
    auto self = shared_from_this();
    std::string path = "/engine/v1/channels/" + name;

    http_request results(web::http::methods::GET);
    results.set_request_uri(path + "/results");
    resultsClient_.request(results, cancellation_.get_token()).then([self](pplx::task<http_response> task) {
        try {
            auto response = task.get();
            if (response.status_code() != web::http::status_codes::OK) {
                self->close();
                return;
            }
            readChunks(
                response.body().streambuf(), [self](std::string_view bytes) { return self->receive(bytes); }, [self](bool) { self->close(); });
        } catch (const std::exception&) {
            self->close();
        }
    });

    http_request steps(web::http::methods::POST);
    steps.set_request_uri(path + "/steps");
    steps.set_body(steps_.stream(), "application/x-msgpack");
    stepsClient_.request(steps, cancellation_.get_token()).then([self](pplx::task<http_response> task) {
        try {
            task.get();
        } catch (const std::exception&) {
            // The channel is closed below, whatever the reason.
        }
        self->close();
    });
}

bool EngineChannel::receive(std::string_view bytes)
{
    decoder_.feed(bytes);
    while (isOpen_) {
        auto message = decoder_.next();
        if (!message)
            return false;
        if (!message.value())
            return true;
        onMessage_(*message.value());
    }
    return false;
}

bool EngineChannel::send(const streams::ChannelMessage& message)
{
    return isOpen_ && steps_.write(streams::encodeChannelMessage(message), maxPendingBytes);
}

void EngineChannel::close()
{
    if (!isOpen_.exchange(false))
        return;
    steps_.close();
    cancellation_.cancel();
    onClosed_();
}

} // namespace arbutus::http

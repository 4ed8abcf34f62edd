#include "tools/fakes/common/ListenerServer.h"

#include <fmt/format.h>

namespace arbutus::fakes {

using web::http::experimental::listener::http_listener;

ListenerServer::ListenerServer(std::unique_ptr<http_listener> listener)
    : listener_(std::move(listener))
{
}

base::Result<std::unique_ptr<ListenerServer>> ListenerServer::Make(const std::string& address, int port, Handler handler)
{
    try {
        auto listener = std::make_unique<http_listener>(web::uri(fmt::format("http://{}:{}/", address, port)));
        listener->support([handler = std::move(handler)](web::http::http_request request) { handler(request); });
        listener->open().wait();
        return std::unique_ptr<ListenerServer>(new ListenerServer(std::move(listener)));
    } catch (const std::exception& exception) {
        return base::makeError(base::ErrorKind::InvalidSetting, fmt::format("{}:{} cannot be bound: {}", address, port, exception.what()));
    }
}

void ListenerServer::close()
{
    if (!listener_)
        return;
    try {
        listener_->close().wait();
    } catch (const std::exception&) {
        // The listener is destroyed in any case.
    }
    listener_.reset();
}

ListenerServer::~ListenerServer() { close(); }

} // namespace arbutus::fakes

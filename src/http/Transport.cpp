#include "src/http/Transport.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace arbutus::http {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

class PlainTransport final : public Transport {
public:
    explicit PlainTransport(tcp::socket socket)
        : socket_(std::move(socket))
    {
    }

private:
    void onHandshake(Completion completion) override
    {
        boost::asio::post(socket_.get_executor(), [completion = std::move(completion)] { completion({}, 0); });
    }
    void onRead(boost::asio::mutable_buffer buffer, Completion completion) override { socket_.async_read_some(buffer, std::move(completion)); }
    void onWrite(boost::asio::const_buffer buffer, Completion completion) override { boost::asio::async_write(socket_, buffer, std::move(completion)); }
    tcp::socket& socket() override { return socket_; }

    tcp::socket socket_;
};

class TlsTransport final : public Transport {
public:
    TlsTransport(tcp::socket socket, boost::asio::ssl::context& tls)
        : stream_(std::move(socket), tls)
    {
    }

private:
    void onHandshake(Completion completion) override
    {
        stream_.async_handshake(boost::asio::ssl::stream_base::server, [completion = std::move(completion)](const error_code& error) { completion(error, 0); });
    }
    void onRead(boost::asio::mutable_buffer buffer, Completion completion) override { stream_.async_read_some(buffer, std::move(completion)); }
    void onWrite(boost::asio::const_buffer buffer, Completion completion) override { boost::asio::async_write(stream_, buffer, std::move(completion)); }
    tcp::socket& socket() override { return stream_.next_layer(); }

    boost::asio::ssl::stream<tcp::socket> stream_;
};

} // namespace

void Transport::shutdownWrites()
{
    error_code ignored;
    socket().shutdown(tcp::socket::shutdown_send, ignored);
}

void Transport::close()
{
    error_code ignored;
    socket().close(ignored);
}

std::unique_ptr<Transport> makeTransport(tcp::socket socket, boost::asio::ssl::context* tls)
{
    if (tls)
        return std::make_unique<TlsTransport>(std::move(socket), *tls);
    return std::make_unique<PlainTransport>(std::move(socket));
}

} // namespace arbutus::http

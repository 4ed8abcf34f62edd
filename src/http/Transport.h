#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl.hpp>

#include <functional>
#include <memory>

namespace arbutus::http {

// The bytes of one connection, plain or encrypted. Completions run on the event loop and
// never inside the call that started the operation.
class Transport {
public:
    using Completion = std::function<void(const boost::system::error_code&, std::size_t)>;

    virtual ~Transport() = default;

    void handshake(Completion completion) { onHandshake(std::move(completion)); }
    // Reads at least one byte.
    void read(boost::asio::mutable_buffer buffer, Completion completion) { onRead(buffer, std::move(completion)); }
    // Writes the whole buffer.
    void write(boost::asio::const_buffer buffer, Completion completion) { onWrite(buffer, std::move(completion)); }
    void shutdownWrites();
    // Pending operations complete with an error.
    void close();

private:
    virtual void onHandshake(Completion) = 0;
    virtual void onRead(boost::asio::mutable_buffer, Completion) = 0;
    virtual void onWrite(boost::asio::const_buffer, Completion) = 0;
    virtual boost::asio::ip::tcp::socket& socket() = 0;
};

// Encrypts if `tls` is not null.
std::unique_ptr<Transport> makeTransport(boost::asio::ip::tcp::socket, boost::asio::ssl::context* tls);

} // namespace arbutus::http

#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace arbutus::transport {

// Disables Nagle's algorithm and enables keep-alive. The connection fails if sent bytes
// stay unacknowledged for `unackedTimeout`, or if the host of an idle peer does not answer
// keep-alive probes. Without these options, a connection stays open for minutes during a
// network partition. Ignores options that the system does not support.
void configureSocket(boost::asio::ip::tcp::socket&, std::chrono::milliseconds unackedTimeout);

} // namespace arbutus::transport

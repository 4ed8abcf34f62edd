#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace arbutus::transport {

// Sends without delay, and gives up the connection if sent bytes stay
// unacknowledged for `unackedLimit`, or if the idle peer's host does not answer
// probes. Without it, a connection whose packets are lost during a partition
// stays open for minutes. Options that the system refuses are left out.
void configureSocket(boost::asio::ip::tcp::socket&, std::chrono::milliseconds unackedTimeout);

} // namespace arbutus::transport

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace arbutus::transport {

// The accepting side opens a connection with this text and a random challenge.
// The client's first frame carries its nonce as body, and the server's first
// frame confirms the keys; both have kind 0.
constexpr std::string_view greeting = "ARB1";
constexpr unsigned char handshakeKind = 0;
// Bound of what an unauthenticated peer can make the server store.
constexpr std::size_t maxHelloBytes = 256;
constexpr std::size_t readChunkBytes = 8192;

// Returns unpredictable bytes. A fixed seed would let a recorded connection be replayed.
std::string secureRandomBytes(std::size_t count);

} // namespace arbutus::transport

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace arbutus::transport {

// The server starts the handshake with this text and a random challenge. The body of the
// client's first frame is its nonce, and the server's first frame confirms the keys. Both
// frames have the kind `handshakeKind`.
constexpr std::string_view greeting = "ARB1";
constexpr unsigned char handshakeKind = 0;
// Limits how much the server buffers for an unauthenticated peer.
constexpr std::size_t maxHelloBytes = 256;
constexpr std::size_t readChunkBytes = 8192;

// Returns cryptographically secure random bytes. Predictable ones would allow a recorded
// connection to be replayed.
std::string secureRandomBytes(std::size_t count);

} // namespace arbutus::transport

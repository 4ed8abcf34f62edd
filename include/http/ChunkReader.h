#pragma once

#include <cpprest/streams.h>

#include <functional>
#include <string_view>

namespace arbutus::http {

// Reads a body as its bytes arrive and calls `onBytes` for each piece, then
// `onEnd` once, with whether the body ended as it should. Calls are one after
// another, on the library's threads. A false result of `onBytes` ends the reading.
void readChunks(concurrency::streams::streambuf<std::uint8_t> buffer, std::function<bool(std::string_view)> onBytes, std::function<void(bool didComplete)> onEnd);

} // namespace arbutus::http

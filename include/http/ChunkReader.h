#pragma once

#include <cpprest/streams.h>

#include <functional>
#include <string_view>

namespace arbutus::http {

// Reads a body as it arrives. Calls `onBytes` for each chunk and finally `onEnd` once;
// `didComplete` is true if the body was read to its end without an error. The calls
// are sequential and run on the library's threads. Reading stops if `onBytes` returns
// false.
void readChunks(concurrency::streams::streambuf<std::uint8_t> buffer, std::function<bool(std::string_view)> onBytes, std::function<void(bool didComplete)> onEnd);

} // namespace arbutus::http

#include "include/state/RawDigest.h"

#include "include/base/Digest.h"

#include <cassert>

namespace arbutus::state {

static unsigned hexDigitValue(char digit) { return static_cast<unsigned>(digit <= '9' ? digit - '0' : digit - 'a' + 10); }

RawDigest digestFromHex(std::string_view hex)
{
    RawDigest raw {};
    assert(hex.size() == raw.size() * 2);
    for (std::size_t i = 0; i < raw.size(); ++i)
        raw[i] = static_cast<char>(hexDigitValue(hex[2 * i]) << 4 | hexDigitValue(hex[2 * i + 1]));
    return raw;
}

RawDigest sha256Raw(std::string_view data) { return digestFromHex(base::sha256Hex(data)); }

std::string toHex(const RawDigest& raw) { return base::toHex({ raw.data(), raw.size() }); }

} // namespace arbutus::state

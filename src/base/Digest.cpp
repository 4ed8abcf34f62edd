#include "include/base/Digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

#include <cassert>

namespace arbutus::base {

static constexpr std::size_t sha256Bytes = 32;

std::string toHex(std::string_view bytes)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (unsigned char byte : bytes) {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 15]);
    }
    return text;
}

std::string sha256Hex(std::string_view data)
{
    std::string digest(sha256Bytes, '\0');
    unsigned int size = 0;
    [[maybe_unused]] int opensslStatus = EVP_Digest(data.data(), data.size(), reinterpret_cast<unsigned char*>(digest.data()), &size, EVP_sha256(), nullptr);
    assert(opensslStatus == 1 && size == sha256Bytes);
    return toHex(digest);
}

std::string hmacSha256(std::string_view key, std::string_view data)
{
    std::string digest(sha256Bytes, '\0');
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(data.data()), data.size(), reinterpret_cast<unsigned char*>(digest.data()), &size);
    assert(size == sha256Bytes);
    return digest;
}

bool isEqualConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && !CRYPTO_memcmp(left.data(), right.data(), left.size());
}

std::uint64_t hash64(std::string_view data, std::uint64_t seed) { return XXH64(data.data(), data.size(), seed); }

} // namespace arbutus::base

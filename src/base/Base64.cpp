#include "include/base/Base64.h"

#include <openssl/evp.h>

namespace arbutus::base {

std::string toBase64(std::string_view bytes)
{
    // EVP_EncodeBlock() writes a terminating null byte after the text.
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

Result<std::string> fromBase64(std::string_view text)
{
    if (text.size() % 4)
        return makeError(ErrorKind::InvalidRequest, "the text is not valid base64");
    std::string bytes(text.size() / 4 * 3, '\0');
    int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (size < 0)
        return makeError(ErrorKind::InvalidRequest, "the text is not valid base64");
    // EVP_DecodeBlock() decodes padding as zero bytes and includes them in the size.
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

} // namespace arbutus::base

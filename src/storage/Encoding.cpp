#include "src/storage/Encoding.h"

#include "include/base/Digest.h"

namespace arbutus::storage {

static constexpr std::size_t checksumHeaderBytes = 16;

std::string encodeChecksummed(std::uint64_t magic, std::string_view content)
{
    std::string file;
    file.reserve(checksumHeaderBytes + content.size());
    putInteger(file, magic);
    putInteger(file, base::hash64(content, magic));
    file += content;
    return file;
}

bool decodeChecksummed(std::uint64_t magic, std::string_view file, std::string_view& content)
{
    if (file.size() < checksumHeaderBytes || getInteger<std::uint64_t>(file, 0) != magic)
        return false;
    content = file.substr(checksumHeaderBytes);
    return getInteger<std::uint64_t>(file, 8) == base::hash64(content, magic);
}

} // namespace arbutus::storage

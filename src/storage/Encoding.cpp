#include "src/storage/Encoding.h"

#include "include/base/Digest.h"

namespace arbutus::storage {

static constexpr std::size_t sealBytes = 16;

std::string sealContent(std::uint64_t magic, std::string_view content)
{
    std::string file;
    file.reserve(sealBytes + content.size());
    putInteger(file, magic);
    putInteger(file, base::hash64(content, magic));
    file += content;
    return file;
}

bool unsealContent(std::uint64_t magic, std::string_view file, std::string_view& content)
{
    if (file.size() < sealBytes || getInteger<std::uint64_t>(file, 0) != magic)
        return false;
    content = file.substr(sealBytes);
    return getInteger<std::uint64_t>(file, 8) == base::hash64(content, magic);
}

} // namespace arbutus::storage

#include "src/transport/Handshake.h"

#include <openssl/rand.h>

#include <cstdio>
#include <cstdlib>

namespace arbutus::transport {

std::string secureRandomBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count)) != 1) {
        std::fputs("error transport: The system provides no secure random bytes.\n", stderr);
        std::abort();
    }
    return bytes;
}

} // namespace arbutus::transport

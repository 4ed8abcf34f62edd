#include "src/transport/Socket.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace arbutus::transport {

static constexpr int probeIdleSeconds = 10;
static constexpr int probeIntervalSeconds = 2;
static constexpr int probeCount = 3;

static void setOption(int descriptor, int level, int name, int value) { (void)::setsockopt(descriptor, level, name, &value, sizeof(value)); }

void configureSocket(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds unackedLimit)
{
    int descriptor = socket.native_handle();
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unackedLimit.count()));
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probeIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probeCount);
}

} // namespace arbutus::transport

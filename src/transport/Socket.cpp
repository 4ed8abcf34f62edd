#include "src/transport/Socket.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace arbutus::transport {

static constexpr int keepAliveIdleSeconds = 10;
static constexpr int keepAliveIntervalSeconds = 2;
static constexpr int keepAliveProbeCount = 3;

static void setOption(int descriptor, int level, int name, int value) { (void)::setsockopt(descriptor, level, name, &value, sizeof(value)); }

void configureSocket(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds unackedTimeout)
{
    int descriptor = socket.native_handle();
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unackedTimeout.count()));
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbeCount);
}

} // namespace arbutus::transport

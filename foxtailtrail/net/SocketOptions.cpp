#include "foxtailtrail/net/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace foxtail {

namespace {

    // These values detect an unresponsive peer after about three seconds.
    constexpr int keepAliveIdleSeconds = 1;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbes = 2;
    constexpr int userTimeoutMilliseconds = 3000;

    void setOption(int descriptor, int level, int name, int value) { setsockopt(descriptor, level, name, &value, sizeof(value)); }

}

void configureSocket(int descriptor)
{
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMilliseconds);
}

}

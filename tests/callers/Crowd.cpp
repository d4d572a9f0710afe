#include "tests/callers/Crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace foxtail::fleet {

namespace {

    // A crowd is over when nothing has moved for this long, and after the longest time in any case.
    constexpr std::chrono::seconds quietTime(2);
    constexpr std::chrono::seconds longestTime(30);
    // Small, so that answers that are not read stay at the VM.
    constexpr int receiveBufferBytes = 16 * 1024;

}

Crowd::Crowd(uint16_t port, size_t size)
    : members(size)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    for (Member& member : this->members) {
        member.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        setsockopt(member.descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        // A connection that cannot be made shows when it is used.
        static_cast<void>(connect(member.descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    }
}

Crowd::~Crowd()
{
    for (const Member& member : this->members) {
        if (member.descriptor >= 0)
            ::close(member.descriptor);
    }
}

void Crowd::queue(const std::string& bytes)
{
    for (Member& member : this->members)
        member.bytes += bytes;
}

void Crowd::queue(size_t member, const std::string& bytes) { this->members[member].bytes += bytes; }

void Crowd::play(size_t pieceBytes, Reading reading)
{
    const auto start = std::chrono::steady_clock::now();
    auto lastMoveAt = start;
    while (true) {
        bool hasMoved = false;
        bool hasBytes = false;
        for (Member& member : this->members) {
            if (member.descriptor < 0)
                continue;
            hasMoved = this->move(member, pieceBytes, reading) || hasMoved;
            hasBytes = hasBytes || (member.descriptor >= 0 && member.sent < member.bytes.size());
        }
        const auto now = std::chrono::steady_clock::now();
        if (hasMoved)
            lastMoveAt = now;
        if (now >= lastMoveAt + quietTime || now >= start + longestTime || (!hasBytes && reading != Reading::All && !hasMoved))
            return;
        std::this_thread::sleep_for(std::chrono::milliseconds(hasMoved ? 1 : 10));
    }
}

bool Crowd::move(Member& member, size_t pieceBytes, Reading reading)
{
    bool hasMoved = false;
    if (member.sent < member.bytes.size()) {
        const size_t count = std::min(pieceBytes, member.bytes.size() - member.sent);
        const ssize_t sent = ::send(member.descriptor, member.bytes.data() + member.sent, count, MSG_NOSIGNAL);
        if (sent > 0) {
            member.sent += static_cast<size_t>(sent);
            hasMoved = true;
        }
    }
    if (reading == Reading::None)
        return hasMoved;
    std::array<char, 65536> buffer {};
    const size_t limit = reading == Reading::All ? buffer.size() : 1;
    const ssize_t count = ::recv(member.descriptor, buffer.data(), limit, 0);
    if (count == 0 || (count < 0 && errno != EAGAIN && errno != ENOTCONN)) {
        ::close(member.descriptor);
        member.descriptor = -1;
    }
    return hasMoved || (count > 0 && reading == Reading::All);
}

}

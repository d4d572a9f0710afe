#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace foxtail::fleet {

// Many connections of callers that need not stay inside the limits. No call blocks, because a VM may stop reading.
class Crowd {
public:
    // How the members treat the answers.
    enum class Reading : uint8_t {
        All,
        None,
        OneByteAtATime,
    };

    Crowd(uint16_t port, size_t size);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    // Gives every member more bytes to send.
    void queue(const std::string& bytes);
    // Gives one member more bytes to send.
    void queue(size_t member, const std::string& bytes);
    // Sends a piece of every member in turn until all bytes are sent or their connections closed, or until nothing has moved for a while.
    void play(size_t pieceBytes, Reading);

private:
    struct Member {
        int descriptor = -1;
        std::string bytes;
        size_t sent = 0;
    };
    // Moves bytes of one member. Returns whether any were sent or received.
    bool move(Member&, size_t pieceBytes, Reading);

    std::vector<Member> members;
};

}

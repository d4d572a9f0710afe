#pragma once

#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace foxtail {

// What the memory that is held for callers contains.
enum class CallerMemory : uint8_t {
    // Bytes received or parsed of messages of ordinary size.
    Received,
    // Bytes received or parsed on connections that hold a place for a large message.
    LargeMessages,
    // Answers that were not sent yet.
    Unsent,
    // Session variables and prepared statements.
    Sessions,
};
constexpr std::array<std::string_view, 4> callerMemoryNames { "received", "large_messages", "unsent", "sessions" };

// Why a caller's connection or statement was turned away.
enum class MemoryRefusal : uint8_t {
    NoStart,
    SlowMessage,
    UnreadAnswer,
    Shortage,
    SessionTooLarge,
    NoDescriptor,
};
constexpr std::array<std::string_view, 6> memoryRefusalNames { "no_start", "slow_message", "unread_answer", "shortage", "session_too_large",
    "no_descriptor" };

// What one connection of a caller holds, as the budget sees it.
struct MemoryHolder {
    // Received and unsent bytes.
    size_t bytes = 0;
    bool hasStarted = false;
    bool holdsLargePlace = false;
    // Whether the connection waits for memory and this VM has stopped reading from it.
    bool isWaiting = false;
    bool isServed = false;
    TimePoint acceptedAt {};
    // When the incomplete message began, or a time of zero without one.
    TimePoint messageBegunAt {};
    // When the caller last sent bytes or took bytes of an answer.
    TimePoint lastProgressAt {};
    bool hasUnsentBytes = false;
};

// A connection to close, by its index, and the reason.
struct MemoryEviction {
    size_t holder = 0;
    MemoryRefusal reason = MemoryRefusal::Shortage;
};

// Divides the memory of a VM that is held for callers. It answers the load of callers that send large messages, many at a time or without
// an end, do not read their answers, or fill their sessions: the sum over all connections stays within a part of the VM's memory.
//
// A message larger than smallMessageBytes needs one of a fixed number of places, each of which holds everything that the message costs
// until its request is complete; others wait with their bytes unread. Ordinary messages, unsent answers and session state have parts of
// their own, so that large messages cannot displace them.
class MemoryBudget {
public:
    // A message up to this size needs no place.
    static constexpr size_t smallMessageBytes = size_t { 32 } * 1024;
    // Each connection may hold this much whatever the others hold.
    static constexpr size_t smallestBytes = size_t { 4 } * 1024;
    // No further request of a connection is handled while this much of its answers is unsent.
    static constexpr size_t maxUnsentBytes = size_t { 32 } * 1024;

    // A budget without memory, to be replaced by one that create() returns.
    MemoryBudget() = default;
    // Fails with MalformedRequest when the memory cannot hold one message of the maximum size.
    static Result<MemoryBudget> create(size_t memoryBytes, size_t descriptors);

    // Replaces an amount of one kind by another.
    void change(CallerMemory, size_t before, size_t after);
    size_t held(CallerMemory kind) const { return this->heldBytes[static_cast<size_t>(kind)]; }

    // Takes a place for a large message. Returns whether one was free.
    bool takeLargePlace();
    void returnLargePlace();

    // Returns whether the buffers of ordinary connections have room.
    bool hasBufferRoom() const { return this->bufferedBytes() < this->bufferLimit; }
    // Returns whether connections must be closed at once.
    bool isFarOver() const { return this->bufferedBytes() > 2 * this->bufferLimit; }
    // Returns whether a session may grow to the given size.
    bool maySessionGrow(size_t before, size_t after) const;
    size_t maxConnections() const { return this->connectionLimit; }
    // Returns the number of descriptors that are kept for backend servers, relays, other VMs and the store.
    size_t reservedDescriptors() const { return this->reservedDescriptorCount; }
    size_t largePlaces() const { return this->largePlaceCount; }

    // Returns the connections to close: those that have exceeded a time limit, and when memory is short those that hold most without
    // progress.
    std::vector<MemoryEviction> evictions(const std::vector<MemoryHolder>&, TimePoint now) const;

private:
    size_t bufferedBytes() const { return this->held(CallerMemory::Received) + this->held(CallerMemory::Unsent); }

    size_t largePlaceCount = 0;
    size_t takenPlaces = 0;
    size_t bufferLimit = 0;
    size_t sessionLimit = 0;
    size_t connectionLimit = 0;
    size_t reservedDescriptorCount = 0;
    std::array<size_t, callerMemoryNames.size()> heldBytes {};
};

}

#include "foxtailtrail/limits/MemoryBudget.h"

#include <algorithm>
#include <numeric>
#include <string>

namespace foxtail {

namespace {

    constexpr size_t mebibyte = size_t { 1 } << 20;
    // The program itself with its tables, before callers connect.
    constexpr size_t programBytes = 24 * mebibyte;
    // The received bytes of a message of 1 MiB, its parsed copies and what is sent to the backend server.
    constexpr size_t largeMessageCost = 6 * mebibyte;
    constexpr size_t maxLargePlaces = 64;
    // One session of twice the largest message.
    constexpr size_t maxSessionBytes = 2 * mebibyte;
    // A session up to this size may use what is kept free of larger ones.
    constexpr size_t smallSessionBytes = size_t { 16 } * 1024;
    // Descriptors for backend servers, relays, the store and other VMs.
    constexpr size_t minReservedDescriptors = 64;
    constexpr size_t reservedDescriptorDivisor = 8;

    // A caller closes its session when the reply to START takes more than two seconds.
    constexpr Duration startLimit = std::chrono::seconds(30);
    constexpr Duration startLimitWhenFull = std::chrono::seconds(2);
    // A message of 1 MiB takes one second of a link of 10 Mbit/s that it has for itself.
    constexpr Duration messageLimit = std::chrono::seconds(60);
    constexpr Duration messageLimitWhenShort = std::chrono::seconds(10);
    constexpr Duration unreadLimit = std::chrono::seconds(30);
    constexpr Duration stallLimitWhenShort = std::chrono::seconds(2);

    // Returns whether the caller, and not this VM, keeps the connection's bytes waiting.
    bool isWithoutProgress(const MemoryHolder& holder, TimePoint now)
    {
        return !holder.isServed && !holder.isWaiting && now >= holder.lastProgressAt + stallLimitWhenShort;
    }

}

Result<MemoryBudget> MemoryBudget::create(size_t memoryBytes, size_t descriptors)
{
    // Half of the rest is for backend servers, relays, control traffic and the slack of the heap.
    const size_t callerBytes = memoryBytes > programBytes ? (memoryBytes - programBytes) / 2 : 0;
    if (callerBytes < 2 * largeMessageCost)
        return fail(ErrorKind::MalformedRequest, "must be at least " + std::to_string((programBytes + 4 * largeMessageCost) / mebibyte));
    if (descriptors < 2 * minReservedDescriptors)
        return fail(ErrorKind::MalformedRequest, "must allow at least " + std::to_string(2 * minReservedDescriptors) + " descriptors");
    MemoryBudget budget;
    budget.largePlaceCount = std::min(maxLargePlaces, std::max<size_t>(1, callerBytes / 2 / largeMessageCost));
    const size_t rest = callerBytes - budget.largePlaceCount * largeMessageCost;
    budget.bufferLimit = rest / 2;
    budget.sessionLimit = rest / 2;
    budget.reservedDescriptorCount = std::max(minReservedDescriptors, descriptors / reservedDescriptorDivisor);
    budget.connectionLimit = std::min(descriptors - budget.reservedDescriptorCount, budget.bufferLimit / smallestBytes);
    return budget;
}

void MemoryBudget::change(CallerMemory kind, size_t before, size_t after)
{
    size_t& amount = this->heldBytes[static_cast<size_t>(kind)];
    amount = amount + after - before;
}

bool MemoryBudget::takeLargePlace()
{
    if (this->takenPlaces >= this->largePlaceCount)
        return false;
    ++this->takenPlaces;
    return true;
}

void MemoryBudget::returnLargePlace() { --this->takenPlaces; }

bool MemoryBudget::maySessionGrow(size_t before, size_t after) const
{
    if (after <= before)
        return true;
    const size_t allowed = after <= smallSessionBytes ? this->sessionLimit : this->sessionLimit - this->sessionLimit / 4;
    return after <= maxSessionBytes && this->held(CallerMemory::Sessions) + (after - before) <= allowed;
}

std::vector<MemoryEviction> MemoryBudget::evictions(const std::vector<MemoryHolder>& holders, TimePoint now) const
{
    std::vector<MemoryEviction> evicted;
    std::vector<size_t> rest;
    const bool isFull = holders.size() >= this->connectionLimit;
    const bool isLargePlaceAwaited = this->takenPlaces >= this->largePlaceCount
        && std::any_of(holders.begin(), holders.end(), [](const MemoryHolder& holder) { return holder.isWaiting; });
    for (size_t index = 0; index < holders.size(); ++index) {
        const MemoryHolder& holder = holders[index];
        const bool isReceiving = holder.messageBegunAt != TimePoint {} && !holder.isWaiting;
        const bool isStalled = isWithoutProgress(holder, now);
        if (!holder.hasStarted && !holder.isServed && now >= holder.acceptedAt + (isFull ? startLimitWhenFull : startLimit))
            evicted.push_back({ index, MemoryRefusal::NoStart });
        else if (isReceiving && now >= holder.messageBegunAt + messageLimit)
            evicted.push_back({ index, MemoryRefusal::SlowMessage });
        else if (holder.hasUnsentBytes && !holder.isServed && now >= holder.lastProgressAt + unreadLimit)
            evicted.push_back({ index, MemoryRefusal::UnreadAnswer });
        else if (isLargePlaceAwaited && holder.holdsLargePlace && !holder.isServed
            && (isStalled || now >= holder.messageBegunAt + messageLimitWhenShort))
            evicted.push_back({ index, MemoryRefusal::Shortage });
        else if (holder.bytes > 0 && !holder.holdsLargePlace)
            rest.push_back(index);
    }
    size_t buffered = this->bufferedBytes();
    if (buffered < this->bufferLimit)
        return evicted;
    // The connections without progress come first, and among them those that hold most.
    std::sort(rest.begin(), rest.end(), [&](size_t left, size_t right) {
        const bool isLeftStalled = isWithoutProgress(holders[left], now);
        const bool isRightStalled = isWithoutProgress(holders[right], now);
        return isLeftStalled != isRightStalled ? isLeftStalled : holders[left].bytes > holders[right].bytes;
    });
    const bool isFar = this->isFarOver();
    for (const size_t index : rest) {
        const bool isStalled = isWithoutProgress(holders[index], now);
        const size_t goal = isStalled ? this->bufferLimit - this->bufferLimit / 4 : this->bufferLimit;
        if (buffered < goal || (!isStalled && !isFar))
            break;
        buffered -= std::min(buffered, holders[index].bytes);
        evicted.push_back({ index, MemoryRefusal::Shortage });
    }
    return evicted;
}

}

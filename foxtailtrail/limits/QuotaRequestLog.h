#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace foxtail {

// A request to a quota allocator.
struct SentQuotaRequest {
    uint64_t number = 0;
    VmId allocator;
    TimePoint sentAt {};
};

// The requests of a VM to its quota allocator that have no reply. Decides when a request is repeated, and when an allocator does not
// respond: a lost message or a slow reply alone shows nothing.
class QuotaRequestLog {
public:
    // Records a request that is sent now and returns its number.
    uint64_t recordSent(const VmId& allocator, TimePoint now);
    // Returns true while the reply to the newest request may still arrive, so that no other one is sent.
    bool isReplyAwaited(TimePoint now) const;
    // Returns true when the newest request had no reply in time, so that it is repeated at once.
    bool isRepetitionDue(TimePoint now) const { return !this->unanswered.empty() && !this->isReplyAwaited(now); }
    // Records a reply and returns the request, or std::nullopt when a reply to it or to a newer one has been received. A reply to an older
    // request than the newest is valid too: the allocator counts the grant in it as used when it receives the newer request.
    std::optional<SentQuotaRequest> recordReply(uint64_t number);
    // Records that the VM answered that it cannot allocate quota. A request to it is repeated at once, to another VM. Returns false when
    // none is awaited, or after so many such answers in a row that the next request waits for its time.
    bool recordDeclined(const VmId&);
    // Returns the allocator once several requests to it in a row have had no reply, and forgets them.
    std::optional<VmId> takeUnresponsiveAllocator(TimePoint now);

private:
    // Ordered by number. All are sent to the same allocator.
    std::deque<SentQuotaRequest> unanswered;
    uint64_t lastNumber = 0;
    // The newest request was declined.
    bool isDeclined = false;
    size_t declinedInRow = 0;
};

}

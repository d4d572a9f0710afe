#pragma once

#include "foxtailtrail/config/Configuration.h"
#include "foxtailtrail/limits/LimitStrategy.h"

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>

namespace foxtail {

// Settings of TokenBorrower.
struct TokenBorrowerSettings {
    // The maximum time that a request waits for a token.
    Duration waitTimeout = std::chrono::milliseconds(100);
    // Tokens are prefetched for the requests expected in this interval, and again when half of them are used. Zero borrows only for
    // waiting requests, which turns the owner into a central bucket.
    Duration prefetchInterval = std::chrono::milliseconds(100);
    // Tokens for fewer expected requests than this are not prefetched, because most of them would expire unused.
    double minPrefetchTokens = 2;
    // A request to an owner counts as lost after this time: the round trip to the other region takes 16 ms.
    Duration resendTimeout = std::chrono::milliseconds(40);
    // An owner that has not replied for this time is assumed to have crashed: requests are refused without waiting.
    Duration ownerTimeout = std::chrono::seconds(1);
    // How long a reply that an organisation's bucket is empty is valid.
    Duration exhaustedLifetime = std::chrono::milliseconds(250);
    // The delay before the next prefetch after the owner had no tokens to spare.
    Duration prefetchRetryDelay = std::chrono::milliseconds(50);
    // The delay before the next request to an owner that refused to lend.
    Duration refusalRetryDelay = std::chrono::milliseconds(20);
    // How long a reply that the owner may not lend yet is valid.
    Duration notReadyLifetime = std::chrono::milliseconds(100);
    // The averaging time of the demand.
    Duration demandAveragingInterval = std::chrono::milliseconds(500);
    // The maximum number of waiting requests of one organisation.
    size_t maxWaitingRequests = 256;
};

// Returns settings that request a token from the owner for every single request: one bucket per organisation, at the cost of a
// round trip per request.
TokenBorrowerSettings centralBucketSettings();

// The tokens that one VM has borrowed from the owners of the limit shards, and the requests that wait for more.
class TokenBorrower final : public LimitStrategy {
public:
    // The incarnation differs between processes of the same VM and increases.
    TokenBorrower(TokenBorrowerSettings, VmId self, uint64_t incarnation);

    // Applies the owners of a configuration version. Tokens lent by earlier owners stay usable until they expire.
    void setOwners(const std::map<uint32_t, LimitShardOwner>&);

    Admission admit(const OrganisationId&, TimePoint requestDeadline, TimePoint now) override;
    std::vector<OutgoingBorrowRequest> collectRequests(TimePoint now) override;
    std::vector<CompletedAdmission> receive(const VmId& owner, const BorrowReply&, TimePoint now) override;
    std::vector<CompletedAdmission> expire(TimePoint now) override;
    void cancel(AdmissionTicket) override;

    // Returns all tokens, for a VM that stops. admit() must not be called afterwards.
    std::vector<OutgoingLoanReturn> returnAllLoans(TimePoint now);

    // Returns the tokens that the VM holds for an organisation.
    uint32_t tokensHeld(const OrganisationId&, TimePoint now) const;

private:
    struct HeldLoan {
        LoanId id;
        VmId lender;
        uint32_t tokens = 0;
        TimePoint expiresAt;
    };

    struct Waiter {
        AdmissionTicket ticket;
        TimePoint enqueuedAt;
        TimePoint deadline;
        // Whether the request's own deadline comes before the wait timeout.
        bool isRequestDeadline = false;
    };

    struct Account {
        uint32_t shard = 0;
        std::deque<HeldLoan> loans;
        std::vector<LoanBalance> closedLoans;
        std::deque<Waiter> waiters;
        // The request in flight, and when it counts as lost.
        std::optional<uint64_t> inFlightSequence;
        TimePoint resendAt;
        TimePoint nextRequestAt;
        // The owner had no tokens for prefetching, so the next prefetch waits until then.
        TimePoint nextPrefetchAt;
        // The last time that the owner replied with GrantStatus::Answered.
        std::optional<TimePoint> answeredAt;
        // The time of the first request that the owner has not replied to. Valid only while requests are still being sent.
        std::optional<TimePoint> firstUnansweredAt;
        TimePoint lastRequestAt;
        // The owner may not lend; requests are refused until then.
        TimePoint notReadyUntil;
        TimePoint exhaustedUntil;
        double expectedRate = 0;
        // Whether a request was refused for lack of tokens since the last borrow request.
        bool wasRefused = false;
        double demandPerSecond = 0;
        TimePoint demandAt;
    };

    struct PendingRequest {
        VmId owner;
        TimePoint sentAt;
        std::vector<OrganisationId> organisations;
    };

    Account& accountOf(const OrganisationId&, TimePoint now);
    bool isLentByOwner(const Account&, const HeldLoan&) const;
    bool isOwnerUnresponsive(const Account&, TimePoint now) const;
    double demandNow(const Account&, TimePoint now) const;
    double prefetchTarget(const Account&, TimePoint now) const;
    uint32_t wantedTokens(const Account&, TimePoint now) const;
    uint32_t prefetchTokens(const Account&, TimePoint now) const;
    std::vector<LoanBalance> heldLoans(const Account&, TimePoint now) const;
    bool useToken(Account&, TimePoint now);
    Admission refuse(const OrganisationId&, Account&, ErrorKind);
    bool exceedsExpectedRate(const Account&, size_t waitersAhead, TimePoint deadline, TimePoint now) const;
    std::optional<ErrorKind> immediateRefusal(const Account&, TimePoint deadline, TimePoint now) const;
    void addRequestItem(const OrganisationId&, Account&, TimePoint now, std::map<VmId, BorrowRequest>&);
    void applyGrant(Account&, const VmId& owner, const GrantItem&, TimePoint sentAt, TimePoint now);
    void completeWaiters(Account&, TimePoint now, std::vector<CompletedAdmission>&);
    ErrorKind expirationReason(const Account&, const Waiter&) const;

    TokenBorrowerSettings settings;
    VmId self;
    uint64_t incarnation;
    uint64_t lastTicket = 0;
    uint64_t lastSequence = 0;
    std::map<uint32_t, LimitShardOwner> owners;
    std::unordered_map<OrganisationId, Account> accounts;
    // The organisations that wait for or want tokens. collectRequests() and expire() visit only these.
    std::set<OrganisationId> activeOrganisations;
    std::map<uint64_t, PendingRequest> pendingRequests;
    std::map<AdmissionTicket, OrganisationId> organisationByTicket;
};

}

#pragma once

#include "foxtailtrail/config/Configuration.h"
#include "foxtailtrail/limits/LimitStrategy.h"

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>

namespace foxtail {

// Settings of ShareBorrower.
struct TokenBorrowerSettings {
    // The longest that a request waits for a token.
    Duration waitTimeout = std::chrono::milliseconds(100);
    // Tokens are borrowed ahead for the requests expected in this time, and again when half of them are used. Zero borrows only
    // for requests that wait, which makes the owner a central bucket.
    Duration prefetchInterval = std::chrono::milliseconds(100);
    // Fewer expected requests than this are not borrowed for ahead: such tokens would mostly lapse unused.
    double minPrefetchTokens = 2;
    // A request to an owner counts as lost after this time: the round trip to the other region is 16 ms.
    Duration resendTimeout = std::chrono::milliseconds(40);
    // An owner that has left requests unanswered for this time is taken for dead: requests are refused without waiting.
    Duration ownerTimeout = std::chrono::seconds(1);
    // How long the answer that an organisation's bucket is empty counts.
    Duration exhaustedLifetime = std::chrono::milliseconds(250);
    // How long to wait before tokens are wanted ahead of demand again, when the owner had none to spare.
    Duration prefetchRetryDelay = std::chrono::milliseconds(50);
    // How long to wait after an owner's refusal to lend before it is asked again.
    Duration refusalRetryDelay = std::chrono::milliseconds(20);
    // How long an owner's answer that it may not lend yet counts.
    Duration notReadyLifetime = std::chrono::milliseconds(100);
    // The averaging time of the demand.
    Duration demandAveragingInterval = std::chrono::milliseconds(500);
    // The most requests of one organisation that wait at one time.
    size_t maxWaitingRequests = 256;
};

// Settings that ask the owner for every single request: one bucket per organisation, at the cost of a round trip each.
TokenBorrowerSettings centralBucketSettings();

// The tokens that one VM has borrowed from the owners of the limit shards, and the requests that wait for more.
class TokenBorrower final : public LimitStrategy {
public:
    // The incarnation differs between processes of the same VM and rises.
    TokenBorrower(TokenBorrowerSettings, VmId self, uint64_t incarnation);

    // Takes over the owners of a configuration version. Tokens lent by earlier owners stay usable until they lapse.
    void setOwners(const std::map<uint32_t, LimitShardOwner>&);

    Admission admit(const OrganisationId&, TimePoint requestDeadline, TimePoint now) override;
    std::vector<OutgoingBorrowRequest> collectRequests(TimePoint now) override;
    std::vector<CompletedAdmission> receive(const VmId& owner, const BorrowReply&, TimePoint now) override;
    std::vector<CompletedAdmission> expire(TimePoint now) override;
    void cancel(AdmissionTicket) override;

    // Gives up all tokens, for a VM that stops. Nothing may be admitted afterwards.
    std::vector<OutgoingLoanReturn> returnAllLoans(TimePoint now);

    // The tokens that the VM holds for an organisation.
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
        // The request's own deadline comes before the end of the longest wait.
        bool isRequestDeadline = false;
    };

    struct Account {
        uint32_t shard = 0;
        std::deque<HeldLoan> loans;
        std::vector<LoanBalance> closedLoans;
        std::deque<Waiter> waiters;
        // The request on the way, and when it counts as lost.
        std::optional<uint64_t> inFlightSequence;
        TimePoint resendAt;
        TimePoint nextRequestAt;
        // The owner had nothing to lend ahead of demand.
        TimePoint nextPrefetchAt;
        // The last time that the owner answered with an Answered item.
        std::optional<TimePoint> answeredAt;
        // The owner has left requests unanswered since then. Counts only while requests are still being sent.
        std::optional<TimePoint> firstUnansweredAt;
        TimePoint lastRequestAt;
        // The owner said that it may not lend; requests are refused until then.
        TimePoint notReadyUntil;
        TimePoint exhaustedUntil;
        double expectedRate = 0;
        // A request was refused for want of tokens since the last question.
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
    bool exceedsExpectedRate(const Account&, size_t ahead, TimePoint deadline, TimePoint now) const;
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
    // The organisations that wait for or want tokens. Only these are visited by takeRequests() and expire().
    std::set<OrganisationId> activeOrganisations;
    std::map<uint64_t, PendingRequest> pendingRequests;
    std::map<AdmissionTicket, OrganisationId> organisationByTicket;
};

}

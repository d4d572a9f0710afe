#pragma once

#include "foxtailtrail/config/Configuration.h"
#include "foxtailtrail/limits/LoanMessages.h"
#include "foxtailtrail/limits/TokenBucket.h"

#include <optional>
#include <set>

namespace foxtail {

// Settings of ShareLender. All VMs of a fleet use the same values.
struct TokenLenderSettings {
    // The longest life of a loan.
    Duration loanLifetime = std::chrono::milliseconds(200);
    // The shortest life of a loan, and the life of loans for requests that wait already, as these are used when they arrive. A
    // round trip to the other region takes 16 ms.
    Duration minLoanLifetime = std::chrono::milliseconds(50);
    // Loans of an organisation with at most this rate per second have the shortest life. Its VMs borrow for requests that
    // already wait and use the tokens as they arrive, but until a used loan lapses its tokens are missing from the burst.
    double shortLoanMaxRate = 40;
    // How long an owner may lend after the last check that confirmed its configuration.
    Duration freshnessLifetime = std::chrono::seconds(3);
    // How long a reported demand counts without a new report.
    Duration demandLifetime = std::chrono::seconds(1);
    // Tokens are lent ahead of demand only from the part of the bucket above this part of the burst. Below it they would be
    // missing where requests wait.
    double prefetchReserve = 0.5;
    // An organisation exceeds its rate when its demand does by this factor. Random arrivals within the rate stay below it.
    double overloadFactor = 1.5;
    // Limits of askAgainAfter in answers.
    Duration minRetryDelay = std::chrono::milliseconds(10);
    Duration maxRetryDelay = std::chrono::milliseconds(50);
    // The largest relative error of a clock's speed.
    double maxClockDrift = 0.01;
    // How long the sequences of a VM are kept to recognise repeated requests.
    Duration sequenceLifetime = std::chrono::seconds(10);
};

// The share of each demand when the rate is divided max-min fairly: no share can grow without making a smaller one shrink.
std::vector<double> maxMinShares(double rate, const std::vector<double>& demands);

// Lends the rate and burst of the organisations whose limit shards this VM owns.
//
// A lent token stays outstanding until its loan is closed or has certainly lapsed, and the bucket fills only to the burst
// less the outstanding tokens. Tokens used in a window were therefore outstanding or in the bucket at its start, together at
// most the burst, or came in during the window at the rate. This holds for loans that are returned as well.
class TokenLender {
public:
    // The incarnation differs between processes of the same VM.
    TokenLender(TokenLenderSettings, uint64_t incarnation);

    // Takes over the limits of a configuration version. Buckets of unchanged shards keep their state.
    void setLimits(const std::map<OrganisationId, Organisation>&, TimePoint now);

    // Takes over the shards that a configuration version assigns to this VM, as epoch by shard. Every shard that is new, or new
    // at its epoch, lends from an empty bucket after the freshness time and the life of a loan, counted from acceptedBy.
    // acceptedBy is a moment, not before the start of this process, at which the version was known to be accepted: in the store
    // and at a majority of the witnesses.
    void setShards(const std::map<uint32_t, uint64_t>& epochByShard, TimePoint acceptedBy, TimePoint now);

    // Answers a request. Nothing is lent from servingDeadline on, the moment up to which the configuration is confirmed. The
    // grant counts from now, so now must be read after the request arrived.
    BorrowReply lend(const BorrowRequest&, TimePoint servingDeadline, TimePoint now);

    // Takes loans back. Unknown and lapsed loans are ignored.
    void returnLoans(const LoanReturn&, TimePoint now);

    // The moment from which this VM lends the tokens of a shard, or nothing when it does not own it.
    std::optional<TimePoint> lendingStartsAt(uint32_t shard) const;

private:
    struct OwnedShard {
        uint64_t epoch = 0;
        TimePoint lendingStartsAt;
    };

    struct Loan {
        uint32_t tokens = 0;
        TimePoint expiresAt;
    };

    // What one VM reported for an organisation, and the tokens that its share has earned.
    struct Borrower {
        double demandPerSecond = 0;
        TimePoint demandUntil;
        TokenBucket shareBucket;
    };

    struct Account {
        Organisation limit;
        Duration loanLifetime { 0 };
        TokenBucket bucket;
        std::map<uint64_t, Loan> loans;
        // The loans in the order in which they lapse.
        std::set<std::pair<TimePoint, uint64_t>> expirations;
        double outstandingTokens = 0;
        std::map<VmId, Borrower> borrowers;
    };

    // What one VM can expect of an organisation's rate.
    struct ShareEstimate {
        bool isOverloaded = false;
        double share = 0;
        double expectedRate = 0;
    };

    Duration withClockDrift(Duration) const;
    double fillRate(const Organisation&) const;
    Duration loanLifetimeFor(const Organisation&) const;
    Account makeAccount(const Organisation&, TimePoint lendFrom) const;
    void advance(Account&, TimePoint now) const;
    void removeLoan(Account&, uint64_t number, TimePoint now) const;
    void recordLoan(Account&, const GrantItem&, TimePoint now) const;
    void closeLoan(Account&, const LoanBalance&, TimePoint now) const;
    void applyReports(Account&, const BorrowItem&, TimePoint now) const;
    void resize(Account&, TimePoint now) const;
    uint32_t tokensToLend(const Account&, const Borrower&, const ShareEstimate&, const BorrowItem&) const;
    Borrower& recordDemand(Account&, const VmId&, double demand, TimePoint now) const;
    ShareEstimate estimateShare(const Account&, const VmId&) const;
    GrantItem lendItem(const VmId&, const BorrowItem&, TimePoint servingDeadline, TimePoint now);
    void grant(Account&, const VmId&, const BorrowItem&, GrantItem&, TimePoint now);
    bool isRepeated(const BorrowRequest&, TimePoint now);

    TokenLenderSettings settings;
    uint64_t incarnation;
    uint64_t lastLoanNumber = 0;
    std::map<OrganisationId, Organisation> limits;
    std::map<uint32_t, OwnedShard> shards;
    std::map<OrganisationId, Account> accounts;

    // The requests of a VM that were answered: the highest sequence, and one bit for each of the 64 up to it.
    struct AnsweredRequests {
        uint64_t incarnation = 0;
        uint64_t highestSequence = 0;
        uint64_t answeredBits = 0;
        TimePoint keptUntil;
    };
    std::map<VmId, AnsweredRequests> answeredRequests;
    TimePoint nextCleanupAt;
};

}

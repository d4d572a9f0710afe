#pragma once

#include "foxtailtrail/config/Configuration.h"
#include "foxtailtrail/limits/LoanMessages.h"
#include "foxtailtrail/limits/TokenBucket.h"

#include <optional>
#include <set>

namespace foxtail {

// Settings of TokenLender. All VMs of a fleet use the same values.
struct TokenLenderSettings {
    // The maximum lifetime of a loan.
    Duration loanLifetime = std::chrono::milliseconds(200);
    // The minimum lifetime of a loan, also used for loans for waiting requests, which use the tokens on arrival. A round trip to
    // the other region takes 16 ms.
    Duration minLoanLifetime = std::chrono::milliseconds(50);
    // Loans of an organisation with at most this rate per second have the minimum lifetime. Its VMs borrow for waiting requests and
    // use the tokens on arrival, but until a used loan expires its tokens are missing from the burst.
    double shortLoanMaxRate = 40;
    // How long an owner may lend after the last check that confirmed its configuration.
    Duration freshnessLifetime = std::chrono::seconds(3);
    // How long a reported demand is valid without a new report.
    Duration demandLifetime = std::chrono::seconds(1);
    // Prefetched tokens are lent only while the bucket level is above this fraction of the burst. Below it, the tokens would be
    // missing where requests wait.
    double prefetchReserve = 0.5;
    // An organisation exceeds its rate if its demand is larger by this factor. Random arrivals within the rate stay below it.
    double overloadFactor = 1.5;
    // Bounds of GrantItem::retryDelay.
    Duration minRetryDelay = std::chrono::milliseconds(10);
    Duration maxRetryDelay = std::chrono::milliseconds(50);
    // The maximum relative error of a clock's speed.
    double maxClockDrift = 0.01;
    // How long the sequence numbers of a VM are kept to detect repeated requests.
    Duration sequenceLifetime = std::chrono::seconds(10);
};

// Returns the share of each demand when the rate is divided max-min fairly: no share can grow without shrinking a smaller one.
std::vector<double> maxMinShares(double rate, const std::vector<double>& demands);

// Lends the rate and burst of the organisations whose limit shards this VM owns.
//
// A lent token stays outstanding until its loan is closed or has certainly expired, and the bucket fills only to the burst less the
// outstanding tokens. Tokens used in a window were therefore outstanding or in the bucket at its start, together at most the burst,
// or were added during the window at the rate. This also holds for loans that are returned.
class TokenLender {
public:
    // The incarnation differs between processes of the same VM.
    TokenLender(TokenLenderSettings, uint64_t incarnation);

    // Applies the limits of a configuration version. Buckets of unchanged shards keep their state.
    void setLimits(const std::map<OrganisationId, Organisation>&, TimePoint now);

    // Applies the shards that a configuration version assigns to this VM, as epoch by shard. A shard that is new, or new at its
    // epoch, lends from an empty bucket after the freshness lifetime plus the lifetime of a loan, counted from acceptedBy. At
    // acceptedBy, which is not before the start of this process, the version was known to be accepted: in the store and at a
    // majority of the witnesses.
    void setShards(const std::map<uint32_t, uint64_t>& epochByShard, TimePoint acceptedBy, TimePoint now);

    // Answers a request. Lends no tokens from servingDeadline on, the time until which the configuration is confirmed. The lifetime
    // of the grant counts from now, so now must be read after the request arrived.
    BorrowReply lend(const BorrowRequest&, TimePoint servingDeadline, TimePoint now);

    // Accepts returned loans. Unknown and expired loans are ignored.
    void returnLoans(const LoanReturn&, TimePoint now);

    // Returns when this VM starts to lend the tokens of a shard, or std::nullopt if it does not own the shard.
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

    // The demand that one VM reported for an organisation, and the bucket that fills at its share of the rate.
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
        // The loans in the order in which they expire.
        std::set<std::pair<TimePoint, uint64_t>> expirations;
        double outstandingTokens = 0;
        std::map<VmId, Borrower> borrowers;
    };

    // The rate that one VM can expect for an organisation.
    struct ShareEstimate {
        bool isOverloaded = false;
        double share = 0;
        double expectedRate = 0;
    };

    Duration withClockDrift(Duration) const;
    double fillRate(const Organisation&) const;
    Duration loanLifetimeFor(const Organisation&) const;
    Account makeAccount(const Organisation&, TimePoint lendingStart) const;
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

    // The answered requests of a VM: the highest sequence number, and one bit for each of the 64 numbers up to it.
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

#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <vector>

namespace foxtail {

// The maximum number of organisations in one message. A borrower with more sends several messages.
constexpr size_t maxItemsPerBorrowMessage = 64;

// The maximum number of closed loans, and of loans in use, that one item reports. Others expire at the lender without a report.
constexpr size_t maxLoansPerItem = 16;

// The maximum number of tokens of one loan.
constexpr uint32_t maxTokensPerLoan = 100000;

// Identifies a loan. The incarnation distinguishes loans of an earlier process of the same VM.
struct LoanId {
    uint64_t lenderIncarnation = 0;
    uint64_t number = 0;
    bool operator==(const LoanId&) const = default;
};

// A loan with the tokens that its borrower has not used.
struct LoanBalance {
    LoanId loan;
    uint32_t unused = 0;
};

// One organisation's part of a request for tokens.
struct BorrowItem {
    OrganisationId organisation;
    // The epoch of the shard's owner as the borrower knows it.
    uint64_t ownerEpoch = 0;
    // Tokens for waiting requests.
    uint32_t wanted = 0;
    // Tokens for requests that are expected soon. They are lent only while the bucket is well filled.
    uint32_t prefetchTokens = 0;
    // Requests per second that arrive at the borrower, including refused ones.
    double demandPerSecond = 0;
    // Loans that the borrower no longer uses, with the tokens of each that it has not used.
    std::vector<LoanBalance> closedLoans;
    // Loans still in use, with the remaining tokens of each. Used tokens no longer count as outstanding.
    std::vector<LoanBalance> heldLoans;
};

// A request for tokens for all organisations that need some from the same owner.
struct BorrowRequest {
    VmId borrower;
    uint64_t borrowerIncarnation = 0;
    // Increases with every request of one borrower to one owner.
    uint64_t sequence = 0;
    std::vector<BorrowItem> items;
};

// The owner's answer to one item.
enum class GrantStatus : uint8_t {
    Answered,
    // The receiver does not own the shard at this epoch.
    NotOwner,
    // The owner may not lend yet: its waiting time has not passed, or its configuration is not confirmed.
    NotReady,
};

// One organisation's part of an answer.
struct GrantItem {
    OrganisationId organisation;
    GrantStatus status = GrantStatus::Answered;
    LoanId loan;
    uint32_t tokens = 0;
    // How long the tokens may be used, counted from before the request was sent.
    Duration lifetime { 0 };
    // Whether the owner had fewer tokens than wanted.
    bool isExhausted = false;
    // Tokens per second that the borrower can expect while the bucket is empty.
    double expectedRate = 0;
    // The delay before the next request if the owner had fewer tokens than wanted.
    Duration retryDelay { 0 };
};

// The answer to a BorrowRequest, with one item per item of the request in the same order.
struct BorrowReply {
    uint64_t sequence = 0;
    std::vector<GrantItem> items;
};

// One loan that is returned before it expires.
struct LoanReturnItem {
    OrganisationId organisation;
    LoanBalance closedLoan;
};

// A return of loans, for example when a VM stops. If the message is lost, the tokens are available again when the loans expire.
struct LoanReturn {
    VmId borrower;
    std::vector<LoanReturnItem> items;
};

}

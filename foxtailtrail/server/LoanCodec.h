#pragma once

#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/limits/LoanMessages.h"

namespace foxtail {

// JSON encoding of the loan messages in the peer calls "borrow" and "giveBack". Items are encoded as short arrays, because these are the
// most frequent messages between VMs. Decoding fails with MalformedRequest.
json::object encodeBorrowRequest(const BorrowRequest&);
Result<BorrowRequest> decodeBorrowRequest(const json::object&);
json::object encodeBorrowReply(const BorrowReply&);
Result<BorrowReply> decodeBorrowReply(const json::object&);
json::object encodeLoanReturn(const LoanReturn&);
Result<LoanReturn> decodeLoanReturn(const json::object&);

}

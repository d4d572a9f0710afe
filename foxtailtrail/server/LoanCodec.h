#pragma once

#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/limits/LoanMessages.h"

namespace foxtail {

// The JSON forms of the messages of lending, as carried by the peer calls "borrow" and "giveBack". Lists of items are arrays of
// short arrays, since these are the most frequent messages between VMs. Decoding fails with MalformedRequest.
json::object encodeBorrowRequest(const BorrowRequest&);
Result<BorrowRequest> decodeBorrowRequest(const json::object&);
json::object encodeBorrowReply(const BorrowReply&);
Result<BorrowReply> decodeBorrowReply(const json::object&);
json::object encodeLoanReturn(const LoanReturn&);
Result<LoanReturn> decodeLoanReturn(const json::object&);

}

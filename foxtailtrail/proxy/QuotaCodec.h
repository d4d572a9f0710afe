#pragma once

#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/limits/QuotaAllocator.h"

#include <vector>

namespace foxtail {

// The lists of quota requests and grants in datagrams between VMs. The decoders throw when a list has another form.
json::array encodeQuotaRequests(const std::vector<QuotaRequest>&);
std::vector<QuotaRequest> decodeQuotaRequests(const json::array&);
json::array encodeQuotaGrants(const std::vector<QuotaGrant>&);
std::vector<QuotaGrant> decodeQuotaGrants(const json::array&);

}

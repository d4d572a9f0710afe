#pragma once

#include "foxtailtrail/failover/PromotionLock.h"
#include "foxtailtrail/proxy/PeerExchange.h"
#include "foxtailtrail/replication/ServerDirectory.h"

#include <optional>
#include <string>
#include <string_view>

namespace foxtail {

// Encoding of the rows that VMs write to the store. Values are JSON objects.

// Keys of rows in the fleet table.
std::string vmRowKey(const VmId&);
std::string primaryRowKey(const ServiceName&);
// Key of the promotion lock's row of an era. A row of its own for each era keeps the preconditions of a holder of an ended era from holding
// by chance for versions that the store gives out again.
std::string promotionLockRowKey(uint64_t era);

std::string encodePeer(const PeerEntry&);
std::string encodePrimary(const PrimaryRecord&);
std::string encodePromotionLock(const PromotionLockRecord&);

// The decoders return an empty optional when the row is of another kind, and also, with a log line, when it cannot be decoded.
std::optional<PeerEntry> decodePeer(std::string_view key, std::string_view value);
std::optional<PrimaryRecord> decodePrimary(std::string_view key, std::string_view value);
std::optional<PromotionLockRecord> decodePromotionLock(std::string_view key, std::string_view value);

}

#pragma once

#include "foxtailtrail/failover/PromotionLock.h"
#include "foxtailtrail/proxy/PeerExchange.h"
#include "foxtailtrail/replication/ServerDirectory.h"

#include <optional>
#include <string>
#include <string_view>

namespace foxtail {

// The rows that VMs write to the store. Values are JSON objects.

// Keys of the fleet's table.
std::string vmRowKey(const VmId&);
std::string primaryRowKey(const ServiceName&);
// The one row of the turns' table.
constexpr const char* promotionLockRowKey = "promotion";

std::string encodePeer(const PeerEntry&);
std::string encodePrimary(const PrimaryRecord&);
std::string encodePromotionLock(const PromotionLockRecord&);

// The decoders return nothing, with a log line, when the row is of another kind or cannot be read.
std::optional<PeerEntry> decodePeer(std::string_view key, std::string_view value);
std::optional<PrimaryRecord> decodePrimary(std::string_view key, std::string_view value);
std::optional<PromotionLockRecord> decodePromotionLock(std::string_view value);

}

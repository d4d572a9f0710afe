#pragma once

#include "foxtailtrail/failover/DutyTurn.h"
#include "foxtailtrail/proxy/PeerExchange.h"
#include "foxtailtrail/replication/ServerDirectory.h"

#include <optional>
#include <string>
#include <string_view>

namespace foxtail {

// The rows that VMs write to the store. Values are JSON objects.

// Keys of the fleet's table.
std::string vmRowKey(const VmId&);
std::string leaderRowKey(const ServiceName&);
// The one row of the turns' table.
constexpr const char* turnRowKey = "promotion";

std::string encodePeer(const PeerEntry&);
std::string encodeLeader(const LeaderRecord&);
std::string encodeTurn(const TurnRecord&);

// The decoders return nothing, with a log line, when the row is of another kind or cannot be read.
std::optional<PeerEntry> decodePeer(std::string_view key, std::string_view value);
std::optional<LeaderRecord> decodeLeader(std::string_view key, std::string_view value);
std::optional<TurnRecord> decodeTurn(std::string_view value);

}

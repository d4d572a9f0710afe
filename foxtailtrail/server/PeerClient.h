#pragma once

#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/net/HttpClient.h"

#include <map>
#include <memory>
#include <string>

namespace foxtail {

// Purpose of a call between VMs, by which traffic is counted.
enum class TrafficPurpose : uint8_t {
    Statements,
    Control,
    Lending,
    Configuration,
};

// Returns the name of a purpose in reports and metrics.
std::string_view trafficPurposeName(TrafficPurpose);

// The number of purposes, for arrays that are indexed by purpose.
constexpr size_t trafficPurposeCount = 4;

// The target of the peer port's JSON-RPC calls.
constexpr const char* peerRpcTarget = "/rpc";

// Client for JSON-RPC calls to other VMs over HTTP. Used by one fiber thread only; keeps connections per VM and purpose.
class PeerClient {
public:
    // Calls the method and blocks the calling fiber. Fails with the error that the peer reports, with PeerUnavailable if the call cannot
    // have arrived, or with OutcomeUnknown if it may have arrived.
    Result<json::object> call(
        const Endpoint&, TrafficPurpose, const std::string& method, const json::object& parameters, TimePoint deadline);

    // Returns the number of bytes sent and received so far for a purpose.
    uint64_t transferredBytes(TrafficPurpose) const;

private:
    struct ClientKey {
        Endpoint endpoint;
        TrafficPurpose purpose = TrafficPurpose::Control;
        // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14 on defaulted comparisons.
        auto operator<=>(const ClientKey&) const = default;
    };

    std::map<ClientKey, std::unique_ptr<HttpClient>> clients;
};

}

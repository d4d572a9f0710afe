#pragma once

#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/net/HttpClient.h"

#include <map>
#include <memory>
#include <string>

namespace foxtail {

// What a call between VMs is for. Traffic is counted by purpose.
enum class TrafficPurpose : uint8_t {
    Statements,
    Control,
    Lending,
    Configuration,
};

// The purpose's name in reports and metrics.
std::string_view trafficPurposeName(TrafficPurpose);

// The number of purposes, for arrays that are indexed by purpose.
constexpr size_t trafficPurposeCount = 4;

// The target of the peer port's JSON-RPC calls.
constexpr const char* peerRpcTarget = "/rpc";

// Calls other VMs by JSON-RPC over HTTP. It belongs to one fiber thread and keeps connections per VM and purpose.
class PeerClient {
public:
    // Calls the method and blocks the calling fiber. Fails with the peer's own error, with PeerUnavailable when the call cannot
    // have arrived, and with OutcomeUnknown when it may have.
    Result<json::object> call(
        const Endpoint&, TrafficPurpose, const std::string& method, const json::object& parameters, TimePoint deadline);

    // Bytes moved so far, by purpose, sent and received together.
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

#include "foxtailtrail/server/PeerClient.h"

#include "foxtailtrail/net/JsonRpc.h"

#include <array>

namespace foxtail {

namespace {

    // Parses "KIND: detail" into the error that the peer reported.
    Error peerError(const std::string& text)
    {
        const size_t colon = text.find(": ");
        const std::optional<ErrorKind> kind = errorKindByName(text.substr(0, colon));
        if (!kind)
            return { ErrorKind::Internal, text };
        return { *kind, colon == std::string::npos ? "" : text.substr(colon + 2) };
    }

}

std::string_view trafficPurposeName(TrafficPurpose purpose)
{
    constexpr std::array<std::string_view, trafficPurposeCount> names { "statements", "control", "lending", "configuration" };
    return names[static_cast<size_t>(purpose)];
}

Result<json::object> PeerClient::call(
    const Endpoint& endpoint, TrafficPurpose purpose, const std::string& method, const json::object& parameters, TimePoint deadline)
{
    std::unique_ptr<HttpClient>& client = this->clients[{ endpoint, purpose }];
    if (!client)
        client = std::make_unique<HttpClient>(endpoint);
    HttpClient& peer = *client;

    // Kept apart from errors of the peer, because the transport error tells whether the call may have arrived.
    std::optional<Error> transportError;
    const JsonRpcOutcome outcome
        = callJsonRpc(method, json::serialize(parameters), [&](const std::string& request, std::string& answer, std::string& error) {
              const Result<HttpResponse> response
                  = peer.send({ "POST", peerRpcTarget, { { "Content-Type", "application/json" } }, request }, deadline);
              if (response && response.value().status == 200) {
                  answer = response.value().body;
                  return true;
              }
              transportError = response
                  ? Error { ErrorKind::OutcomeUnknown, "the VM responded with HTTP status " + std::to_string(response.value().status) }
                  : response.error();
              error = transportError->detail;
              return false;
          });
    if (transportError)
        return *transportError;
    if (outcome.failed)
        return peerError(outcome.text);
    return parseJsonObject(outcome.text);
}

uint64_t PeerClient::transferredBytes(TrafficPurpose purpose) const
{
    uint64_t total = 0;
    for (const auto& [key, client] : this->clients) {
        if (key.purpose == purpose)
            total += client->counters().sentBytes + client->counters().receivedBytes;
    }
    return total;
}

}

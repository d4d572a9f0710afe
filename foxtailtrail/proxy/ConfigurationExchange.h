#pragma once

#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/base/StoreVersion.h"
#include "foxtailtrail/net/Http.h"
#include "foxtailtrail/net/HttpClient.h"
#include "foxtailtrail/replication/EvacuationTable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtail {

// A configuration received from another VM.
struct PeerConfiguration {
    std::string document;
    // The store version up to which that VM has applied the declarations.
    StoreVersion followedStoreVersion;
};

// What another VM knows beyond this one.
struct PeerAnswer {
    // Empty when that VM has no newer configuration.
    std::optional<PeerConfiguration> configuration;
    // Empty when that VM knows the evacuations as of no later version of the store.
    std::optional<EvacuationState> evacuations;
};

// The HTTP request with which VMs fetch the operators' configuration and evacuations from each other. The requester sends the versions that
// it has and its own address.
class ConfigurationExchange {
public:
    // The endpoint is the address at which this VM serves the request.
    ConfigurationExchange(Endpoint own, const EvacuationTable& evacuations)
        : ownEndpoint(std::move(own))
        , evacuations(evacuations)
    {
    }

    // Sets the document that this VM serves to other VMs.
    void setDocument(std::string newDocument, uint64_t version);
    void setFollowedStoreVersion(const StoreVersion& storeVersion) { this->followedStoreVersion = storeVersion; }

    // Handles the request of another VM and records its address. Responds with status 204 when this VM has no newer configuration.
    HttpResponse handleRequest(const HttpRequest&);
    // Requests what another VM knows. Blocks the calling fiber.
    Result<PeerAnswer> fetch(const Endpoint&, Duration timeout) const;
    // Returns the VMs that have sent a request to this one, the most recent last. The store need not list them.
    const std::vector<Endpoint>& recentRequesters() const { return this->requesters; }

private:
    Endpoint ownEndpoint;
    const EvacuationTable& evacuations;
    std::string document;
    uint64_t documentVersion = 0;
    StoreVersion followedStoreVersion;
    std::vector<Endpoint> requesters;
};

}

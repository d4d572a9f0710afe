#pragma once

#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/net/Http.h"
#include "foxtailtrail/net/HttpClient.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtail {

// A configuration as another VM gives it.
struct PeerConfiguration {
    std::string document;
    // The version of the store up to which that VM has followed the declarations.
    uint64_t followedStoreVersion = 0;
};

// The request by which VMs give each other the operators' configuration: who asks names the version that it has and its own address.
class ConfigurationExchange {
public:
    // The endpoint is where this VM answers the request.
    explicit ConfigurationExchange(Endpoint own)
        : ownEndpoint(std::move(own))
    {
    }

    // Sets what this VM gives to others.
    void setDocument(std::string document, uint64_t version);
    void setFollowedStoreVersion(uint64_t storeVersion) { this->followedStoreVersion = storeVersion; }

    // Answers another VM, and remembers it: 204 when it has nothing newer to get.
    HttpResponse handleRequest(const HttpRequest&);
    // Asks another VM. Blocks the calling fiber. Returns nothing when that VM has no newer configuration.
    Result<std::optional<PeerConfiguration>> fetch(const Endpoint&, Duration timeout) const;
    // VMs that have asked this one, the newest last. The store need not list them.
    const std::vector<Endpoint>& recentRequesters() const { return this->requesters; }

private:
    Endpoint ownEndpoint;
    std::string document;
    uint64_t documentVersion = 0;
    uint64_t followedStoreVersion = 0;
    std::vector<Endpoint> requesters;
};

}

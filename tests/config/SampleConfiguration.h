#pragma once

#include "foxtailtrail/config/KeyTable.h"

namespace foxtail {

// Returns a key of organisation wattle with a fixed secret.
inline IssuedKey sampleKey(const std::string& id = "k1")
{
    KeySecretBytes random {};
    for (size_t index = 0; index < random.size(); ++index)
        random[index] = static_cast<uint8_t>(index * 7 + id.back());
    return makeKey(KeyId(id), OrganisationId("wattle"), random);
}

// Returns a valid document in which every member except previousWitnesses has a value.
inline Configuration sampleConfiguration(uint64_t version = 1)
{
    Configuration sample;
    sample.version = version;
    sample.changeId = "change-" + std::to_string(version);
    sample.author = "ada";
    sample.fleetSecret = "a secret of the whole fleet";
    for (const char* name : { "wattle", "wislomar", "public" })
        sample.organisations[OrganisationId(name)] = { OrganisationId(name), 200, 100.5 };
    const BackendServer first { BackendServerId("b1"), "127.0.0.1", 5001, Region("seq"), DataCentre("brisbane"), false };
    const BackendServer second { BackendServerId("b2"), "::1", 5002, Region("fnq"), DataCentre("cairns"), true };
    sample.databases[DatabaseId("bookings")] = { DatabaseId("bookings"), 3, 20, { first, second } };
    sample.services[ServiceName("booking")]
        = { ServiceName("booking"), DatabaseId("bookings"), ServiceAccess::Keyed, { OrganisationId("wattle") }, {} };
    sample.services[ServiceName("info")]
        = { ServiceName("info"), DatabaseId("bookings"), ServiceAccess::Open, {}, OrganisationId("public") };
    sample.keys[KeyId("k1")] = sampleKey().key;
    sample.limitShards[7] = { VmId("vm1"), 3 };
    for (const char* vm : { "vm1", "vm2", "vm3" })
        sample.witnesses.push_back({ VmId(vm), "127.0.0.1", 9000 });
    return sample;
}

}

#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/net/HttpClient.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtail {

// A row of the table service. Every write increases the version.
struct StoredRow {
    uint64_t version = 0;
    json::value value;
};

// The outcome of a compare-and-set on one row, with the new version or, if it was refused, the version that was found instead.
struct CompareAndSetOutcome {
    bool stored = false;
    uint64_t version = 0;
};

// An entry of the platform's list of VMs. The list lags behind the actual state of the fleet.
struct RegisteredVm {
    VmId id;
    std::string address;
    uint16_t peerPort = 0;
    Region region;
    DataCentre dataCentre;
    bool leaving = false;
};

// A client of the platform's table service, object store and VM list. Every call blocks the calling fiber until the response arrives or
// the timeout expires. Fails with StoreUnavailable if the call had no effect or can be repeated safely, and with StoreOutcomeUnknown if
// a compare-and-set may have taken effect.
class StoreClient {
public:
    StoreClient(Endpoint, Duration timeout);

    // Returns the row, or std::nullopt if it does not exist.
    Result<std::optional<StoredRow>> readRow(const std::string& key);

    // Writes the row if it still has the given version; version 0 means that the row must not exist.
    Result<CompareAndSetOutcome> compareAndSet(const std::string& key, uint64_t version, const json::value& value);

    // Returns the text of an object. Fails with StoreUnavailable also if the object does not exist.
    Result<std::string> readObject(const std::string& name);

    // Writes an object. Each name is used for one text only, so the call can be repeated safely.
    Result<void> writeObject(const std::string& name, const std::string& text);

    Result<std::vector<RegisteredVm>> listVms();
    Result<void> registerVm(const RegisteredVm&);

    const TransferCounters& counters() const { return this->client.counters(); }

private:
    Result<HttpResponse> send(const std::string& method, const std::string& target, std::string body);

    HttpClient client;
    Duration timeout;
};

}

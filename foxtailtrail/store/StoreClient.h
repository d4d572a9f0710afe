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

// One row of the table service. The version rises with every write.
struct StoredRow {
    uint64_t version = 0;
    json::value value;
};

// The outcome of a compare-and-set on one row: either the new version, or the version that was found instead.
struct CompareAndSetOutcome {
    bool stored = false;
    uint64_t version = 0;
};

// One entry of the platform's lagging list of VMs.
struct RegisteredVm {
    VmId id;
    std::string address;
    uint16_t peerPort = 0;
    Region region;
    DataCentre dataCentre;
    bool leaving = false;
};

// Calls the platform's table service, object store and VM list. Every call blocks the calling fiber until the answer or the
// timeout. Errors: StoreUnavailable when nothing can have happened, StoreOutcomeUnknown when a write may have taken effect.
class StoreClient {
public:
    StoreClient(Endpoint, Duration timeout);

    // The row, or nothing when it does not exist.
    Result<std::optional<StoredRow>> readRow(const std::string& key);

    // Writes the row when it still has the given version; version 0 means that it must not exist.
    Result<CompareAndSetOutcome> compareAndSet(const std::string& key, uint64_t version, const json::value& value);

    // The text of an object. Fails with StoreUnavailable also when it does not exist.
    Result<std::string> readObject(const std::string& name);

    // Writes an object under a name that is used once, so repeating it is harmless.
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

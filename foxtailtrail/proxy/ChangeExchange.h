#pragma once

#include "foxtailtrail/net/Http.h"
#include "foxtailtrail/net/HttpClient.h"
#include "foxtailtrail/proxy/TableChangeLog.h"

#include <array>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <map>
#include <memory>

namespace foxtail {

// The HTTP request with which a VM receives the changes of a table from a VM that reads the store itself. A response without changes is
// held back for a time.
class ChangeExchange {
public:
    // Records that this VM has read a whole table from the store.
    void recordList(StoreTable, const RowSet&);
    // Records the changes after a version that this VM has read from the store.
    void recordChanges(StoreTable, const StoreVersion& after, const RowSet&);
    // Records that this VM cannot read the table from the store or receives it from another VM. It then passes no changes on, so that no
    // VMs follow each other in a circle.
    void stopServing(StoreTable);

    static bool isChangeRequest(const HttpRequest&);
    // Handles the request of another VM. Blocks the fiber until there are changes or the requested wait has ended.
    HttpResponse handleRequest(const HttpRequest&);
    // Requests the changes after a version from another VM. Blocks the calling fiber. Fails with VersionConflict when that VM reads the
    // store in a later era.
    Result<RowSet> fetch(const Endpoint&, StoreTable, const StoreVersion& after, const FeedCall&);

private:
    struct ServedTable {
        TableChangeLog log;
        bool isServing = false;
    };
    static constexpr size_t servedTableCount = 3;
    ServedTable& served(StoreTable table) { return this->tables[static_cast<size_t>(table)]; }

    std::array<ServedTable, servedTableCount> tables;
    boost::fibers::mutex changedMutex;
    boost::fibers::condition_variable changed;
    // Shared with the requests that run.
    std::map<Endpoint, std::shared_ptr<HttpClient>> clients;
};

}

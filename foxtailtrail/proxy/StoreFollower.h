#pragma once

#include "foxtailtrail/membership/FeedSchedule.h"
#include "foxtailtrail/membership/ServerListCompleteness.h"
#include "foxtailtrail/membership/StoreReaders.h"
#include "foxtailtrail/proxy/ChangeExchange.h"
#include "foxtailtrail/proxy/ConfigurationExchange.h"
#include "foxtailtrail/proxy/DeclarationDecoder.h"
#include "foxtailtrail/proxy/FleetTable.h"
#include "foxtailtrail/proxy/PeerExchange.h"
#include "foxtailtrail/proxy/PrimaryRecordWriter.h"
#include "foxtailtrail/proxy/SessionProxy.h"
#include "foxtailtrail/proxy/SharedStore.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <functional>
#include <map>
#include <string>

namespace foxtail {

// Keeps a VM's copy of the shared state current: the configuration, the list of backend servers and the fleet. A separate fiber follows
// each table. While the store does not serve this VM, it fetches the configuration from its peers.
class StoreFollower {
public:
    StoreFollower(SessionProxy&, SharedStore&, const DeclarationDecoder&, PeerExchange&);

    // Sets the function that is called when the fleet table was first read in an era of the store.
    void setEraCallback(std::function<void(uint64_t era)> callback) { this->eraCallback = std::move(callback); }
    // Starts the fibers that follow the tables.
    void start();
    // Returns true when at least one table cannot be read at the moment.
    bool isAnyTableUnavailable() const { return this->unavailableTableCount > 0; }
    // Returns true when this VM may not know all servers: a table cannot be read, or the store was restored from an older copy and the
    // servers have not had time to report again.
    bool mayMissServers() const;
    const ServerListCompleteness& serverListCompleteness() const { return this->listCompleteness; }
    // Returns true when none of the tables can be read.
    bool isStoreUnavailable() const { return this->unavailableTableCount == followedTableCount; }
    // Reads the fleet table and the server table now. Fails when the store does not respond.
    Result<void> refreshDirectory();
    // Handles the report of a peer that it has a newer configuration: fetches it from that peer unless the store is expected to deliver it
    // first.
    void handleNewerConfiguration(const Endpoint& peer, uint64_t version);
    // Handles the report of a peer that it knows of a later change of the evacuations.
    void handleNewerEvacuations(const Endpoint& peer, const StoreVersion& changedAt);
    // Handles the request of another VM, for a newer configuration or for the changes of a table.
    HttpResponse handlePeerRequest(const HttpRequest&);

private:
    static constexpr size_t followedTableCount = 3;
    // Changes of the table are known within the bound after their confirmation.
    void follow(StoreTable, const std::string& name, Duration bound, const std::function<void(const RowSet&, bool isWhole)>& apply);
    // Reads a whole table from the store.
    Result<RowSet> readTable(StoreTable);
    // Returns the changes of a table after a version, from another VM that reads the store for this data centre or from the store.
    Result<RowSet> receiveChanges(StoreTable, const StoreVersion& after, FeedSchedule&);
    Result<RowSet> receiveChangesFromStore(StoreTable, const StoreVersion& after, FeedSchedule&);
    // Makes the calls that the store holds open again, for all tables, because the store may have lost them.
    void renewHeldCalls(std::string_view reason);
    // Returns how long to collect further changes after some rows have changed.
    Duration batchDelay(StoreTable, const RowSet&) const;
    // Waits before the next attempt to read a table. When all tables are unavailable, and the VM is not starting up, only the
    // declarations table is retried; the other fibers wait until a table can be read again.
    void waitBeforeRetry(StoreTable, Duration delay);
    void applyDeclarations(const RowSet&, bool isWhole);
    // Applies the evacuations that a peer knows. Returns whether the set has changed.
    bool applyPeerEvacuations(const std::optional<EvacuationState>&, const Endpoint& peer);
    void applyServers(const RowSet&, bool isWhole);
    void applyFleet(const RowSet&, bool isWhole);
    // Passes the members of the fleet table on to those who use them.
    void publishMembers();
    // Writes what this VM knows to a store that was restored from an older copy, in the background: its own row and the records of
    // primaries. Members that do not register again are dropped later.
    void completeRestoredTables(uint64_t era);
    void installDocument(const std::string&, std::string_view source);
    // Fetches the configuration from a VM of the same data centre, so that the VMs of a starting fleet do not all read it from the store,
    // possibly over the link between regions. Returns the store version up to which that VM had applied the declarations, or an empty
    // optional when no VM provided a configuration.
    std::optional<StoreVersion> fetchInitialConfiguration();
    // Fetches the configuration of a peer and installs it. Returns false when the request fails; the next
    // peer is tried then.
    bool fetchInitialConfigurationFrom(const Endpoint&, std::optional<StoreVersion>& followedVersion);
    // Fetches the configuration from a few other VMs at the same time and installs the newest. The store may hold an older one than they
    // do.
    void compareConfigurationWithPeers();
    // Fetches a peer's configuration in a separate fiber if it is newer than this VM's. The call is ignored while another fetch runs or
    // this VM still waits for its initial configuration.
    void fetchFromPeer(const Endpoint&);
    // Fetches the configuration from one of the known VMs, in rotation.
    void fetchFromNextPeer();
    // Fetches the configuration from the seeds that the store does not list; the request also gives them the address of this VM.
    void contactUnlistedSeeds();
    // Writes this VM's row to the fleet table unless the table already holds it, and repeats that until it succeeds.
    void registerSelf();
    // Returns true when this VM's row has been written or was there already.
    bool tryToRegister();

    SessionProxy& proxy;
    SharedStore& store;
    const DeclarationDecoder& decoder;
    PeerExchange& peers;
    ConfigurationExchange configurationExchange;
    TimePoint startedAt {};
    bool hasReadFleet = false;
    // True until the attempt to fetch the initial configuration has ended.
    bool isStarting = true;
    bool areDeclarationsUnavailable = false;
    // When the held calls were last ended to be made again.
    TimePoint heldCallsEndedAt {};
    // The newest configuration version that a peer has reported, and when it was first reported.
    uint64_t newestReportedVersion = 0;
    TimePoint newestReportedAt {};
    // The same for the last change of the evacuations.
    StoreVersion newestReportedEvacuations;
    TimePoint evacuationsReportedAt {};
    FleetTable fleetTable;
    std::function<void(uint64_t era)> eraCallback;
    // The era of the server list, and the time until which it may hold entries of an older copy.
    std::optional<uint64_t> serversEra;
    ServerListCompleteness listCompleteness;
    TimePoint serversRestoredUntil {};
    size_t nextPeerIndex = 0;
    // A VM that has a configuration sends its next request to a peer after this time.
    TimePoint nextPeerFetchAt {};
    size_t unavailableTableCount = 0;
    // Notified when a table can be read again, so that the fibers of the other tables retry.
    boost::fibers::mutex tableRestoredMutex;
    boost::fibers::condition_variable tableRestored;
    bool isFetching = false;
    bool hasStartedRegistration = false;
    ChangeExchange changeExchange;
    StoreReaders storeReaders;
    PrimaryRecordWriter recordWriter;
};

}

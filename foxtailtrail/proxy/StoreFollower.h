#pragma once

#include "foxtailtrail/proxy/ConfigurationExchange.h"
#include "foxtailtrail/proxy/DeclarationDecoder.h"
#include "foxtailtrail/proxy/PeerExchange.h"
#include "foxtailtrail/proxy/SessionProxy.h"
#include "foxtailtrail/proxy/SharedStore.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <functional>
#include <map>
#include <string>

namespace foxtail {

// Keeps a VM's view of the shared state current: the configuration, the list of backend servers, the fleet. Each table is
// followed by a fiber of its own. A configuration also comes from peers, when the store does not serve this VM.
class StoreFollower {
public:
    StoreFollower(SessionProxy&, SharedStore&, const DeclarationDecoder&, PeerExchange&);

    // Starts the fibers.
    void start();
    // Whether some table cannot be read at the moment.
    bool isAnyTableUnavailable() const { return this->unavailableTableCount > 0; }
    // Whether no table has been readable for a while.
    bool isStoreUnavailable() const { return this->unavailableTableCount == followedTableCount; }
    // Reads the fleet's rows and the list of servers now. Fails when the store does not answer.
    Result<void> refreshDirectory();
    // Takes note that a peer has a newer configuration, and asks that peer for it unless the store is about to give it.
    void handleNewerConfiguration(const Endpoint& peer, uint64_t version);
    // Answers the request of another VM for a newer configuration, and remembers that VM.
    HttpResponse handlePeerRequest(const HttpRequest& request) { return this->configurationExchange.handleRequest(request); }

private:
    static constexpr size_t followedTableCount = 3;
    void follow(StoreTable, const std::string& name, const std::function<void(const RowSet&, bool isWhole)>& apply);
    // How long to wait for further changes after some rows have changed.
    Duration batchDelay(StoreTable, const RowSet&) const;
    // Waits before the next try of a table that could not be read: the last one that is lost is tried for all of them.
    void waitBeforeRetry(StoreTable, Duration pause);
    void applyDeclarations(const RowSet&);
    void applyServers(const RowSet&, bool isWhole);
    void applyFleet(const RowSet&, bool isWhole);
    void installDocument(const std::string&, std::string_view source);
    // Takes the configuration from a VM of the same data centre, so that not every VM of a fleet that starts reads it from the store,
    // perhaps over the link between regions. Returns the version of the store up to which that VM had followed, or nothing.
    std::optional<uint64_t> fetchInitialConfiguration();
    // Asks a peer for its configuration and installs it. Returns false when there is no use in asking it again.
    bool fetchInitialConfigurationFrom(const Endpoint&, std::optional<uint64_t>& followedUpTo);
    // Asks a peer for a configuration that is newer than this VM's, in a fiber of its own.
    void fetchFromPeer(const Endpoint&);
    // Asks one of the VMs that this one knows, another one each time.
    void fetchFromNextPeer();
    // Has the seeds that the store does not list learn of this VM, and asks them for their configuration.
    void contactUnlistedSeeds();
    // Writes this VM's own row unless it is there.
    void registerSelf();

    SessionProxy& proxy;
    SharedStore& store;
    const DeclarationDecoder& decoder;
    PeerExchange& peers;
    TimePoint startedAt {};
    ConfigurationExchange configurationExchange;
    bool hasReadFleet = false;
    // Set until the first configuration has been asked for.
    bool isStarting = true;
    bool areDeclarationsUnavailable = false;
    // The newest version that a peer has told of, and since when.
    uint64_t newestReportedVersion = 0;
    TimePoint newestReportedAt {};
    std::map<std::string, PeerEntry> knownPeers;
    size_t nextPeerIndex = 0;
    // A VM that is configured asks again after this time.
    TimePoint nextPeerFetchAt {};
    size_t unavailableTableCount = 0;
    // Notified when a table can be read again: then the others are tried too.
    boost::fibers::mutex tableRestoredMutex;
    boost::fibers::condition_variable tableRestored;
    bool isFetching = false;
    bool isRegistered = false;
};

}

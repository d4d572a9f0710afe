#pragma once

#include "foxtailtrail/config/ChangeProposal.h"
#include "foxtailtrail/config/FreshnessMonitor.h"
#include "foxtailtrail/config/InstalledConfiguration.h"
#include "foxtailtrail/server/PeerClient.h"
#include "foxtailtrail/store/StoreClient.h"

#include <functional>
#include <vector>

namespace foxtail {

// What a ConfigurationService is built from.
struct ConfigurationServiceSettings {
    VmId self;
    // Where this VM takes calls from other VMs, for those that fetch a document from it.
    Endpoint ownEndpoint;
    // How often the store's row is checked.
    Duration checkInterval = std::chrono::seconds(1);
    // The longest time for a call to another VM.
    Duration peerTimeout = std::chrono::milliseconds(500);
    // Peer ports from which a VM that starts while the store is down learns the newest document.
    std::vector<Endpoint> bootstrapPeers;
    FreshnessSettings freshness;
};

// Keeps this VM's configuration current and its freshness confirmed. Runs in fibers of the control thread.
class ConfigurationService {
public:
    // The function is called after the document or the serving deadline has changed.
    ConfigurationService(ConfigurationServiceSettings, StoreClient&, PeerClient&, std::function<void()> onChange);

    // Sets this VM's port for calls of other VMs, when the system picked it.
    void setPeerPort(uint16_t port) { this->settings.ownEndpoint.port = port; }

    // One check: reads the store's row, or asks the witnesses when the store does not answer, and fetches a newer document.
    void check();

    // Brings a change into force and blocks the calling fiber until its outcome is known.
    ProposalOutcome propose(ConfigurationChange, TimePoint deadline);

    // Answers the peer call "configurationVersion". A caller that names a higher version makes this VM fetch it.
    json::object handleVersionRequest(const json::object& parameters);

    // Answers the peer call "configurationDocument". Fails with ConfigurationStale when there is none.
    Result<json::object> handleDocumentRequest() const;

    ConfigurationDocument document() const { return this->installedConfiguration.document(); }

    // The moment from which this VM may not serve. The past before the first confirmation.
    TimePoint servingDeadline() const { return this->freshness.servingDeadline().value_or(TimePoint()); }

    // Whether the last read of the store succeeded.
    bool isStoreReachable() const { return this->storeReachable; }

    // Whether the last read of the store found no configuration at all.
    bool isStoreEmpty() const { return this->storeEmpty; }

private:
    void checkStore();
    void queryWitnesses();
    void queryWitness(const Endpoint&, const VmId&);
    void bootstrap();
    void fetchFromStore(const ConfigurationRow&);
    void fetchFromPeer(const Endpoint&);
    void installText(std::string_view text, std::string_view digest);
    void distribute(const DistributeVersion&, ChangeProposal&);
    StoreResponse callStore(const StoreCall&);
    void perform(const std::vector<ProposalEffect>&, ChangeProposal&);

    ConfigurationServiceSettings settings;
    StoreClient& store;
    PeerClient& peers;
    std::function<void()> onChange;
    InstalledConfiguration installedConfiguration;
    FreshnessMonitor freshness;
    bool storeReachable = false;
    bool storeEmpty = false;
};

}

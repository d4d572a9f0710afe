#pragma once

#include "foxtailtrail/config/ChangeProposal.h"
#include "foxtailtrail/config/FreshnessMonitor.h"
#include "foxtailtrail/config/InstalledConfiguration.h"
#include "foxtailtrail/server/PeerClient.h"
#include "foxtailtrail/store/StoreClient.h"

#include <functional>
#include <vector>

namespace foxtail {

// Settings of a ConfigurationService.
struct ConfigurationServiceSettings {
    VmId self;
    // The endpoint of this VM's peer port, from which other VMs fetch documents.
    Endpoint ownEndpoint;
    // The interval between two checks of the store's row.
    Duration checkInterval = std::chrono::seconds(1);
    // The timeout of a call to another VM.
    Duration peerTimeout = std::chrono::milliseconds(500);
    // Peer ports from which a VM that starts during a store outage fetches the newest document.
    std::vector<Endpoint> bootstrapPeers;
    FreshnessSettings freshness;
};

// Keeps this VM's configuration current and its freshness confirmed. Runs in fibers of the control thread.
class ConfigurationService {
public:
    // Calls onChange after each check, and whenever the document or the serving deadline may have changed.
    ConfigurationService(ConfigurationServiceSettings, StoreClient&, PeerClient&, std::function<void()> onChange);

    // Sets this VM's peer port if the operating system has picked it.
    void setPeerPort(uint16_t port) { this->settings.ownEndpoint.port = port; }

    // Runs one check: reads the store's row, or queries the witnesses if the store does not respond, and fetches a newer document if there
    // is one.
    void check();

    // Proposes a change and blocks the calling fiber until its outcome is known.
    ProposalOutcome propose(ConfigurationChange, TimePoint deadline);

    // Handles the peer call "configurationVersion". If the caller reports a higher version, fetches that version from the caller first.
    json::object handleVersionRequest(const json::object& parameters);

    // Handles the peer call "configurationDocument". Fails with ConfigurationStale if this VM has no document.
    Result<json::object> handleDocumentRequest() const;

    ConfigurationDocument document() const { return this->installedConfiguration.document(); }

    // Returns the time from which this VM must not serve. Lies in the past until the configuration is confirmed for the first time.
    TimePoint servingDeadline() const { return this->freshness.servingDeadline().value_or(TimePoint()); }

    // Returns whether the last read of the store succeeded.
    bool isStoreReachable() const { return this->storeReachable; }

    // Returns whether the last read of the store succeeded and found no configuration.
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

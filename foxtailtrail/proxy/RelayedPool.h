#pragma once

#include "foxtailtrail/proxy/LinkPool.h"
#include "foxtailtrail/proxy/RelayClient.h"
#include "foxtailtrail/scheduling/RelayPlacement.h"
#include "foxtailtrail/scheduling/RelayTrials.h"

#include <functional>
#include <map>
#include <memory>

namespace foxtail {

// The connections to VMs that relay to backend servers, and the selection of a relay for each server.
class RelayStreamPool {
public:
    RelayStreamPool(boost::asio::io_context&, RelayPlacement);

    // Sets the VMs that are candidates for relays, with the addresses at which they accept relay connections.
    void setCandidates(const std::vector<RelayCandidate>&, std::map<VmId, Endpoint>);
    // Returns the VM that should hold the connections to the server at this time.
    std::optional<VmId> relayFor(const ServerEntry&, TimePoint now);
    // Returns the connection to that VM, or null when it is this VM or no relay is available.
    std::shared_ptr<RelayStream> streamFor(const ServerEntry&, TimePoint now);
    // Records that the VM could not reach the server, which excludes it for this server for a time.
    void recordUnreachableServer(const std::shared_ptr<RelayStream>&, const BackendServerId&, TimePoint now);
    void sweep(TimePoint now);
    // Sets where reports of load come from and go to; null when none are exchanged.
    void setLoadExchange(LoadExchange* exchange) { this->exchange = exchange; }
    LoadExchange* loadExchange() const { return this->exchange; }

private:
    // Excludes a VM whose connection can no longer be used.
    void excludeRelay(const VmId&, TimePoint now);
    // Starts the trials that are due, and admits the relays that have answered.
    void sweepTrials(TimePoint now);

    boost::asio::io_context& context;
    RelayPlacement placement;
    std::map<VmId, Endpoint> addresses;
    std::map<VmId, std::shared_ptr<RelayStream>> streams;
    RelayTrials trials;
    LoadExchange* exchange = nullptr;
    // The trial connections to excluded relays.
    std::map<VmId, std::shared_ptr<RelayStream>> trialStreams;
};

// A pool that reaches a backend server over the connections of another VM.
class RelayedPool final : public LinkPool {
public:
    RelayedPool(RelayStreamPool&, const BackendCodec&, const ServerEntry&);

    uint64_t acquire(const LinkRequest&, AcquireCallback) override;
    // Requests wait at the other VM, so there is no request to cancel here.
    void cancel(uint64_t) override { }
    void release(const std::shared_ptr<BackendLink>&) override;
    void drop(const std::shared_ptr<BackendLink>&) override;
    // The other VM sees the replies and limits what it sends.
    void recordBusy() override { }
    void recordReply(TimePoint) override { }
    bool hasFreeLink(const std::string&) const override { return true; }
    uint32_t outstandingRequests() const override { return static_cast<uint32_t>(this->linksInUse.size()); }
    // The last report that the other VM has sent with an answer.
    std::optional<ServerLoad> load() const override;
    // Records a report that a third VM has passed on.
    void recordPassedReport(const ServerLoad&, Duration age);
    uint32_t sentSinceReport() const override { return this->loadRecord->sentSince(); }
    std::optional<TimePoint> oldestUnansweredAt() const override;

private:
    RelayStreamPool& relayStreams;
    const BackendCodec& codec;
    std::map<BackendLink*, std::shared_ptr<RelayedLink>> linksInUse;
    // Shared with the links, which record the reports of their answers.
    std::shared_ptr<LoadRecord> loadRecord = std::make_shared<LoadRecord>();
};

}

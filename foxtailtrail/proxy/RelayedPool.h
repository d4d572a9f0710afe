#pragma once

#include "foxtailtrail/proxy/LinkPool.h"
#include "foxtailtrail/proxy/RelayClient.h"
#include "foxtailtrail/scheduling/RelayPlacement.h"

#include <functional>
#include <map>
#include <memory>

namespace foxtail {

// The connections to VMs that hold connections to backend servers, and the choice among those VMs.
class RelayStreamPool {
public:
    RelayStreamPool(boost::asio::io_context&, RelayPlacement);

    // Sets the VMs that live and stay, with the addresses at which they relay.
    void setCandidates(const std::vector<RelayCandidate>&, std::map<VmId, Endpoint>);
    // The VM that should hold the connections to the server now.
    std::optional<VmId> relayFor(const ServerEntry&, TimePoint now);
    // The connection to that VM, or null when it is this VM or there is none.
    std::shared_ptr<RelayStream> streamFor(const ServerEntry&, TimePoint now);
    // The VM could not reach the server.
    void recordUnreachableServer(const std::shared_ptr<RelayStream>&, const BackendServerId&, TimePoint now);
    void sweep(TimePoint now);

private:
    // Leaves out a VM whose connection cannot be used any more.
    void excludeRelay(const VmId&, TimePoint now);

    boost::asio::io_context& context;
    RelayPlacement placement;
    std::map<VmId, Endpoint> addresses;
    std::map<VmId, std::shared_ptr<RelayStream>> streams;
    // Losses in a row, for the growing time for which a VM is left out.
    std::map<VmId, unsigned> consecutiveLosses;
};

// The way to a backend server over the connections that another VM holds.
class RelayedPool final : public LinkPool {
public:
    RelayedPool(RelayStreamPool&, const BackendCodec&, const ServerEntry&);

    uint64_t acquire(const std::string& organisation, uint32_t priority, TimePoint giveUpAt, AcquireCallback) override;
    // Requests wait at the other VM.
    void cancel(uint64_t) override { }
    void release(const std::shared_ptr<BackendLink>&) override;
    void drop(const std::shared_ptr<BackendLink>&) override;
    // The other VM sees the answers and limits what it sends.
    void recordBusy() override { }
    void recordReply() override { }
    bool hasFreeLink(const std::string&) const override { return true; }
    uint32_t outstandingRequests() const override { return static_cast<uint32_t>(this->linksInUse.size()); }

private:
    RelayStreamPool& relayStreams;
    const BackendCodec& codec;
    std::map<BackendLink*, std::shared_ptr<RelayedLink>> linksInUse;
};

}

#pragma once

#include "foxtailtrail/proxy/RelayClient.h"
#include "foxtailtrail/proxy/ServerPool.h"
#include "foxtailtrail/scheduling/RelayPlacement.h"

#include <functional>
#include <map>
#include <memory>

namespace foxtail {

// The connections to VMs that hold connections to backend servers, and the choice among those VMs.
class RelayRoutes {
public:
    RelayRoutes(boost::asio::io_context&, RelayPlacement);

    // Sets the VMs that live and stay, with the addresses at which they relay.
    void setCandidates(const std::vector<RelayCandidate>&, std::map<VmId, Endpoint>);
    // The VM that should hold the connections to the server now.
    std::optional<VmId> relayFor(const ServerEntry&, TimePoint now);
    // The connection to that VM, or null when it is this VM or there is none.
    std::shared_ptr<RelayStream> streamFor(const ServerEntry&, TimePoint now);
    // The VM could not reach the server.
    void noteUnreachable(const std::shared_ptr<RelayStream>&, const BackendServerId&, TimePoint now);
    void sweep(TimePoint now);

private:
    // Leaves out a VM whose connection cannot be used any more.
    void forget(const VmId&, TimePoint now);

    boost::asio::io_context& context;
    RelayPlacement placement;
    std::map<VmId, Endpoint> addresses;
    std::map<VmId, std::shared_ptr<RelayStream>> streams;
    // Losses in a row, for the growing time for which a VM is left out.
    std::map<VmId, unsigned> losses;
};

// The way to a backend server over the connections that another VM holds.
class RelayedPool final : public ServerPool {
public:
    RelayedPool(RelayRoutes&, const BackendCodec&, const ServerEntry&);

    uint64_t acquire(const std::string& organisation, uint32_t priority, TimePoint giveUpAt, Callback) override;
    // Requests wait at the other VM.
    void cancel(uint64_t) override { }
    void release(const std::shared_ptr<BackendLink>&) override;
    void drop(const std::shared_ptr<BackendLink>&) override;
    // The other VM sees the answers and limits what it sends.
    void noteBusy() override { }
    void noteAnswer() override { }
    bool hasFree(const std::string&) const override { return true; }
    uint32_t outstanding() const override { return static_cast<uint32_t>(this->inUse.size()); }

private:
    RelayRoutes& routes;
    const BackendCodec& codec;
    std::map<BackendLink*, std::shared_ptr<RelayedLink>> inUse;
};

}

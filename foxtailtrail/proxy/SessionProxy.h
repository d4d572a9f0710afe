#pragma once

#include "foxtailtrail/base/ErrorKind.h"
#include "foxtailtrail/config/RouteTable.h"
#include "foxtailtrail/limits/LocalQuota.h"
#include "foxtailtrail/proxy/CallerCodec.h"
#include "foxtailtrail/proxy/CallerConnection.h"
#include "foxtailtrail/proxy/DirectPool.h"
#include "foxtailtrail/proxy/GroupTracker.h"
#include "foxtailtrail/proxy/ProxyMetrics.h"
#include "foxtailtrail/proxy/ProxySettings.h"
#include "foxtailtrail/proxy/RelayedPool.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace foxtail {

// How a request of a caller ended, for its log line and the metrics.
struct RequestOutcome {
    std::string requestId;
    std::string database;
    std::string organisation;
    std::string server;
    uint32_t attempts = 0;
    // Empty when it was served.
    std::optional<ErrorKind> error;
    std::string detail;
    Duration elapsed { 0 };
};

// The session path of a VM: callers' connections, the pools of backend connections, and what traffic shows about the groups. All
// of it runs on one thread.
class SessionProxy final : public GroupContext {
public:
    using GroupExaminer = std::function<void(const ServiceName&, std::string_view reason)>;

    SessionProxy(boost::asio::io_context&, ProxySettings, const CallerCodec&, const BackendCodec&);
    ~SessionProxy() override;

    // Starts to accept callers. Fails with Internal when the address cannot be bound.
    Result<void> listen();
    // Sets who examines groups whose primary is in doubt.
    void setExaminer(GroupExaminer examiner) { this->groupExaminer = std::move(examiner); }

    // Sets who knows whether the store serves this VM.
    void setStoreUnavailableCheck(std::function<bool()> check) { this->storeUnavailableCheck = std::move(check); }
    // Sets who knows whether this VM is cut off.
    void setIsolationCheck(std::function<bool()> check) { this->isolationCheck = std::move(check); }
    // Sets who asks for grants of quotas; called when one may be due.
    void setGrantRequester(std::function<void()> tick) { this->grantRequester = std::move(tick); }

    // Installs a configuration. One that is not newer than the installed one is ignored. Returns whether it was installed.
    // The source tells the log where it came from.
    bool installConfiguration(std::shared_ptr<const RouteTable>, std::string_view source);
    bool isConfigured() const { return this->table != nullptr; }
    // The version of the installed configuration, or 0.
    uint64_t configurationVersion() const { return this->table ? this->table->version : 0; }
    const RouteTable& routeTable() const { return *this->table; }
    // Calls back once a configuration is there, or with false after a bounded time.
    void whenConfigured(std::function<void(bool)>);

    // Changes the directory and tells the groups.
    void updateServerDirectory(const std::function<void(ServerDirectory&)>&);
    // Sets the VMs that share quotas and connections, by data centre.
    void setVmCounts(std::map<DataCentre, size_t> vms);
    size_t fleetSize() const { return this->vmCount; }
    // Sets the VMs that may hold connections for others, with the addresses of the other ones.
    void setRelays(const std::vector<RelayCandidate>&, std::map<VmId, Endpoint>);
    // This VM's own connections to a server, for another VM that takes it for their holder; null when the server is not known.
    std::shared_ptr<LinkPool> poolForPeer(const BackendServerId&);

    // Admits an operation of the organisation, perhaps after waiting for a grant.
    void admit(const OrganisationLimit&, std::function<void(bool)>);
    LocalQuota& quota() { return this->quotaShare; }
    // Serves the operations that wait for a grant.
    void serveQuotaWaiters();

    // Stops to keep callers: idle sessions are closed from the first time on, open transactions are ended at the second.
    void startDraining(TimePoint closeIdleFrom, TimePoint endTransactionsAt);
    size_t sessionCount() const { return this->connections.size(); }

    std::shared_ptr<GroupTracker> group(const ServiceName&);
    // What this VM knows about its groups that is newer than the given time, and what another VM knows.
    std::vector<GroupUpdate> groupUpdates(TimePoint newerThan) const;
    void applyGroupUpdates(const std::vector<GroupUpdate>&);
    void removeConnection(CallerConnection&);
    void addToSweep(CallerConnection&);
    // Logs and counts a request.
    void recordRequest(const RequestOutcome&);
    void post(std::function<void()>);
    boost::asio::io_context& ioContext() { return this->context; }
    const CallerCodec& callerCodec() const { return this->codecForCallers; }
    ProxyMetrics& metrics() { return this->proxyMetrics; }
    // Connections to backend servers, open or being opened.
    size_t backendConnectionCount() const;
    const ProxySettings& settings() const { return this->proxySettings; }

    // GroupHost
    const ServerDirectory& directory() const override { return this->servers; }
    std::shared_ptr<LinkPool> pool(const BackendServerId&) override;
    Distance distanceTo(const ServerEntry&) const override;
    const BackendCodec& backendCodec() const override { return this->codecForBackends; }
    bool isIsolated() const override { return this->isolationCheck && this->isolationCheck(); }
    bool mayMissServers() const override { return !this->storeUnavailableCheck || this->storeUnavailableCheck(); }
    void examineGroup(const ServiceName&, std::string_view reason) override;

private:
    struct ConfigurationWaiter {
        TimePoint giveUpAt {};
        std::function<void(bool)> callback;
    };
    struct QuotaWaiter {
        OrganisationLimit limit;
        TimePoint giveUpAt {};
        std::function<void(bool)> callback;
    };
    void acceptNext();
    void scheduleSweep();
    void sweep();
    // Whether one VM holds the connections to each server of the service.
    bool usesRelay(const ServiceName&) const;
    // Whether this VM holds the connections to a server for all.
    bool isRelayFor(const ServerEntry&, TimePoint now);
    std::shared_ptr<DirectPool> directPool(const BackendServerId&);
    void updatePoolSizes();
    void retireRemovedServerPools();
    // Has primaries replaced that drain or have left the list.
    void examineLeavingPrimaries();

    boost::asio::io_context& context;
    ProxySettings proxySettings;
    const CallerCodec& codecForCallers;
    const BackendCodec& codecForBackends;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer sweepTimer;
    GroupExaminer groupExaminer;
    std::function<void()> grantRequester;
    std::function<bool()> isolationCheck;
    std::function<bool()> storeUnavailableCheck;
    std::shared_ptr<const RouteTable> table;
    std::list<ConfigurationWaiter> configurationWaiters;
    ServerDirectory servers;
    std::map<ServiceName, std::shared_ptr<GroupTracker>> groups;
    // This VM's own connections, and the way to those that other VMs hold.
    std::map<BackendServerId, std::shared_ptr<DirectPool>> directPools;
    RelayStreamPool relays;
    // Until when this VM counts as the holder of a server's connections because others have used them here.
    std::map<BackendServerId, TimePoint> usedByPeersUntil;
    std::map<BackendServerId, std::shared_ptr<RelayedPool>> relayedPools;
    LocalQuota quotaShare;
    std::list<QuotaWaiter> quotaWaiters;
    std::map<DataCentre, size_t> vmCountByDataCentre;
    size_t vmCount = 1;
    std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>> connections;
    // The connections with a request or transaction under way.
    std::set<CallerConnection*> connectionsToSweep;
    bool draining = false;
    TimePoint closeIdleAt {};
    TimePoint endTransactionsAt {};
    bool transactionsEnded = false;
    ProxyMetrics proxyMetrics;
};

}

#pragma once

#include "foxtailtrail/base/ErrorKind.h"
#include "foxtailtrail/config/RouteTable.h"
#include "foxtailtrail/limits/QuotaShare.h"
#include "foxtailtrail/proxy/CallerCodec.h"
#include "foxtailtrail/proxy/CallerConnection.h"
#include "foxtailtrail/proxy/DirectPool.h"
#include "foxtailtrail/proxy/GroupTraffic.h"
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
    std::string id;
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
class SessionProxy final : public GroupHost {
public:
    using Examine = std::function<void(const ServiceName&, std::string_view reason)>;

    SessionProxy(boost::asio::io_context&, ProxySettings, const CallerCodec&, const BackendCodec&);
    ~SessionProxy() override;

    // Starts to accept callers. Fails with Internal when the address cannot be bound.
    Result<void> listen();
    // Sets who examines groups whose primary is in doubt.
    void setExaminer(Examine examiner) { this->examine = std::move(examiner); }

    // Sets who knows whether the store serves this VM.
    void setStoreCheck(std::function<bool()> check) { this->storeLost = std::move(check); }
    // Sets who knows whether this VM is cut off.
    void setIsolationCheck(std::function<bool()> check) { this->isolated = std::move(check); }
    // Sets who asks for grants of quotas; called when one may be due.
    void setQuotaTick(std::function<void()> tick) { this->quotaTick = std::move(tick); }

    // Installs a configuration. One that is not newer than the installed one is ignored. Returns whether it was installed.
    // The source tells the log where it came from.
    bool install(std::shared_ptr<const RouteTable>, std::string_view source);
    bool isConfigured() const { return this->table != nullptr; }
    // The version of the installed configuration, or 0.
    uint64_t configurationVersion() const { return this->table ? this->table->version : 0; }
    const RouteTable& routeTable() const { return *this->table; }
    // Calls back once a configuration is there, or with false after a bounded time.
    void whenConfigured(std::function<void(bool)>);

    // Changes the directory and tells the groups.
    void changeDirectory(const std::function<void(ServerDirectory&)>&);
    // Sets the VMs that share quotas and connections, by data centre.
    void setFleet(std::map<DataCentre, size_t> vms);
    size_t fleetSize() const { return this->vmCount; }
    // Sets the VMs that may hold connections for others, with the addresses of the other ones.
    void setRelays(const std::vector<RelayCandidate>&, std::map<VmId, Endpoint>);
    // This VM's own connections to a server, for another VM that takes it for their holder; null when the server is not known.
    std::shared_ptr<ServerPool> poolForOthers(const BackendServerId&);

    // Admits an operation of the organisation, perhaps after waiting for a grant.
    void admit(const OrganisationLimit&, std::function<void(bool)>);
    QuotaShare& quota() { return this->quotaShare; }
    // Serves the operations that wait for a grant.
    void serveQuotaWaiters();

    // Stops to keep callers: idle sessions are closed from the first time on, open transactions are ended at the second.
    void startDraining(TimePoint closeIdleFrom, TimePoint endTransactionsAt);
    size_t sessionCount() const { return this->connections.size(); }

    std::shared_ptr<GroupTraffic> group(const ServiceName&);
    // What this VM knows about its groups that is newer than the given time, and what another VM knows.
    std::vector<GroupNews> news(TimePoint newerThan) const;
    void takeNews(const std::vector<GroupNews>&);
    void forget(CallerConnection&);
    void noteWork(CallerConnection&);
    // Logs and counts a request.
    void noteRequest(const RequestOutcome&);
    void post(std::function<void()>);
    boost::asio::io_context& ioContext() { return this->context; }
    const CallerCodec& callerCodec() const { return this->callers; }
    ProxyMetrics& metrics() { return this->proxyMetrics; }
    // Connections to backend servers, open or being opened.
    size_t backendConnections() const;
    const ProxySettings& settings() const { return this->proxySettings; }

    // GroupHost
    const ServerDirectory& directory() const override { return this->servers; }
    std::shared_ptr<ServerPool> pool(const BackendServerId&) override;
    Distance distanceTo(const ServerEntry&) const override;
    const BackendCodec& backendCodec() const override { return this->backends; }
    bool isIsolated() const override { return this->isolated && this->isolated(); }
    bool mayMissServers() const override { return !this->storeLost || this->storeLost(); }
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
    bool holdsConnections(const ServerEntry&, TimePoint now);
    std::shared_ptr<DirectPool> directPool(const BackendServerId&);
    void updateBudgets();
    void retireMissingPools();
    // Has primaries replaced that drain or have left the list.
    void examineLeavingPrimaries();

    boost::asio::io_context& context;
    ProxySettings proxySettings;
    const CallerCodec& callers;
    const BackendCodec& backends;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer sweepTimer;
    Examine examine;
    std::function<void()> quotaTick;
    std::function<bool()> isolated;
    std::function<bool()> storeLost;
    std::shared_ptr<const RouteTable> table;
    std::list<ConfigurationWaiter> configurationWaiters;
    ServerDirectory servers;
    std::map<ServiceName, std::shared_ptr<GroupTraffic>> groups;
    // This VM's own connections, and the way to those that other VMs hold.
    std::map<BackendServerId, std::shared_ptr<DirectPool>> directPools;
    RelayRoutes relays;
    // Until when this VM counts as the holder of a server's connections because others have used them here.
    std::map<BackendServerId, TimePoint> usedByOthersUntil;
    std::map<BackendServerId, std::shared_ptr<RelayedPool>> relayedPools;
    QuotaShare quotaShare;
    std::list<QuotaWaiter> quotaWaiters;
    std::map<DataCentre, size_t> vmsByDataCentre;
    size_t vmCount = 1;
    std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>> connections;
    // The connections with a request or transaction under way.
    std::set<CallerConnection*> working;
    bool draining = false;
    TimePoint closeIdleFrom {};
    TimePoint endTransactionsAt {};
    bool transactionsEnded = false;
    ProxyMetrics proxyMetrics;
};

}

#pragma once

#include "foxtailtrail/base/ErrorKind.h"
#include "foxtailtrail/config/RouteTable.h"
#include "foxtailtrail/limits/LocalQuota.h"
#include "foxtailtrail/limits/MemoryBudget.h"
#include "foxtailtrail/proxy/CallerCodec.h"
#include "foxtailtrail/proxy/CallerConnection.h"
#include "foxtailtrail/proxy/DirectPool.h"
#include "foxtailtrail/proxy/GroupTracker.h"
#include "foxtailtrail/proxy/ProxyMetrics.h"
#include "foxtailtrail/proxy/ProxySettings.h"
#include "foxtailtrail/proxy/RelayedPool.h"
#include "foxtailtrail/replication/EvacuationTable.h"
#include "foxtailtrail/session/StopSchedule.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace foxtail {

// The outcome of a caller's request, for its log line and the metrics.
struct RequestOutcome {
    std::string requestId;
    std::string database;
    std::string organisation;
    std::string server;
    uint32_t attempts = 0;
    // Empty when the request was served.
    std::optional<ErrorKind> error;
    std::string detail;
    Duration elapsed { 0 };
};

// The session path of a VM: callers' connections, the pools of backend connections, and what the traffic shows about the groups.
// Runs on one thread.
class SessionProxy final : public GroupContext, public LoadExchange {
public:
    using AdmissionCallback = std::function<void(std::optional<Duration> retryAfter)>;
    using GroupExaminer = std::function<void(const ServiceName&, std::string_view reason)>;

    SessionProxy(boost::asio::io_context&, ProxySettings, const CallerCodec&, const BackendCodec&);
    ~SessionProxy() override;

    // Starts accepting callers. Fails with Internal when the address cannot be bound.
    Result<void> listen();
    // Sets the function that examines groups whose primary may have failed.
    void setExaminer(GroupExaminer examiner) { this->groupExaminer = std::move(examiner); }

    // Sets the function that returns whether the store is unavailable to this VM.
    void setStoreUnavailableCheck(std::function<bool()> check) { this->storeUnavailableCheck = std::move(check); }
    // Sets the function that returns whether this VM is isolated.
    void setIsolationCheck(std::function<bool()> check) { this->isolationCheck = std::move(check); }
    // Sets the function that requests quota grants; called whenever a grant may be due.
    void setGrantRequester(std::function<void()> requester) { this->grantRequester = std::move(requester); }

    // Installs a configuration unless it is not newer than the installed one. Returns whether it was installed. The source, where
    // the configuration came from, is logged.
    bool installConfiguration(std::shared_ptr<const RouteTable>, std::string_view source);
    bool isConfigured() const { return this->table != nullptr; }
    // Returns the version of the installed configuration, or 0.
    uint64_t configurationVersion() const { return this->table ? this->table->version : 0; }
    const RouteTable& routeTable() const { return *this->table; }
    // Calls the callback with true once a configuration is installed, or with false after a timeout.
    void whenConfigured(std::function<void(bool)>);

    // Applies a change to the server directory and notifies the groups.
    void updateServerDirectory(const std::function<void(ServerDirectory&)>&);
    // Sets the number of VMs in each data centre that share quotas and connections.
    void setVmCounts(std::map<DataCentre, size_t> countByDataCentre);
    size_t fleetSize() const { return this->vmCount; }
    // Sets the VMs that may act as relays, with the addresses of the other VMs.
    void setRelays(const std::vector<RelayCandidate>&, std::map<VmId, Endpoint>);
    // Returns the pool of this VM's own connections to a server, for a peer that uses this VM as the server's relay; null when the
    // server is not known.
    std::shared_ptr<LinkPool> poolForPeer(const BackendServerId&);

    // Decides whether an operation of the organisation is admitted, possibly after waiting for a token, and passes the decision to
    // the callback: an empty optional, or after how long a token can be there.
    void admit(const OrganisationLimit&, const QuotaOperation&, AdmissionCallback);
    LocalQuota& quota() { return this->localQuota; }
    // Evaluates the operations that wait for a grant again.
    void serveQuotaWaiters();

    // Begins a graceful stop of the sessions.
    void startStopping(const StopSchedule& schedule) { this->stop = schedule; }
    // Ends the transactions and sessions whose time has come by the schedule.
    void applyStop();
    // Accepts the connections that callers have already established, and no further ones.
    void stopAccepting();
    // Returns the schedule by which this VM stops, or an empty optional when it was not told to stop.
    const std::optional<StopSchedule>& stopSchedule() const { return this->stop; }
    size_t sessionCount() const { return this->connections.size(); }
    // Logs the requests that have no reply when the process ends. Returns their number.
    size_t logUnansweredRequests() const;

    std::shared_ptr<GroupTracker> group(const ServiceName&);
    // Returns the groups that this VM has traffic for or reports of.
    const std::map<ServiceName, std::shared_ptr<GroupTracker>>& followedGroups() const { return this->groups; }
    // Exchanges group updates with other VMs: returns those of this VM that are newer than the given time, and applies those of
    // another VM.
    std::vector<GroupUpdate> groupUpdates(TimePoint newerThan) const;
    void applyGroupUpdates(const std::vector<GroupUpdate>&);
    void removeConnection(CallerConnection&);
    // The budget of what is held for callers.
    const std::shared_ptr<MemoryBudget>& memoryBudget() const { return this->callerBudget; }
    // Makes a connection read on when memory becomes free.
    void addMemoryWaiter(const std::shared_ptr<CallerConnection>& connection) { this->memoryWaiters.push_back(connection); }
    void countMemoryRefusal(MemoryRefusal);
    void addToSweep(CallerConnection&);
    // Logs the outcome of a request and counts it in the metrics.
    void recordRequest(const RequestOutcome&);
    void post(std::function<void()>);
    boost::asio::io_context& ioContext() { return this->context; }
    const CallerCodec& callerCodec() const { return this->codecForCallers; }
    ProxyMetrics& metrics() { return this->proxyMetrics; }
    // Returns the number of connections to backend servers, open or being opened.
    size_t backendConnectionCount() const;
    // Returns the number of statements that wait before the backend servers whose connections this VM holds.
    size_t waitingStatementCount() const;
    const ProxySettings& settings() const { return this->proxySettings; }

    // Overrides of GroupContext.
    const ServerDirectory& directory() const override { return this->servers; }
    std::shared_ptr<LinkPool> pool(const BackendServerId&) override;
    Distance distanceTo(const ServerEntry&) const override;
    const BackendCodec& backendCodec() const override { return this->codecForBackends; }
    bool isIsolated() const override { return this->isolationCheck && this->isolationCheck(); }
    bool mayStopSoon(const BackendServerId&, TimePoint now) const override;
    bool mayMissServers() const override { return !this->storeUnavailableCheck || this->storeUnavailableCheck(); }
    void examineGroup(const ServiceName&, std::string_view reason) override;
    Placement placementIn(const DataCentre& dataCentre, const Homes& homes, TimePoint now) const override
    {
        return this->placementRule.serverIn(dataCentre, homes, this->evacuationTable, now);
    }

    bool maySendWhileCold(const ServerEntry&, TimePoint now) const override;
    void recordSentWhileCold(const ServerEntry& entry, TimePoint now) override { this->coldServerRule.recordSent(entry.id, now); }
    // Sets the VMs that are registered, whether they are live or not.
    void setRegisteredVms(std::vector<VmId> vms) { this->coldServerRule.setFleet(std::move(vms)); }

    const EvacuationTable& evacuations() const { return this->evacuationTable; }
    // Applies a change to the evacuations and logs what it changed. The source, where it came from, is logged.
    void updateEvacuations(const std::function<void(EvacuationTable&)>&, std::string_view source);
    // Returns true while nothing but questions for its status may be sent to the server, because its data centre is evacuated.
    bool isEvacuated(const BackendServerId&) const;
    bool usesReportedLoad(const LinkPool&) override;
    double randomDraw() override;
    void recordReadChoice(const ReadChoice&) override;

    // Overrides of LoadExchange.
    std::vector<LoadReport> reportsBeside(const ServerEntry&) override;
    void handleReports(const ServiceName&, const std::vector<LoadReport>&) override;

private:
    struct ConfigurationWaiter {
        TimePoint giveUpAt {};
        std::function<void(bool)> callback;
    };
    struct QuotaWaiter {
        OrganisationLimit limit;
        QuotaOperation operation;
        AdmissionCallback callback;
    };
    void countQuotaRefusal(QuotaRefusalCause);
    // Refuses an operation and tells it when to return.
    void refuseByQuota(const OrganisationLimit&, const QuotaOperation&, QuotaRefusalCause, const AdmissionCallback&, TimePoint now);
    // Logs the operations that the quotas have refused since the last call.
    void logQuotaRefusals(TimePoint now);
    // Counts what became of the tokens, and logs it by organisation if operations were refused.
    void reportQuotaUsage(bool hasRefused);
    void acceptNext();
    // Accepts the next caller unless the maximum number of connections is reached.
    void resumeAccepting();
    // Closes the connections that have exceeded the limits of the memory budget and lets others read on.
    void sweepMemory(TimePoint now);
    void addConnection(boost::asio::ip::tcp::socket);
    void scheduleSweep();
    void sweep();
    // Returns whether the connections to each server of the service are held by a relay, that is by one VM for all.
    bool usesRelay(const ServiceName&) const;
    // Returns whether this VM is the relay of a server.
    bool isRelayFor(const ServerEntry&, TimePoint now);
    std::shared_ptr<DirectPool> directPool(const BackendServerId&);
    const std::shared_ptr<RelayedPool>& relayedPool(const ServerEntry&);
    // Returns the load of a server whose connections one VM holds for all, as this VM knows it.
    std::optional<ServerLoad> knownLoad(const ServerEntry&, TimePoint now);
    void updatePoolSizes();
    void retireRemovedServerPools();
    // Requests an examination of groups whose primary is draining or has been removed from the server directory.
    void examineLeavingPrimaries();
    // Returns whether the primary is in an evacuated data centre and a server elsewhere could replace it.
    bool hasToHandOverForEvacuation(const ServerEntry& primary) const;
    // Records how long the servers of the configured groups stay cold, by their reports.
    void recordColdServers();
    // Logs which evacuations have come into force, and which groups still have their primary there.
    void logEvacuations(TimePoint now);

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
    // The pools of this VM's own connections. Pools of relayed connections are in relayedPools.
    std::map<BackendServerId, std::shared_ptr<DirectPool>> directPools;
    RelayStreamPool relays;
    // The time until which this VM acts as the relay of a server because peers have used its connections.
    std::map<BackendServerId, TimePoint> usedByPeersUntil;
    std::map<BackendServerId, std::shared_ptr<RelayedPool>> relayedPools;
    EvacuationTable evacuationTable;
    PlacementRule placementRule;
    ColdServerRule coldServerRule;
    // The evacuations that were logged as in force, with the groups that had their primary there.
    std::map<DataCentre, std::string> loggedEvacuations;
    std::shared_ptr<MemoryBudget> callerBudget;
    // When the memory budget was last swept, and from when on its time limits count.
    TimePoint memorySweptAt {};
    TimePoint memoryLimitsCountFrom {};
    LocalQuota localQuota;
    std::list<QuotaWaiter> quotaWaiters;
    // The refused operations by cause since the last log line, and when the next line is due.
    std::array<size_t, quotaRefusalCauseNames.size()> quotaRefusals {};
    TimePoint nextQuotaRefusalLogAt {};
    std::map<DataCentre, size_t> vmCountByDataCentre;
    size_t vmCount = 1;
    std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>> connections;
    // The connections with a running request or an open transaction.
    std::set<CallerConnection*> connectionsToSweep;
    // The connections whose last replies are being sent, and when they are closed at the latest.
    std::list<std::pair<TimePoint, std::shared_ptr<CallerConnection>>> closingConnections;
    // In the order in which they wait.
    std::deque<std::weak_ptr<CallerConnection>> memoryWaiters;
    TimePoint nextMemorySweepAt {};
    std::array<size_t, memoryRefusalNames.size()> memoryRefusals {};
    bool isAcceptingPaused = false;
    std::optional<StopSchedule> stop;
    ProxyMetrics proxyMetrics;
    std::minstd_rand random;
};

}

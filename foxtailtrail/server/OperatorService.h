#pragma once

#include "foxtailtrail/burn/BurnReport.h"
#include "foxtailtrail/commands/CommandEvaluator.h"
#include "foxtailtrail/commands/CommandGrammar.h"
#include "foxtailtrail/commands/QueryEvaluator.h"
#include "foxtailtrail/server/BackendSlotPool.h"
#include "foxtailtrail/server/ControlPlane.h"
#include "foxtailtrail/server/Metrics.h"

#include <atomic>
#include <functional>
#include <mutex>

namespace foxtail {

// What an OperatorService is built from.
struct OperatorServiceSettings {
    const Settings& vmSettings;
    VmId self;
    std::string processName;
    // How busy the backend servers are whose homes this VM holds.
    std::function<std::map<BackendServerId, BackendLoad>()> backendLoads;
};

// Answers the operators' port: checks the operators' secret, runs commands and queries, and reports the burn of service levels.
// Everything but count() runs in fibers of the control thread.
class OperatorService {
public:
    OperatorService(OperatorServiceSettings, const SnapshotHolder&, ControlPlane&, Metrics&);

    // Answers POST /v1/command and GET /v1/burn.
    HttpResponse handleRequest(const HttpRequest&);

    // Counts a finished request for the reports. Safe to call from any thread.
    void countRequest(const RequestRecord&);

    // Answers the peer call "activity": what this VM knows and has counted.
    Result<json::object> handleActivityRequest(const json::object&);

    // Answers the peer call "stopVm".
    Result<json::object> handleStopRequest(const json::object&);

    // The metrics of this VM in the text format of Prometheus.
    std::string exposition();

    bool isStopRequested() const { return this->stopRequested; }

private:
    // The activity of the whole fleet with the burn counts, as far as the VMs answered.
    struct FleetActivity {
        FleetSnapshot fleet;
        BurnSnapshot burn;
    };

    Result<json::object> executeCommand(std::string_view text);
    Result<json::object> runQuery(const Query&);
    Result<json::object> proposeChange(const ChangeCommand&);
    Result<json::object> stopVm(const StopVmCommand&);
    FleetActivity collectFleetActivity();
    std::vector<ServiceObjective> objectives() const;

    OperatorServiceSettings settings;
    const SnapshotHolder& snapshots;
    ControlPlane& controlPlane;
    Metrics& metrics;
    std::string secret;
    std::mutex activityMutex;
    std::map<OrganisationId, OrganisationActivity> organisationActivities;
    BurnRecorder burnRecorder;
    uint64_t changeCount = 0;
    std::atomic<bool> stopRequested { false };
};

}

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

// Settings of an OperatorService.
struct OperatorServiceSettings {
    const Settings& vmSettings;
    VmId self;
    std::string processName;
    // Returns the load of the backend servers whose homes this VM holds.
    std::function<std::map<BackendServerId, BackendLoad>()> backendLoads;
};

// Handles the requests of the operator port: checks the operator secret, runs commands and queries, and reports SLO burn rates. All
// functions except countRequest() and isStopRequested() run in fibers of the control thread.
class OperatorService {
public:
    OperatorService(OperatorServiceSettings, const SnapshotHolder&, ControlPlane&, Metrics&);

    // Handles POST /v1/command and GET /v1/burn.
    HttpResponse handleRequest(const HttpRequest&);

    // Counts a finished request for the reports. Safe to call from any thread.
    void countRequest(const RequestRecord&);

    // Handles the peer call "activity": returns this VM's group views and request counts.
    Result<json::object> handleActivityRequest(const json::object&);

    // Handles the peer call "stopVm".
    Result<json::object> handleStopRequest(const json::object&);

    // Returns the metrics of this VM in the Prometheus text exposition format.
    std::string exposition();

    bool isStopRequested() const { return this->stopRequested; }

private:
    // The activity and burn counts of all VMs that replied.
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

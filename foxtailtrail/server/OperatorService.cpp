#include "foxtailtrail/server/OperatorService.h"

#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/filters/ResponseBuilder.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/server/ActivityCodec.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <array>
#include <boost/fiber/fiber.hpp>
#include <openssl/rand.h>

namespace foxtail {

namespace {

    constexpr std::string_view bearerPrefix = "Bearer ";
    constexpr Duration activityTimeout = std::chrono::milliseconds(500);
    constexpr Duration changeTimeout = std::chrono::seconds(5);

    constexpr std::array<std::string_view, 3> roleNames { "primary", "replica", "fenced" };
    constexpr std::array<std::string_view, burnWindowCount> windowNames { "5min", "30min", "1h", "6h", "30d" };

    json::object tableToJson(const Table& table) { return parseJsonObject(renderJson(table)).value(); }

    uint64_t lagOf(const ServerView& server, const GroupView& group)
    {
        const ServerView* primary = group.primary ? group.find(*group.primary) : nullptr;
        if (!primary || primary->status.position <= server.status.position)
            return 0;
        return primary->status.position.value - server.status.position.value;
    }

}

OperatorService::OperatorService(
    OperatorServiceSettings settings, const SnapshotHolder& snapshotHolder, ControlPlane& control, Metrics& metrics)
    : settings(std::move(settings))
    , snapshots(snapshotHolder)
    , controlPlane(control)
    , metrics(metrics)
    , secret(this->settings.vmSettings.operatorSecret)
    , burnRecorder(this->objectives())
{
}

std::vector<ServiceObjective> OperatorService::objectives() const
{
    std::vector<ServiceObjective> result;
    for (const ObjectiveSettings& objective : this->settings.vmSettings.objectives)
        result.push_back({ objective.service, objective.availabilityPercent, objective.latency });
    return result;
}

void OperatorService::countRequest(const RequestRecord& record)
{
    const std::lock_guard<std::mutex> lock(this->activityMutex);
    if (!record.organisation.empty()) {
        OrganisationActivity& activity = this->organisationActivities[record.organisation];
        activity.id = record.organisation;
        const bool wasRefused = record.error == ErrorKind::RateLimited || record.error == ErrorKind::LimitUnavailable;
        ++(wasRefused ? activity.refusedCount : activity.admittedCount);
    }
    if (!record.service.empty())
        this->burnRecorder.record({ record.service, record.organisation, record.error, record.duration }, now());
}

HttpResponse OperatorService::handleRequest(const HttpRequest& request)
{
    const std::string* authorization = request.header("Authorization");
    if (!authorization || !authorization->starts_with(bearerPrefix))
        return ResponseBuilder::errorResponse(
            { ErrorKind::KeyMissing, "the operator port requires the header Authorization: Bearer SECRET" });
    if (!equalInConstantTime(authorization->substr(bearerPrefix.size()), this->secret))
        return ResponseBuilder::errorResponse({ ErrorKind::KeyUnknown, "" });

    HttpResponse response;
    if (request.target == "/v1/burn" && request.method == "GET") {
        const BurnReport report = makeBurnReport(this->objectives(), this->collectFleetActivity().burn);
        response.body
            = json::serialize(json::object { { "text", renderBurnText(report) }, { "report", parseJson(renderBurnJson(report)).value() } });
        return response;
    }
    if (request.target != "/v1/command")
        return ResponseBuilder::errorResponse({ ErrorKind::UnknownRoute, "the operator port serves POST /v1/command and GET /v1/burn" });
    if (request.method != "POST")
        return ResponseBuilder::errorResponse({ ErrorKind::MethodNotAllowed, "/v1/command requires POST" });
    const auto run = [&]() -> Result<json::object> {
        BOOST_OUTCOME_TRY(const json::object body, parseJsonObject(request.body));
        BOOST_OUTCOME_TRY(const std::string text, stringMember(body, "text"));
        return this->executeCommand(text);
    };
    const Result<json::object> result = run();
    if (!result)
        return ResponseBuilder::errorResponse(result.error());
    response.body = json::serialize(result.value());
    return response;
}

Result<json::object> OperatorService::executeCommand(std::string_view text)
{
    const CommandParseResult parsed = parseCommand(text);
    if (!parsed)
        return fail(ErrorKind::CommandInvalid, parsed.error().message());
    const Command& command = parsed.value();
    if (const auto* query = std::get_if<Query>(&command))
        return this->runQuery(*query);
    if (const auto* changeCommand = std::get_if<ChangeCommand>(&command))
        return this->proposeChange(*changeCommand);
    if (const auto* stop = std::get_if<StopVmCommand>(&command))
        return this->stopVm(*stop);
    return json::object { { "message", commandHelp() } };
}

Result<json::object> OperatorService::runQuery(const Query& query)
{
    return tableToJson(evaluateQuery(query, this->collectFleetActivity().fleet));
}

Result<json::object> OperatorService::proposeChange(const ChangeCommand& command)
{
    const auto snapshot = this->snapshots.current();
    const Configuration empty;
    const Configuration& configuration = snapshot->configuration ? *snapshot->configuration : empty;
    ChangeContext context { this->settings.processName + "-op-" + std::to_string(++this->changeCount),
        "operator-" + this->settings.self.value, {} };
    RAND_bytes(context.randomBytes.data(), static_cast<int>(context.randomBytes.size()));
    EvaluatedChange evaluated = evaluateChange(command, configuration, context);
    if (auto* initialize = std::get_if<InitializeFleet>(&evaluated.change.action)) {
        for (const LiveVm& vm : snapshot->vms) {
            if (initialize->witnesses.size() < targetWitnessCount)
                initialize->witnesses.push_back({ vm.id, vm.peerEndpoint.address, vm.peerEndpoint.port });
        }
    }

    if (const auto* removedServer = std::get_if<RemoveServer>(&evaluated.change.action)) {
        // Only the primary can have acknowledged writes that the remaining servers do not have yet, so only its removal is refused.
        for (const auto& [id, group] : snapshot->groups) {
            if (group->primary == removedServer->id)
                return fail(
                    ErrorKind::CommandInvalid, "backend server " + removedServer->id.value + " is still the primary of " + id.value);
        }
    }
    const ProposalOutcome outcome = this->controlPlane.propose(std::move(evaluated.change), now() + changeTimeout);
    if (outcome.decision == ProposalDecision::Refused)
        return withSuggestion(outcome.error, command, configuration);
    if (outcome.decision == ProposalDecision::Unknown)
        return fail(ErrorKind::StoreOutcomeUnknown, outcome.error.detail);
    std::string message = std::string(proposalDecisionName(outcome.decision)) + " as version " + std::to_string(outcome.version);
    if (outcome.decision == ProposalDecision::StoredNotConfirmed)
        message += ": a majority of the witnesses has not replied, so VMs that cannot reach the store may still serve the previous version";
    json::object result { { "message", message }, { "version", outcome.version } };
    if (!evaluated.keyText.empty())
        result["key"] = evaluated.keyText;
    return result;
}

Result<json::object> OperatorService::stopVm(const StopVmCommand& command)
{
    if (command.vm == this->settings.self) {
        this->stopRequested = true;
        return json::object { { "message", "VM " + command.vm.value + " is stopping" } };
    }
    const auto snapshot = this->snapshots.current();
    const LiveVm* vm = snapshot->findVm(command.vm);
    if (!vm)
        return fail(ErrorKind::CommandInvalid, "there is no live VM " + command.vm.value);
    BOOST_OUTCOME_TRY(
        this->controlPlane.peerClient().call(vm->peerEndpoint, TrafficPurpose::Control, "stopVm", {}, now() + activityTimeout));
    return json::object { { "message", "VM " + command.vm.value + " is stopping" } };
}

Result<json::object> OperatorService::handleStopRequest(const json::object&)
{
    this->stopRequested = true;
    return json::object {};
}

Result<json::object> OperatorService::handleActivityRequest(const json::object&)
{
    const auto snapshot = this->snapshots.current();
    FleetSnapshot fleet;
    BurnSnapshot burnSnapshot;
    {
        const std::lock_guard<std::mutex> lock(this->activityMutex);
        for (const auto& [id, activity] : this->organisationActivities)
            fleet.organisations.push_back(activity);
        burnSnapshot = this->burnRecorder.snapshot(now());
    }
    const std::map<BackendServerId, BackendLoad> loadByServer = this->settings.backendLoads();
    for (const auto& [id, group] : snapshot->groups) {
        DatabaseActivity database { id, group->term, group->primary, 0, 0 };
        for (const ServerView& server : group->servers) {
            fleet.servers.push_back({ server.server, std::string(roleNames[static_cast<size_t>(server.status.role)]), server.isReachable,
                server.status.position, lagOf(server, *group) });
            const auto load = loadByServer.find(server.server);
            if (load == loadByServer.end())
                continue;
            database.slotsInUse += static_cast<uint32_t>(load->second.slotsInUse);
            database.queueLength += static_cast<uint32_t>(load->second.waitingCount);
        }
        fleet.databases.push_back(std::move(database));
    }
    json::object activity = encodeActivity(fleet);
    activity["burn"] = serializeBurnSnapshot(burnSnapshot);
    return activity;
}

OperatorService::FleetActivity OperatorService::collectFleetActivity()
{
    const auto snapshot = this->snapshots.current();
    FleetActivity collected;
    collected.fleet.configuration = snapshot->configuration;
    std::vector<boost::fibers::fiber> calls;
    std::vector<Result<json::object>> replies(snapshot->vms.size(), fail(ErrorKind::PeerUnavailable));
    for (size_t index = 0; index < snapshot->vms.size(); ++index) {
        calls.emplace_back([this, &snapshot, &replies, index] {
            const LiveVm& vm = snapshot->vms[index];
            replies[index] = vm.id == this->settings.self
                ? this->handleActivityRequest({})
                : this->controlPlane.peerClient().call(vm.peerEndpoint, TrafficPurpose::Control, "activity", {}, now() + activityTimeout);
        });
    }
    for (auto& call : calls)
        call.join();
    for (size_t index = 0; index < replies.size(); ++index) {
        const LiveVm& vm = snapshot->vms[index];
        const bool isStale = vm.id == this->settings.self && now() >= snapshot->servingDeadline;
        const std::string state = vm.isLeaving ? "leaving" : !replies[index] ? "silent" : isStale ? "stale" : "serving";
        collected.fleet.vms.push_back({ vm.id, vm.region, vm.dataCentre, vm.configurationVersion, state });
        if (!replies[index] || !mergeActivity(replies[index].value(), collected.fleet))
            continue;
        const Result<std::string> text = stringMember(replies[index].value(), "burn");
        const Result<BurnSnapshot> burnSnapshot = text ? parseBurnSnapshot(text.value()) : fail(ErrorKind::MalformedRequest);
        if (burnSnapshot)
            collected.burn.merge(burnSnapshot.value());
    }
    return collected;
}

std::string OperatorService::exposition()
{
    BurnSnapshot burnSnapshot;
    {
        const std::lock_guard<std::mutex> lock(this->activityMutex);
        burnSnapshot = this->burnRecorder.snapshot(now());
    }
    for (const ServiceBurn& service : makeBurnReport(this->objectives(), burnSnapshot).services) {
        for (size_t window = 0; window < burnWindowCount; ++window)
            this->metrics.setBurnRate(service.objective.service, windowNames[window], service.burnRates[window]);
    }
    for (const TrafficPurpose purpose :
        { TrafficPurpose::Statements, TrafficPurpose::Control, TrafficPurpose::Lending, TrafficPurpose::Configuration })
        this->metrics.setPeerTrafficBytes(trafficPurposeName(purpose), this->controlPlane.peerClient().transferredBytes(purpose));
    return this->metrics.exposition();
}

}

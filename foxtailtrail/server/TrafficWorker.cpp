#include "foxtailtrail/server/TrafficWorker.h"

#include "foxtailtrail/filters/AuthenticateFilter.h"
#include "foxtailtrail/filters/ParseFilter.h"
#include "foxtailtrail/filters/RateLimitFilter.h"
#include "foxtailtrail/filters/ResponseBuilder.h"
#include "foxtailtrail/filters/RouteFilter.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/server/Log.h"

namespace foxtail {

namespace {

    // Interval at which the worker checks for a new snapshot.
    constexpr Duration snapshotCheckInterval = std::chrono::milliseconds(2);
    // Calls between VMs carry complete results, which may be larger than callers' requests.
    constexpr uint64_t maxPeerBodyBytes = uint64_t { 16 } << 20;

    JsonRpcOutcome toOutcome(const Result<json::object>& result)
    {
        if (result)
            return { false, 0, json::serialize(result.value()) };
        return { true, jsonRpcApplicationError, std::string(errorKindProperties(result.error().kind).name) + ": " + result.error().detail };
    }

}

TrafficWorker::TrafficWorker(TrafficContext context, size_t index)
    : context(std::move(context))
    , index(index)
    , thread(FiberThread::start("traffic-" + std::to_string(index)))
{
    ControlPlane& control = this->context.controlPlane;
    FiberThread& controlThread = this->context.controlThread;
    TokenBorrowerSettings borrowerSettings;
    borrowerSettings.waitTimeout = this->context.settings.loanWaitTimeout;
    const VmId borrowerId(this->context.self.id.value + "/" + std::to_string(index));
    this->rateLimiter = std::make_unique<RateLimiter>(
        borrowerSettings, this->context.self.id, borrowerId, this->context.incarnation, this->peers, this->context.snapshots,
        [&control, &controlThread](const BorrowRequest& request) { return controlThread.call([&] { return control.lend(request); }); },
        [&control, &controlThread](const LoanReturn& message) { controlThread.call([&] { control.applyLoanReturn(message); }); });

    LocalHomes localHomes;
    localHomes.execute = [this](const TransactionRequest& request, const std::optional<TargetedRead>& targeted) {
        return this->context.workerOf(request.database).executeOnOwnThread(request, targeted);
    };
    localHomes.resolve
        = [this](const ResolveRequest& request) { return this->context.workerOf(request.database).resolveOnOwnThread(request); };
    this->homeClient = std::make_unique<HomeClient>(
        this->context.self.id, this->context.self.region, this->peers, this->context.snapshots, std::move(localHomes));

    // The filters run in the order of the guarantees that they enforce; see docs/design.md.
    RequestParserSettings parser;
    parser.defaultTimeout = this->context.settings.defaultRequestTimeout;
    parser.maxTimeout = this->context.settings.maxRequestTimeout;
    this->filters.push_back(
        std::make_unique<ParseFilter>(parser, TransactionLimits {}, this->context.processName + "-" + std::to_string(index)));
    this->filters.push_back(std::make_unique<AuthenticateFilter>());
    this->filters.push_back(std::make_unique<RateLimitFilter>(*this->rateLimiter));
    this->filters.push_back(std::make_unique<RouteFilter>(*this->homeClient, RetryPolicySettings {}));
    this->addPeerMethods();
}

TrafficWorker::~TrafficWorker() { this->stop(now()); }

template <typename Function> auto TrafficWorker::runOnOwnThread(Function function)
{
    return FiberThread::current() == this->thread.get() ? function() : this->thread->call(std::move(function));
}

Result<void> TrafficWorker::listen(uint16_t callerPort, uint16_t peerPort)
{
    HttpServerSettings callerSettings;
    callerSettings.address = this->context.settings.listenAddress;
    callerSettings.port = callerPort;
    callerSettings.maxBodyBytes = this->context.settings.maxBodyBytes;
    callerSettings.errorResponse = ResponseBuilder::errorResponse;
    callerSettings.reusePort = this->context.settings.trafficThreads > 1;
    BOOST_OUTCOME_TRY(this->callerServer, HttpServer::listen(*this->thread, callerSettings, [this](const HttpRequest& request) {
        return this->handleCallerRequest(request);
    }));

    HttpServerSettings peerSettings = callerSettings;
    peerSettings.port = peerPort;
    peerSettings.maxBodyBytes = maxPeerBodyBytes;
    BOOST_OUTCOME_TRY(this->peerServer,
        HttpServer::listen(*this->thread, peerSettings, [this](const HttpRequest& request) { return this->handlePeerRequest(request); }));

    this->runningLoopCount = 2;
    this->thread->post([this] {
        this->rateLimiter->run();
        --this->runningLoopCount;
    });
    this->thread->post([this] {
        std::shared_ptr<const ControlSnapshot> appliedSnapshot;
        while (!this->isStopping) {
            auto newest = this->context.snapshots.current();
            if (newest != appliedSnapshot) {
                appliedSnapshot = std::move(newest);
                for (auto& [database, home] : this->homes)
                    home->applySnapshot();
            }
            sleepFor(snapshotCheckInterval);
        }
        --this->runningLoopCount;
    });
    return succeed();
}

HttpResponse TrafficWorker::handleCallerRequest(const HttpRequest& http)
{
    if (http.target == "/healthz")
        return ResponseBuilder::healthResponse(*this->context.snapshots.current());
    RequestContext request { http, now(), this->context.snapshots.current() };
    Result<void> result = succeed();
    for (const auto& filter : this->filters) {
        result = filter->apply(request);
        if (!result)
            break;
    }
    const ResponseBuilder responseBuilder;
    RequestRecord record = responseBuilder.makeRequestRecord(request, result);
    this->context.metrics.countRequest(record);
    this->context.operatorService.countRequest(record);
    return responseBuilder.response(request, result);
}

HttpResponse TrafficWorker::handlePeerRequest(const HttpRequest& http)
{
    if (http.method != "POST" || http.target != peerRpcTarget)
        return ResponseBuilder::errorResponse({ ErrorKind::UnknownRoute, "the peer port serves POST /rpc" });
    HttpResponse response;
    response.body = this->dispatcher.handle(http.body);
    return response;
}

void TrafficWorker::addPeerMethods()
{
    this->dispatcher.addMethod("execute", [this](const std::string& text) {
        const auto run = [&]() -> Result<json::object> {
            BOOST_OUTCOME_TRY(const json::object parameters, parseJsonObject(text));
            BOOST_OUTCOME_TRY(const TransactionRequest request, decodeRequest(parameters, now()));
            BOOST_OUTCOME_TRY(const std::optional<TargetedRead> targeted, decodeTargetedRead(parameters));
            return encodeHomeResponse(this->context.workerOf(request.database).executeOnOwnThread(request, targeted));
        };
        return toOutcome(run());
    });
    this->dispatcher.addMethod("resolve", [this](const std::string& text) {
        const auto run = [&]() -> Result<json::object> {
            BOOST_OUTCOME_TRY(const json::object parameters, parseJsonObject(text));
            BOOST_OUTCOME_TRY(const ResolveRequest request, decodeResolveRequest(parameters, now()));
            return encodeResolutionResult(this->context.workerOf(request.database).resolveOnOwnThread(request));
        };
        return toOutcome(run());
    });

    ControlPlane& control = this->context.controlPlane;
    this->addControlMethod("ping", control, &ControlPlane::handlePing);
    this->addControlMethod("configurationVersion", control, &ControlPlane::handleVersionRequest);
    this->addControlMethod("configurationDocument", control, &ControlPlane::handleDocumentRequest);
    this->addControlMethod("borrow", control, &ControlPlane::handleBorrowRequest);
    this->addControlMethod("giveBack", control, &ControlPlane::handleLoanReturn);
    this->addControlMethod("probe", control, &ControlPlane::handleProbeRequest);
    this->addControlMethod("activity", this->context.operatorService, &OperatorService::handleActivityRequest);
    this->addControlMethod("stopVm", this->context.operatorService, &OperatorService::handleStopRequest);
}

template <typename Target>
void TrafficWorker::addControlMethod(const char* name, Target& target, Result<json::object> (Target::*method)(const json::object&))
{
    this->dispatcher.addMethod(name, [this, &target, method](const std::string& text) {
        const auto run = [&]() -> Result<json::object> {
            BOOST_OUTCOME_TRY(const json::object parameters, parseJsonObject(text));
            return this->context.controlThread.call([&] { return (target.*method)(parameters); });
        };
        return toOutcome(run());
    });
}

DatabaseHome& TrafficWorker::findOrCreateHome(const DatabaseId& database)
{
    std::unique_ptr<DatabaseHome>& home = this->homes[database];
    if (home)
        return *home;
    DatabaseHomeSettings settings { database, this->context.processName, this->context.self.region,
        { this->context.settings.maxAnswerBytes }, { this->context.settings.replicaWaitTimeout } };
    home = std::make_unique<DatabaseHome>(
        std::move(settings), this->context.snapshots, *this->homeClient, [this, database](LogPoint commit, TimePoint deadline) {
            return this->context.controlThread.call([&] { return this->context.controlPlane.awaitDurability(database, commit, deadline); });
        });
    home->applySnapshot();
    return *home;
}

HomeResponse TrafficWorker::executeOnOwnThread(const TransactionRequest& request, const std::optional<TargetedRead>& targeted)
{
    return this->runOnOwnThread([&] { return this->findOrCreateHome(request.database).execute(request, targeted); });
}

ResolutionResult TrafficWorker::resolveOnOwnThread(const ResolveRequest& request)
{
    return this->runOnOwnThread([&] { return this->findOrCreateHome(request.database).resolve(request); });
}

std::map<BackendServerId, BackendLoad> TrafficWorker::backendLoads()
{
    return this->runOnOwnThread([this] {
        std::map<BackendServerId, BackendLoad> loadByServer;
        for (const auto& [database, home] : this->homes)
            loadByServer.merge(home->backendLoads());
        return loadByServer;
    });
}

uint64_t TrafficWorker::transferredPeerBytes(TrafficPurpose purpose)
{
    return this->runOnOwnThread([&] { return this->peers.transferredBytes(purpose); });
}

void TrafficWorker::stopAcceptingCallers() { this->callerServer->stopAccepting(); }

bool TrafficWorker::drainCallers(TimePoint deadline) { return this->callerServer->drain(deadline); }

void TrafficWorker::stop(TimePoint deadline)
{
    if (this->isStopping.exchange(true))
        return;
    this->thread->call([this] { this->rateLimiter->stop(); });
    while (this->runningLoopCount > 0 && now() < deadline)
        sleepFor(snapshotCheckInterval);
    if (this->peerServer)
        this->peerServer->drain(deadline);
}

}

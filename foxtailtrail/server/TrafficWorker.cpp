#include "foxtailtrail/server/TrafficWorker.h"

#include "foxtailtrail/filters/AcceptFilter.h"
#include "foxtailtrail/filters/AdmitFilter.h"
#include "foxtailtrail/filters/AnswerFilter.h"
#include "foxtailtrail/filters/AuthenticateFilter.h"
#include "foxtailtrail/filters/RouteFilter.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/server/Log.h"

namespace foxtail {

namespace {

    // How often the homes look for a new snapshot.
    constexpr Duration updateInterval = std::chrono::milliseconds(2);
    // Calls between VMs carry whole answers, which may be larger than callers' requests.
    constexpr uint64_t maxPeerBodyBytes = uint64_t { 16 } << 20;

    JsonRpcOutcome toOutcome(const Result<json::object>& result)
    {
        if (result)
            return { false, 0, json::serialize(result.value()) };
        return { true, jsonRpcApplicationError, std::string(errorKindRow(result.error().kind).name) + ": " + result.error().detail };
    }

}

TrafficWorker::TrafficWorker(TrafficContext context, size_t index)
    : context(std::move(context))
    , index(index)
    , thread(FiberThread::start("traffic-" + std::to_string(index)))
{
    ControlLoop& control = this->context.control;
    FiberThread& controlThread = this->context.controlThread;
    ShareBorrowerSettings borrowing;
    borrowing.longestWait = this->context.settings.loanWait;
    const VmId borrowerId(this->context.self.id.value + "/" + std::to_string(index));
    this->gate = std::make_unique<LimitGate>(
        borrowing, this->context.self.id, borrowerId, this->context.incarnation, this->peers, this->context.board,
        [&control, &controlThread](const BorrowRequest& request) { return controlThread.call([&] { return control.lend(request); }); },
        [&control, &controlThread](const GiveBack& message) { controlThread.call([&] { control.takeBack(message); }); });

    LocalHomes local;
    local.execute = [this](const TransactionRequest& request, const std::optional<TargetedRead>& targeted) {
        return this->context.workerOf(request.database).executeHere(request, targeted);
    };
    local.resolve = [this](const ResolveRequest& request) { return this->context.workerOf(request.database).resolveHere(request); };
    this->caller = std::make_unique<HomeCaller>(
        this->context.self.id, this->context.self.region, this->peers, this->context.board, std::move(local));

    // The order of the filters is the order of the promises that they keep; see docs/design.md.
    RequestParserSettings parser;
    parser.defaultDeadline = this->context.settings.defaultDeadline;
    parser.maxDeadline = this->context.settings.maxDeadline;
    this->filters.push_back(
        std::make_unique<AcceptFilter>(parser, TransactionLimits {}, this->context.processName + "-" + std::to_string(index)));
    this->filters.push_back(std::make_unique<AuthenticateFilter>());
    this->filters.push_back(std::make_unique<AdmitFilter>(*this->gate));
    this->filters.push_back(std::make_unique<RouteFilter>(*this->caller, RetryPolicySettings {}));
    this->addPeerMethods();
}

TrafficWorker::~TrafficWorker() { this->stop(now()); }

template <typename Function> auto TrafficWorker::onOwnThread(Function function)
{
    return FiberThread::current() == this->thread.get() ? function() : this->thread->call(std::move(function));
}

Result<void> TrafficWorker::listen(uint16_t callerPort, uint16_t peerPort)
{
    HttpServerSettings callerSettings;
    callerSettings.address = this->context.settings.listenAddress;
    callerSettings.port = callerPort;
    callerSettings.maxBodyBytes = this->context.settings.maxBodyBytes;
    callerSettings.errorResponse = AnswerFilter::errorResponse;
    callerSettings.sharePort = this->context.settings.trafficThreads > 1;
    BOOST_OUTCOME_TRY(this->callerServer,
        HttpServer::listen(*this->thread, callerSettings, [this](const HttpRequest& request) { return this->answerCaller(request); }));

    HttpServerSettings peerSettings = callerSettings;
    peerSettings.port = peerPort;
    peerSettings.maxBodyBytes = maxPeerBodyBytes;
    BOOST_OUTCOME_TRY(this->peerServer,
        HttpServer::listen(*this->thread, peerSettings, [this](const HttpRequest& request) { return this->answerPeer(request); }));

    this->loops = 2;
    this->thread->post([this] {
        this->gate->run();
        --this->loops;
    });
    this->thread->post([this] {
        std::shared_ptr<const Snapshot> handled;
        while (!this->stopping) {
            auto newest = this->context.board.current();
            if (newest != handled) {
                handled = std::move(newest);
                for (auto& [database, home] : this->homes)
                    home->update();
            }
            sleepFor(updateInterval);
        }
        --this->loops;
    });
    return succeed();
}

HttpResponse TrafficWorker::answerCaller(const HttpRequest& http)
{
    if (http.target == "/healthz")
        return AnswerFilter::healthResponse(*this->context.board.current());
    RequestContext request { http, now(), this->context.board.current() };
    Result<void> result = succeed();
    for (const auto& filter : this->filters) {
        result = filter->apply(request);
        if (!result)
            break;
    }
    const AnswerFilter answer;
    RequestRecord record = answer.record(request, result);
    this->context.metrics.countRequest(record);
    this->context.operators.count(record);
    return answer.response(request, result);
}

HttpResponse TrafficWorker::answerPeer(const HttpRequest& http)
{
    if (http.method != "POST" || http.target != peerRpcTarget)
        return AnswerFilter::errorResponse({ ErrorKind::UnknownRoute, "VMs call POST /rpc" });
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
            return encodeHomeAnswer(this->context.workerOf(request.database).executeHere(request, targeted));
        };
        return toOutcome(run());
    });
    this->dispatcher.addMethod("resolve", [this](const std::string& text) {
        const auto run = [&]() -> Result<json::object> {
            BOOST_OUTCOME_TRY(const json::object parameters, parseJsonObject(text));
            BOOST_OUTCOME_TRY(const ResolveRequest request, decodeResolveRequest(parameters, now()));
            return encodeResolved(this->context.workerOf(request.database).resolveHere(request));
        };
        return toOutcome(run());
    });

    ControlLoop& control = this->context.control;
    this->addControlMethod("ping", control, &ControlLoop::answerPing);
    this->addControlMethod("configurationVersion", control, &ControlLoop::reportVersion);
    this->addControlMethod("configurationDocument", control, &ControlLoop::reportDocument);
    this->addControlMethod("borrow", control, &ControlLoop::borrow);
    this->addControlMethod("giveBack", control, &ControlLoop::takeBack);
    this->addControlMethod("probe", control, &ControlLoop::probe);
    this->addControlMethod("activity", this->context.operators, &OperatorService::reportActivity);
    this->addControlMethod("stopVm", this->context.operators, &OperatorService::acceptStop);
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

DatabaseHome& TrafficWorker::homeOf(const DatabaseId& database)
{
    std::unique_ptr<DatabaseHome>& home = this->homes[database];
    if (home)
        return *home;
    DatabaseHomeSettings settings { database, this->context.processName, this->context.self.region,
        { this->context.settings.maxAnswerBytes }, { this->context.settings.replicaWait } };
    home = std::make_unique<DatabaseHome>(
        std::move(settings), this->context.board, *this->caller, [this, database](LogPoint commit, TimePoint deadline) {
            return this->context.controlThread.call([&] { return this->context.control.awaitDurability(database, commit, deadline); });
        });
    home->update();
    return *home;
}

HomeAnswer TrafficWorker::executeHere(const TransactionRequest& request, const std::optional<TargetedRead>& targeted)
{
    return this->onOwnThread([&] { return this->homeOf(request.database).execute(request, targeted); });
}

Resolved TrafficWorker::resolveHere(const ResolveRequest& request)
{
    return this->onOwnThread([&] { return this->homeOf(request.database).resolve(request); });
}

std::map<BackendServerId, LaneLoad> TrafficWorker::loads()
{
    return this->onOwnThread([this] {
        std::map<BackendServerId, LaneLoad> all;
        for (const auto& [database, home] : this->homes)
            all.merge(home->loads());
        return all;
    });
}

uint64_t TrafficWorker::peerBytes(TrafficPurpose purpose)
{
    return this->onOwnThread([&] { return this->peers.bytes(purpose); });
}

bool TrafficWorker::drainCallers(TimePoint deadline) { return this->callerServer->drain(deadline); }

void TrafficWorker::stop(TimePoint deadline)
{
    if (this->stopping.exchange(true))
        return;
    this->thread->call([this] { this->gate->stop(); });
    while (this->loops > 0 && now() < deadline)
        sleepFor(updateInterval);
    if (this->peerServer)
        this->peerServer->drain(deadline);
}

}

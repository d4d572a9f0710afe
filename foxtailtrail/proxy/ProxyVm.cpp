#include "foxtailtrail/proxy/ProxyVm.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/server/Log.h"

#include <boost/fiber/future.hpp>
#include <csignal>
#include <utility>

namespace foxtail {

namespace {

    // The balancer takes a VM out of rotation after two probes, a second apart; idle sessions are closed after that.
    constexpr Duration rotationDelay = std::chrono::milliseconds(2300);
    // Before the kill, the process ends by itself.
    constexpr Duration endMargin = std::chrono::milliseconds(500);
    constexpr Duration stopPollInterval = std::chrono::milliseconds(50);

}

ProxyVm::ProxyVm(FiberThread& thread, std::string settingsFile, const ProxySettings& settings, const ProxyPlatform& platform,
    std::function<void()> ended)
    : thread(thread)
    , settingsFile(std::move(settingsFile))
    , settings(settings)
    , ended(std::move(ended))
    , store(platform.makeStore(settings))
    , orders(platform.makeOrders(settings))
    , proxy(thread.ioContext(), settings, platform.callers, platform.backends)
    , peers(thread.ioContext(), proxy,
          [this](const Endpoint& peer, uint64_t version) { this->follower.noteNewerConfiguration(peer, version); })
    , relay(thread.ioContext(), platform.backends, [this](const BackendServerId& id) { return this->proxy.poolForOthers(id); })
    , follower(proxy, *store, platform.declarations, peers)
    , succession(
          proxy, *store, *orders, [this](std::string_view key) { return this->peers.rankFor(key); },
          [this] { return this->follower.refreshFleet(); })
    , signals(thread.ioContext(), SIGTERM, SIGINT, SIGHUP)
{
}

Result<void> ProxyVm::start()
{
    this->proxy.setExaminer([this](const ServiceName& service, std::string_view reason) { this->succession.examine(service, reason); });
    this->proxy.setStoreCheck([this] { return this->follower.isAnyTableLost(); });
    this->proxy.setIsolationCheck([this] { return this->isIsolated(); });
    this->proxy.setQuotaTick([this] { this->peers.quotaTick(); });
    BOOST_OUTCOME_TRY(this->peers.start());
    BOOST_OUTCOME_TRY(this->relay.listen({ this->settings.peers.address, this->settings.relayPort }));
    HttpServerSettings ready;
    ready.address = this->settings.ready.address;
    ready.port = this->settings.ready.port;
    ready.errorResponse = [](const Error&) { return HttpResponse { 400, "text/plain", {}, {} }; };
    BOOST_OUTCOME_TRY(this->readyServer,
        HttpServer::listen(this->thread, ready, [this](const HttpRequest& request) { return this->answerReady(request); }));
    HttpServerSettings peer = ready;
    peer.address = this->settings.peers.address;
    peer.port = this->settings.peers.port;
    BOOST_OUTCOME_TRY(this->peerServer,
        HttpServer::listen(this->thread, peer, [this](const HttpRequest& request) { return this->follower.answerPeer(request); }));
    if (this->settings.metricsPort != 0) {
        HttpServerSettings metrics = peer;
        metrics.port = this->settings.metricsPort;
        BOOST_OUTCOME_TRY(this->metricsServer,
            HttpServer::listen(this->thread, metrics, [this](const HttpRequest& request) { return this->answerMetrics(request); }));
    }
    BOOST_OUTCOME_TRY(this->proxy.listen());
    this->follower.start();
    this->waitForSignal();
    logEvent(LogLevel::Info, "started", { { "dataCentre", this->settings.dataCentre.value }, { "region", this->settings.region.value } });
    return succeed();
}

void ProxyVm::waitForSignal()
{
    this->signals.async_wait([this](const boost::system::error_code& code, int signal) {
        if (code)
            return;
        if (signal == SIGHUP)
            this->reload();
        else if (!this->isStopping)
            startFiber([this] { this->stop(); });
        this->waitForSignal();
    });
}

void ProxyVm::reload()
{
    const auto read = readProxySettings(this->settingsFile);
    if (!read) {
        for (const std::string& fault : read.error())
            logEvent(LogLevel::Error, "settings not reloaded", { { "detail", fault } });
        return;
    }
    this->settings.stopGrace = read.value().stopGrace;
    this->settings.seeds = read.value().seeds;
    setLogLevel(logLevelByName(read.value().logLevel).value_or(LogLevel::Info));
    logEvent(LogLevel::Info, "settings reloaded");
}

void ProxyVm::stop()
{
    if (std::exchange(this->isStopping, true))
        return;
    const TimePoint begun = bootNow();
    const TimePoint end = begun + this->settings.stopGrace - endMargin;
    logEvent(LogLevel::Info, "stopping", { { "sessions", this->proxy.sessionCount() } });
    this->peers.announceStop();
    this->relay.announceStop();
    this->proxy.startDraining(begun + rotationDelay, begun + this->settings.stopGrace / 2);
    while (bootNow() < end && (bootNow() < begun + rotationDelay || this->proxy.sessionCount() > 0 || this->relay.channelCount() > 0))
        sleepFor(stopPollInterval);
    logEvent(LogLevel::Info, "stopped", { { "sessions", this->proxy.sessionCount() } });
    flushLog();
    this->ended();
}

bool ProxyVm::isIsolated() const { return this->follower.isStoreLost() && this->peers.hearsFewPeers(); }

bool ProxyVm::isReady() const { return !this->isStopping && this->proxy.isConfigured() && !this->isIsolated(); }

HttpResponse ProxyVm::answerReady(const HttpRequest&) const { return HttpResponse { this->isReady() ? 200U : 503U, "text/plain", {}, {} }; }

HttpResponse ProxyVm::answerMetrics(const HttpRequest& request)
{
    if (request.target != "/metrics")
        return HttpResponse { 404, "text/plain", {}, {} };
    const ProxyGauges gauges { this->proxy.sessionCount(), this->proxy.backendConnections(), this->proxy.fleetSize(),
        this->proxy.configurationVersion(), !this->follower.isStoreLost(), this->isReady() };
    return HttpResponse { 200, "text/plain; version=0.0.4", {}, this->proxy.metrics().exposition(gauges) };
}

int ProxyVm::run(const std::string& settingsFile, const ProxySettings& settings, const ProxyPlatform& platform)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::unique_ptr<FiberThread> thread = FiberThread::start("vm");
    boost::fibers::promise<void> ended;
    auto future = ended.get_future();
    std::unique_ptr<ProxyVm> vm;
    const Result<void> started = thread->call([&] {
        vm.reset(new ProxyVm(*thread, settingsFile, settings, platform, [&ended] { ended.set_value(); }));
        return vm->start();
    });
    if (!started) {
        logEvent(LogLevel::Error, "start failed", { { "detail", started.error().detail } });
        flushLog();
        std::_Exit(EXIT_FAILURE);
    }
    future.wait();
    // Fibers still wait for the store; the process ends without them.
    std::_Exit(EXIT_SUCCESS);
}

}

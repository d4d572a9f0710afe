#include "foxtailtrail/proxy/ProxyVm.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/server/Log.h"

#include <boost/fiber/future.hpp>
#include <csignal>
#include <malloc.h>
#include <utility>

namespace foxtail {

namespace {

    // The probes and the collector of the metrics send no body.
    constexpr uint64_t maxProbeBodyBytes = 1024;
    constexpr size_t maxProbeConnections = 16;
    constexpr int separatelyMappedBytes = 128 * 1024;
    constexpr Duration stopPollInterval = std::chrono::milliseconds(50);

    // Blocks or unblocks SIGHUP for the calling thread. Without a handler, the signal ends the process.
    void maskReloadSignal(int how)
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGHUP);
        pthread_sigmask(how, &signals, nullptr);
    }

}

ProxyVm::ProxyVm(FiberThread& thread, std::string settingsFile, const ProxySettings& settings, const ProxyPlatform& platform,
    std::function<void()> ended)
    : thread(thread)
    , settingsFile(std::move(settingsFile))
    , settings(settings)
    , onEnded(std::move(ended))
    , store(platform.makeStore(settings))
    , promotionOrders(platform.makePromotionOrders(settings))
    , proxy(thread.ioContext(), settings, platform.callerCodec, platform.backendCodec)
    , peers(thread.ioContext(), proxy,
          [this](const Endpoint& peer, uint64_t version) { this->storeFollower.handleNewerConfiguration(peer, version); })
    , relayServer(
          thread.ioContext(), platform.backendCodec, [this](const BackendServerId& id) { return this->proxy.poolForPeer(id); },
          [this](const BackendServerId& id) { return this->proxy.isEvacuated(id); })
    , storeFollower(proxy, *store, platform.declarationDecoder, peers)
    , fleetInquiry(proxy, peers)
    , promotionCoordinator(
          proxy, *store, *promotionOrders, fleetInquiry, [this](std::string_view key) { return this->peers.rendezvousRank(key); },
          [this] { return this->storeFollower.refreshDirectory(); }, storeFollower.serverListCompleteness())
    , signals(thread.ioContext(), SIGTERM, SIGINT, SIGHUP)
{
}

Result<void> ProxyVm::start()
{
    this->proxy.setExaminer(
        [this](const ServiceName& service, std::string_view reason) { this->promotionCoordinator.examine(service, reason); });
    this->storeFollower.setEraCallback([this](uint64_t era) { this->promotionCoordinator.createLockOfEra(era); });
    this->proxy.setStoreUnavailableCheck([this] { return this->storeFollower.mayMissServers(); });
    this->peers.setNewerEvacuationsCallback(
        [this](const Endpoint& peer, const StoreVersion& version) { this->storeFollower.handleNewerEvacuations(peer, version); });
    this->proxy.setIsolationCheck([this] { return this->isIsolated(); });
    this->proxy.setGrantRequester([this] { this->peers.requestQuotaIfDue(); });
    BOOST_OUTCOME_TRY(this->peers.start());
    if (this->settings.usesEvenLoad)
        this->relayServer.setLoadExchange(this->proxy);
    BOOST_OUTCOME_TRY(this->relayServer.listen({ this->settings.peerEndpoint.address, this->settings.relayPort }));
    HttpServerSettings ready;
    ready.address = this->settings.readinessEndpoint.address;
    ready.port = this->settings.readinessEndpoint.port;
    ready.maxBodyBytes = maxProbeBodyBytes;
    ready.maxConnections = maxProbeConnections;
    ready.errorResponse = [](const Error&) { return HttpResponse { 400, "text/plain", {}, {} }; };
    BOOST_OUTCOME_TRY(this->readyServer,
        HttpServer::listen(this->thread, ready, [this](const HttpRequest& request) { return this->handleReadinessRequest(request); }));
    HttpServerSettings peer = ready;
    peer.maxBodyBytes = HttpServerSettings().maxBodyBytes;
    // The rest of the reserved descriptors is for backend servers, relays and the store.
    peer.maxConnections = this->settings.memory.reservedDescriptors() / 2;
    peer.address = this->settings.peerEndpoint.address;
    peer.port = this->settings.peerEndpoint.port;
    BOOST_OUTCOME_TRY(this->peerServer, HttpServer::listen(this->thread, peer, [this](const HttpRequest& request) {
        return this->storeFollower.handlePeerRequest(request);
    }));
    if (this->settings.metricsPort != 0) {
        HttpServerSettings metrics = peer;
        metrics.maxBodyBytes = maxProbeBodyBytes;
        metrics.maxConnections = maxProbeConnections;
        metrics.port = this->settings.metricsPort;
        BOOST_OUTCOME_TRY(this->metricsServer,
            HttpServer::listen(this->thread, metrics, [this](const HttpRequest& request) { return this->handleMetricsRequest(request); }));
    }
    BOOST_OUTCOME_TRY(this->proxy.listen());
    this->storeFollower.start();
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
    const auto newSettings = readProxySettings(this->settingsFile);
    if (!newSettings) {
        for (const std::string& problem : newSettings.error())
            logEvent(LogLevel::Error, "reloading the settings failed", { { "detail", problem } });
        return;
    }
    this->settings.stopGracePeriod = newSettings.value().stopGracePeriod;
    this->settings.seeds = newSettings.value().seeds;
    setLogLevel(logLevelByName(newSettings.value().logLevel).value_or(LogLevel::Info));
    logEvent(LogLevel::Info, "settings reloaded");
}

void ProxyVm::stop()
{
    if (std::exchange(this->isStopping, true))
        return;
    const StopSchedule schedule = StopSchedule::create(bootNow(), this->settings.stopGracePeriod);
    logEvent(LogLevel::Info, "stopping", { { "sessions", this->proxy.sessionCount() } });
    this->peers.announceStop();
    this->relayServer.announceStop();
    this->proxy.startStopping(schedule);
    const auto hasWork = [this] { return this->proxy.sessionCount() > 0 || this->relayServer.channelCount() > 0; };
    while (bootNow() < schedule.closeIdleFrom() || (bootNow() < schedule.replyBy() && hasWork()))
        sleepFor(stopPollInterval);
    this->proxy.stopAccepting();
    // Does not rely on the timer of the sweep, which may be late on a VM that has used up its processor share.
    this->proxy.applyStop();
    do {
        sleepFor(stopPollInterval);
    } while (bootNow() < schedule.exitBy() && hasWork());
    const size_t unansweredRequests = this->proxy.logUnansweredRequests();
    logEvent(LogLevel::Info, "stopped",
        { { "sessions", this->proxy.sessionCount() }, { "unansweredRequests", unansweredRequests },
            { "relayChannels", this->relayServer.channelCount() } });
    flushLog();
    this->onEnded();
}

bool ProxyVm::isIsolated() const { return this->storeFollower.isStoreUnavailable() && this->peers.areMostPeersSilent(); }

bool ProxyVm::isReady() const
{
    return !this->isStopping && this->proxy.isConfigured() && !this->peers.isDiscoveringFleet(bootNow()) && !this->isIsolated();
}

HttpResponse ProxyVm::handleReadinessRequest(const HttpRequest&) const
{
    return HttpResponse { this->isReady() ? 200U : 503U, "text/plain", {}, {} };
}

HttpResponse ProxyVm::handleMetricsRequest(const HttpRequest& request)
{
    if (request.target != "/metrics")
        return HttpResponse { 404, "text/plain", {}, {} };
    ProxyGauges gauges { this->proxy.sessionCount(), this->proxy.backendConnectionCount(), this->proxy.waitingStatementCount(),
        this->proxy.fleetSize(), this->proxy.configurationVersion(), !this->storeFollower.isStoreUnavailable(), this->isReady(),
        this->proxy.evacuations().state().dataCentres.size(), {} };
    for (size_t kind = 0; kind < callerMemoryNames.size(); ++kind)
        gauges.callerBytes[kind] = this->proxy.memoryBudget()->held(static_cast<CallerMemory>(kind));
    return HttpResponse { 200, "text/plain; version=0.0.4", {}, this->proxy.metrics().exposition(gauges) };
}

void ProxyVm::holdReloadSignal() { maskReloadSignal(SIG_BLOCK); }

int ProxyVm::run(const std::string& settingsFile, const ProxySettings& settings, const ProxyPlatform& platform)
{
    std::signal(SIGPIPE, SIG_IGN);
    // Large buffers are mapped by themselves, so that their memory returns to the system when they are freed.
    mallopt(M_MMAP_THRESHOLD, separatelyMappedBytes);
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
    // A signal that was held while the VM started is handled now.
    maskReloadSignal(SIG_UNBLOCK);
    future.wait();
    // Fibers still wait for the store, so the process exits without joining them.
    std::_Exit(EXIT_SUCCESS);
}

}

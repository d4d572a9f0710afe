#pragma once

#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/net/HttpServer.h"
#include "foxtailtrail/proxy/ControlFollower.h"
#include "foxtailtrail/proxy/PeerExchange.h"
#include "foxtailtrail/proxy/RelayServer.h"
#include "foxtailtrail/proxy/SessionProxy.h"
#include "foxtailtrail/proxy/SuccessionDuty.h"

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>

namespace foxtail {

// The translations that a VM runs on.
struct ProxyPlatform {
    const CallerCodec& callers;
    const BackendCodec& backends;
    const DeclarationDecoder& declarations;
    // Made on the VM's thread, as their connections belong to it.
    std::function<std::unique_ptr<SharedStore>(const ProxySettings&)> makeStore;
    std::function<std::unique_ptr<PromotionOrders>(const ProxySettings&)> makeOrders;
};

// A VM on the platform. Everything runs on one fiber thread: a VM has a part of one core, and a hand-over between threads costs a
// wake-up.
class ProxyVm {
public:
    // Runs until SIGTERM or SIGINT and the end of the sessions. Returns the exit status.
    static int run(const std::string& settingsFile, const ProxySettings&, const ProxyPlatform&);

private:
    ProxyVm(FiberThread&, std::string settingsFile, const ProxySettings&, const ProxyPlatform&, std::function<void()> ended);
    Result<void> start();
    void waitForSignal();
    void stop();
    // Reads the settings file again and applies what may change in a running process.
    void reload();
    HttpResponse answerReady(const HttpRequest&) const;
    HttpResponse answerMetrics(const HttpRequest&);
    bool isReady() const;
    // Cut off from the store and from most other VMs.
    bool isIsolated() const;

    FiberThread& thread;
    std::string settingsFile;
    ProxySettings settings;
    std::function<void()> ended;
    std::unique_ptr<SharedStore> store;
    std::unique_ptr<PromotionOrders> orders;
    SessionProxy proxy;
    PeerExchange peers;
    RelayServer relay;
    ControlFollower follower;
    SuccessionDuty succession;
    std::unique_ptr<HttpServer> readyServer;
    std::unique_ptr<HttpServer> peerServer;
    std::unique_ptr<HttpServer> metricsServer;
    boost::asio::signal_set signals;
    bool isStopping = false;
};

}

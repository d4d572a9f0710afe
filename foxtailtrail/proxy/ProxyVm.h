#pragma once

#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/net/HttpServer.h"
#include "foxtailtrail/proxy/PeerExchange.h"
#include "foxtailtrail/proxy/PromotionCoordinator.h"
#include "foxtailtrail/proxy/RelayServer.h"
#include "foxtailtrail/proxy/SessionProxy.h"
#include "foxtailtrail/proxy/StoreFollower.h"

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>

namespace foxtail {

// The codecs, the decoder and the platform clients that a VM uses.
struct ProxyPlatform {
    const CallerCodec& callerCodec;
    const BackendCodec& backendCodec;
    const DeclarationDecoder& declarationDecoder;
    // Called on the VM's thread, because the connections of these objects belong to it.
    std::function<std::unique_ptr<SharedStore>(const ProxySettings&)> makeStore;
    std::function<std::unique_ptr<PromotionOrders>(const ProxySettings&)> makePromotionOrders;
};

// A VM of the proxy on the platform. Everything runs on one fiber thread, because a VM has only a part of one core and each hand-over
// between threads costs a wake-up.
class ProxyVm {
public:
    // Holds back SIGHUP until run() handles it. To be called before the settings are read, so that no change of them is missed and the
    // signal does not end the process.
    static void holdReloadSignal();
    // Runs until SIGTERM or SIGINT and the end of the sessions. Returns the exit status.
    static int run(const std::string& settingsFile, const ProxySettings&, const ProxyPlatform&);

private:
    ProxyVm(FiberThread&, std::string settingsFile, const ProxySettings&, const ProxyPlatform&, std::function<void()> ended);
    Result<void> start();
    void waitForSignal();
    void stop();
    // Reads the settings file again and applies the settings that may change in a running process.
    void reload();
    HttpResponse handleReadinessRequest(const HttpRequest&) const;
    HttpResponse handleMetricsRequest(const HttpRequest&);
    bool isReady() const;
    // Returns true when this VM is cut off from the store and from most other VMs.
    bool isIsolated() const;

    FiberThread& thread;
    std::string settingsFile;
    ProxySettings settings;
    std::function<void()> onEnded;
    std::unique_ptr<SharedStore> store;
    std::unique_ptr<PromotionOrders> promotionOrders;
    SessionProxy proxy;
    PeerExchange peers;
    RelayServer relayServer;
    StoreFollower storeFollower;
    FleetInquiry fleetInquiry;
    PromotionCoordinator promotionCoordinator;
    std::unique_ptr<HttpServer> readyServer;
    std::unique_ptr<HttpServer> peerServer;
    std::unique_ptr<HttpServer> metricsServer;
    boost::asio::signal_set signals;
    bool isStopping = false;
};

}

#pragma once

#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/server/ControlLoop.h"
#include "foxtailtrail/server/Metrics.h"

#include <atomic>

namespace foxtail {

// What an OperatorService is built from.
struct OperatorServiceSettings {
    const Settings& vm;
    VmId self;
    std::string processName;
};

// Answers the operators' port: checks the operators' secret, runs commands and queries.
class OperatorService {
public:
    OperatorService(OperatorServiceSettings, const SnapshotBoard&, ControlLoop&, FiberThread& controlThread, Metrics&);

    // Answers one request. Runs in a fiber of the control thread.
    HttpResponse answer(const HttpRequest&);

    // Counts a finished request for the reports. Safe to call from any thread.
    void count(const RequestRecord&);

    // The metrics of this VM in the text format of Prometheus.
    std::string exposition();

    bool isStopRequested() const { return this->stopRequested; }

private:
    OperatorServiceSettings settings;
    const SnapshotBoard& board;
    ControlLoop& control;
    FiberThread& controlThread;
    Metrics& metrics;
    std::atomic<bool> stopRequested { false };
};

}

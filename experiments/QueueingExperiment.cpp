#include "experiments/Experiments.h"
#include "experiments/Simulation.h"

#include "foxtailtrail/scheduling/FairQueue.h"
#include "foxtailtrail/scheduling/FifoQueue.h"

#include <memory>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Parameters of the experiment. The design page sets slots, but no statement times.
    constexpr Duration statementTime = milliseconds(5);
    constexpr Duration slowStatementTime = seconds(1);
    // Slow statements per second of the organisation that disturbs the others.
    constexpr double slowStatementRate = 0.5;
    // The share of the slot time that all organisations use together when they send at their rates.
    constexpr double plannedLoad = 0.7;
    constexpr double noisyFactor = 5;
    constexpr size_t queueLength = 256;
    // The default deadline of a request.
    constexpr Duration requestTimeout = seconds(5);
    constexpr Duration runLength = seconds(30);

    const Measure servedShare { "worst organisation within its rate: served", "share", TargetKind::AtLeast, 0.99, false };
    const Measure waitQuantile { "worst organisation within its rate: p99 wait", "ms", TargetKind::AtMost, 100, true };
    const Measure noisyServed { "the other organisation: served", "share", TargetKind::None, 0, false };
    const Measure slotUse { "slot time used", "share", TargetKind::None, 0, false };

    // The behaviour of the organisation that disturbs the others.
    enum class Disturbance : uint8_t { None, FiveTimesItsRate, SlowStatements };

    struct ServiceStatistics {
        size_t arrivedCount = 0;
        size_t servedCount = 0;
        std::vector<double> waitTimesMs;
    };

    // One backend server with a queue in front of it.
    class QueueRun {
    public:
        QueueRun(const Deployment& deployment, Disturbance disturbance, QueueStrategy& queue, uint64_t seed)
            : deployment(deployment)
            , queue(queue)
            , simulation(seed)
            , statistics(deployment.organisations.size())
        {
            double total = 0;
            for (const Organisation& organisation : deployment.organisations)
                total += organisation.rate;
            const double scale = plannedLoad * deployment.slots / toSeconds(statementTime) / total;
            for (size_t index = 0; index < deployment.organisations.size(); ++index) {
                const bool isNoisy = index == Deployment::noisyOrganisation && disturbance == Disturbance::FiveTimesItsRate;
                this->scheduleArrival(
                    index, intervalOf(deployment.organisations[index].rate * scale * (isNoisy ? noisyFactor : 1)), statementTime);
            }
            if (disturbance == Disturbance::SlowStatements)
                this->scheduleArrival(Deployment::noisyOrganisation, intervalOf(slowStatementRate), slowStatementTime);
            this->simulation.runUntil(TimePoint(runLength));
        }

        void report(const RunId& run, Report& report) const
        {
            double worstServed = 1;
            double worstWait = 0;
            for (size_t index = 0; index < this->statistics.size(); ++index) {
                if (index == Deployment::noisyOrganisation)
                    continue;
                worstServed = std::min(worstServed, this->servedFraction(index));
                worstWait = std::max(worstWait, quantile(this->statistics[index].waitTimesMs, 0.99));
            }
            report.add(run, servedShare, worstServed);
            report.add(run, waitQuantile, worstWait);
            report.add(run, noisyServed, this->servedFraction(Deployment::noisyOrganisation));
            report.add(run, slotUse, toSeconds(this->usedSlotTime) / toSeconds(runLength) / this->deployment.slots);
        }

    private:
        struct WaitingRequest {
            size_t organisation = 0;
            TimePoint enqueuedAt;
            Duration cost { 0 };
        };

        double servedFraction(size_t organisation) const
        {
            const ServiceStatistics& outcome = this->statistics[organisation];
            return static_cast<double>(outcome.servedCount) / static_cast<double>(std::max<size_t>(1, outcome.arrivedCount));
        }

        void scheduleArrival(size_t organisation, Duration interval, Duration cost)
        {
            this->simulation.scheduleAfter(this->simulation.exponential(interval), [this, organisation, interval, cost] {
                this->enqueue(organisation, this->simulation.jittered(cost));
                this->scheduleArrival(organisation, interval, cost);
            });
        }

        void enqueue(size_t organisation, Duration cost)
        {
            const TimePoint now = this->simulation.now();
            // Requests of the last seconds may still be queued when the run ends, so they are not counted.
            const bool isCounted = now + requestTimeout < TimePoint(runLength);
            this->statistics[organisation].arrivedCount += isCounted ? 1 : 0;
            const QueueEntryId id { ++this->lastId };
            // No cost estimate, as in the daemon.
            if (!this->queue.push({ id, this->deployment.organisations[organisation].id, now + requestTimeout, Duration(0) }, now))
                return;
            this->waitingRequests[id] = { organisation, now, cost };
            this->startRequests();
        }

        void startRequests()
        {
            const TimePoint now = this->simulation.now();
            while (const auto entry = this->queue.dispatch(now).run) {
                const WaitingRequest request = this->waitingRequests.extract(entry->id).mapped();
                ServiceStatistics& outcome = this->statistics[request.organisation];
                if (request.enqueuedAt + requestTimeout < TimePoint(runLength)) {
                    ++outcome.servedCount;
                    outcome.waitTimesMs.push_back(toFractionalMilliseconds(now - request.enqueuedAt));
                }
                this->usedSlotTime += request.cost;
                this->simulation.scheduleAfter(request.cost, [this, id = entry->id, cost = request.cost] {
                    this->queue.releaseSlot(id, cost, this->simulation.now());
                    this->startRequests();
                });
            }
        }

        const Deployment& deployment;
        QueueStrategy& queue;
        Simulation simulation;
        std::vector<ServiceStatistics> statistics;
        std::map<QueueEntryId, WaitingRequest> waitingRequests;
        uint64_t lastId = 0;
        Duration usedSlotTime { 0 };
    };

}

void runQueueingExperiment(const Deployment& deployment, uint64_t seed, Report& report)
{
    struct Scenario {
        const char* name;
        Disturbance disturbance;
    };
    const Scenario scenarios[]
        = { { "all within their rates", Disturbance::None }, { "one at five times its rate", Disturbance::FiveTimesItsRate },
              { "one with a few slow statements", Disturbance::SlowStatements } };
    for (const Scenario& scenario : scenarios) {
        FifoQueue fifo(deployment.slots, queueLength);
        QueueRun(deployment, scenario.disturbance, fifo, seed).report({ "queueing", deployment.name, scenario.name, "FifoQueue" }, report);
        FairQueueSettings settings;
        settings.slots = deployment.slots;
        settings.maxLength = queueLength;
        FairQueue fair(settings);
        QueueRun(deployment, scenario.disturbance, fair, seed).report({ "queueing", deployment.name, scenario.name, "FairQueue" }, report);
    }
}

}

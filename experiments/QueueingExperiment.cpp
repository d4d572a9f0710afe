#include "experiments/Experiments.h"
#include "experiments/Simulation.h"

#include "foxtailtrail/scheduling/FairQueue.h"
#include "foxtailtrail/scheduling/FifoQueue.h"

#include <memory>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Choices of the experiment: the design page gives slots, but no statement times.
    constexpr Duration statementTime = milliseconds(5);
    constexpr Duration slowStatementTime = seconds(1);
    constexpr double slowStatementRate = 0.5;
    // The share of the slots' time that all organisations at their rates need together.
    constexpr double plannedLoad = 0.7;
    constexpr double noisyFactor = 5;
    constexpr size_t queueLength = 256;
    // The default deadline of a request.
    constexpr Duration requestDeadline = seconds(5);
    constexpr Duration runLength = seconds(30);

    const Measure servedShare { "worst organisation within its rate: served", "share", TargetKind::AtLeast, 0.99, false };
    const Measure waitQuantile { "worst organisation within its rate: p99 wait", "ms", TargetKind::AtMost, 100, true };
    const Measure noisyServed { "the other organisation: served", "share", TargetKind::None, 0, false };
    const Measure slotUse { "slot time used", "share", TargetKind::None, 0, false };

    // What the organisation that disturbs the others does.
    enum class Disturbance : uint8_t { None, FiveTimesItsRate, SlowStatements };

    struct Outcome {
        size_t arrived = 0;
        size_t served = 0;
        std::vector<double> waits;
    };

    // One backend server with a queue in front of it.
    class QueueRun {
    public:
        QueueRun(const Deployment& deployment, Disturbance disturbance, QueueStrategy& queue, uint64_t seed)
            : deployment(deployment)
            , queue(queue)
            , simulation(seed)
            , outcomes(deployment.organisations.size())
        {
            double total = 0;
            for (const Organisation& organisation : deployment.organisations)
                total += organisation.rate;
            const double scale = plannedLoad * deployment.slots / toSeconds(statementTime) / total;
            for (size_t index = 0; index < deployment.organisations.size(); ++index) {
                const bool isNoisy = index == Deployment::noisy && disturbance == Disturbance::FiveTimesItsRate;
                this->arrive(index, intervalOf(deployment.organisations[index].rate * scale * (isNoisy ? noisyFactor : 1)), statementTime);
            }
            if (disturbance == Disturbance::SlowStatements)
                this->arrive(Deployment::noisy, intervalOf(slowStatementRate), slowStatementTime);
            this->simulation.runUntil(TimePoint(runLength));
        }

        void report(const Run& run, Report& report) const
        {
            double worstServed = 1;
            double worstWait = 0;
            for (size_t index = 0; index < this->outcomes.size(); ++index) {
                if (index == Deployment::noisy)
                    continue;
                worstServed = std::min(worstServed, this->served(index));
                worstWait = std::max(worstWait, quantile(this->outcomes[index].waits, 0.99));
            }
            report.add(run, servedShare, worstServed);
            report.add(run, waitQuantile, worstWait);
            report.add(run, noisyServed, this->served(Deployment::noisy));
            report.add(run, slotUse, toSeconds(this->slotTime) / toSeconds(runLength) / this->deployment.slots);
        }

    private:
        struct Waiting {
            size_t organisation = 0;
            TimePoint since;
            Duration cost { 0 };
        };

        double served(size_t organisation) const
        {
            const Outcome& outcome = this->outcomes[organisation];
            return static_cast<double>(outcome.served) / static_cast<double>(std::max<size_t>(1, outcome.arrived));
        }

        void arrive(size_t organisation, Duration interval, Duration cost)
        {
            this->simulation.after(this->simulation.exponential(interval), [this, organisation, interval, cost] {
                this->push(organisation, this->simulation.jittered(cost));
                this->arrive(organisation, interval, cost);
            });
        }

        void push(size_t organisation, Duration cost)
        {
            const TimePoint now = this->simulation.now();
            // Requests of the last seconds may still wait at the end, so they do not count.
            const bool counts = now + requestDeadline < TimePoint(runLength);
            this->outcomes[organisation].arrived += counts ? 1 : 0;
            const QueueEntryId id { ++this->lastId };
            // The daemon gives no estimate of the cost.
            if (!this->queue.push({ id, this->deployment.organisations[organisation].id, now + requestDeadline, Duration(0) }, now))
                return;
            this->waiting[id] = { organisation, now, cost };
            this->start();
        }

        void start()
        {
            const TimePoint now = this->simulation.now();
            while (const auto entry = this->queue.next(now).run) {
                const Waiting request = this->waiting.extract(entry->id).mapped();
                Outcome& outcome = this->outcomes[request.organisation];
                if (request.since + requestDeadline < TimePoint(runLength)) {
                    ++outcome.served;
                    outcome.waits.push_back(toFractionalMilliseconds(now - request.since));
                }
                this->slotTime += request.cost;
                this->simulation.after(request.cost, [this, id = entry->id, cost = request.cost] {
                    this->queue.finished(id, cost, this->simulation.now());
                    this->start();
                });
            }
        }

        const Deployment& deployment;
        QueueStrategy& queue;
        Simulation simulation;
        std::vector<Outcome> outcomes;
        std::map<QueueEntryId, Waiting> waiting;
        uint64_t lastId = 0;
        Duration slotTime { 0 };
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
        settings.maximumLength = queueLength;
        FairQueue fair(settings);
        QueueRun(deployment, scenario.disturbance, fair, seed).report({ "queueing", deployment.name, scenario.name, "FairQueue" }, report);
    }
}

}

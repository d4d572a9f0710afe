#include "experiments/Experiments.h"
#include "experiments/GroupWatcher.h"

#include <algorithm>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Parameters of the experiment.
    constexpr double writesPerSecond = 100;
    constexpr Duration writeTimeout = seconds(5);
    constexpr TimePoint earliestCrashAt { seconds(5) };
    constexpr Duration crashSpread = seconds(1);
    constexpr Duration runLength = seconds(8);

    const Measure lostWrites { "acknowledged writes lost with the primary", "writes", TargetKind::AtMost, 0, true };
    const Measure meanLatency { "added latency, mean", "ms" };
    const Measure latencyQuantile { "added latency, p99", "ms" };

    // Writes to one group until its primary crashes. The promotion then selects the longer log of the two remaining servers.
    class AcknowledgementRun {
    public:
        AcknowledgementRun(
            const Deployment& deployment, std::shared_ptr<const AcknowledgementStrategy> strategy, Duration lag, uint64_t seed)
            : simulation(seed)
            , group(this->simulation, deployment, lag)
            , home(this->simulation, this->group, deployment, 0, std::move(strategy))
        {
            this->home.start({});
            this->scheduleWrite();
            this->simulation.scheduleAt(
                earliestCrashAt + Duration(this->simulation.randomBelow(crashSpread.count())), [this] { this->crashPrimary(); });
            this->simulation.runUntil(TimePoint(runLength));
        }

        void report(const RunId& run, Report& report) const
        {
            double total = 0;
            for (const double latency : this->latenciesMs)
                total += latency;
            report.add(run, lostWrites, this->lostWriteCount);
            report.add(run, meanLatency, total / static_cast<double>(this->latenciesMs.size()));
            report.add(run, latencyQuantile, quantile(this->latenciesMs, 0.99));
        }

    private:
        void scheduleWrite()
        {
            this->simulation.scheduleAfter(this->simulation.exponential(intervalOf(writesPerSecond)), [this] {
                const TimePoint committedAt = this->simulation.now();
                const auto commit = this->group.commit(this->group.servers[0], Term { 1 });
                if (!commit)
                    return;
                this->home.awaitDurability(*commit, committedAt + writeTimeout, [this, commit, committedAt](Durability durability) {
                    if (durability == Durability::Durable)
                        this->acknowledge(*commit, committedAt);
                });
                this->scheduleWrite();
            });
        }

        void acknowledge(LogPoint commit, TimePoint committedAt)
        {
            this->acknowledgedPositions.push_back(commit.position);
            this->latenciesMs.push_back(toFractionalMilliseconds(this->simulation.now() - committedAt));
            // A write that is acknowledged after the crash is lost if it is not in the surviving log.
            this->lostWriteCount += this->survivingPosition && commit.position > *this->survivingPosition ? 1 : 0;
        }

        void crashPrimary()
        {
            this->group.servers[0].isDown = true;
            this->survivingPosition = Position { std::max(this->group.servers[1].position, this->group.servers[2].position) };
            this->lostWriteCount = static_cast<double>(std::count_if(this->acknowledgedPositions.begin(), this->acknowledgedPositions.end(),
                [this](Position position) { return position > *this->survivingPosition; }));
        }

        Simulation simulation;
        BackendGroup group;
        GroupWatcher home;
        std::vector<Position> acknowledgedPositions;
        std::optional<Position> survivingPosition;
        std::vector<double> latenciesMs;
        double lostWriteCount = 0;
    };

}

void runAcknowledgementExperiment(const Deployment& deployment, uint64_t seed, Report& report)
{
    for (const Duration lag : { milliseconds(5), milliseconds(20), milliseconds(200) }) {
        const std::string scenario = std::to_string(toMilliseconds(lag)) + " ms lag";
        AcknowledgementRun(deployment, std::make_shared<PrimaryOnlyAcknowledgement>(), lag, seed)
            .report({ "acknowledgement", deployment.name, scenario, "PrimaryAloneAcknowledgement" }, report);
        AcknowledgementRun(deployment, std::make_shared<MajorityAcknowledgement>(), lag, seed)
            .report({ "acknowledgement", deployment.name, scenario, "MajorityAcknowledgement" }, report);
    }
}

}

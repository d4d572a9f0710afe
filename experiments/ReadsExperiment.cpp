#include "experiments/Experiments.h"
#include "experiments/GroupWatcher.h"

#include "foxtailtrail/session/ReadRouter.h"

#include <memory>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Parameters of the experiment: the sessions of one database, their requests and the message sizes in bytes.
    constexpr size_t sessionCount = 60;
    constexpr double tokenReadShare = 0.5;
    constexpr Duration stalenessBounds[] = { milliseconds(500), seconds(1), seconds(5) };
    constexpr double readBytes = 2300;
    constexpr double writeBytes = 700;
    constexpr double probeBytes = 300;
    constexpr Duration requestTimeout = seconds(5);
    // The interval at which a home routes a waiting read again.
    constexpr Duration rerouteInterval = milliseconds(2);
    constexpr Duration runLength = seconds(30);
    // Reads are counted from this time on, because replica freshness is unknown before the first samples.
    constexpr TimePoint countingStartsAt { seconds(2) };

    const Measure eligibleShare { "eligible reads on replicas", "share", TargetKind::AtLeast, 0.9, false };
    const Measure tokenReadReplicaShare { "reads with a token on replicas", "share", TargetKind::None, 0, false };
    const Measure boundedStalenessReplicaShare { "reads of a stated age on replicas", "share", TargetKind::None, 0, false };
    const Measure sameRegionShare { "replica reads served in the caller's region", "share", TargetKind::None, 0, false };
    const Measure tokenReadQuantile { "reads with a token: p99 time", "ms" };
    const Measure statementTraffic { "statements between the regions", "bytes/s" };
    const Measure probeTraffic { "probes between the regions", "bytes/s" };

    // The behaviour of the sessions. A replica is least likely to serve a read that closely follows a write.
    struct SessionProfile {
        const char* name;
        Duration thinkTime;
        double writeShare;
    };
    constexpr SessionProfile sessionProfiles[]
        = { { "usual sessions", milliseconds(500), 0.1 }, { "hasty sessions", milliseconds(50), 0.3 } };

    struct ReadStatistics {
        double servedCount = 0;
        double replicaCount = 0;
        std::vector<double> timesMs;
    };

    // Simulates sessions that send each request to a random VM, and one home per region that routes their reads.
    class ReadsRun {
    public:
        ReadsRun(const Deployment& simulatedDeployment, const ReadRoutingStrategy& strategy, const SessionProfile& sessionProfile,
            Duration lag, uint64_t seed)
            : deployment(simulatedDeployment)
            , profile(sessionProfile)
            , router(strategy)
            , simulation(seed)
            , group(this->simulation, simulatedDeployment, lag)
        {
            // The VM whose number is that of a data centre is located in it.
            for (const uint32_t vm : { 0U, 2U }) {
                this->homes.push_back(std::make_unique<GroupWatcher>(
                    this->simulation, this->group, simulatedDeployment, vm, std::make_shared<MajorityAcknowledgement>()));
                this->homes.back()->start({});
            }
            for (size_t session = 0; session < sessionCount; ++session)
                this->scheduleNextRequest(session);
            this->simulation.runUntil(TimePoint(runLength));
        }

        void report(const RunId& run, Report& report) const
        {
            const double length = toSeconds(runLength);
            report.add(run, eligibleShare,
                (this->tokenReads.replicaCount + this->boundedStalenessReads.replicaCount)
                    / (this->tokenReads.servedCount + this->boundedStalenessReads.servedCount));
            report.add(run, tokenReadReplicaShare, this->tokenReads.replicaCount / this->tokenReads.servedCount);
            report.add(
                run, boundedStalenessReplicaShare, this->boundedStalenessReads.replicaCount / this->boundedStalenessReads.servedCount);
            report.add(run, sameRegionShare,
                this->sameRegionReplicaReads / std::max(1.0, this->tokenReads.replicaCount + this->boundedStalenessReads.replicaCount));
            report.add(run, tokenReadQuantile, quantile(this->tokenReads.timesMs, 0.99));
            report.add(run, statementTraffic, this->statementBytes / length);
            double probes = 0;
            for (const auto& home : this->homes)
                probes += static_cast<double>(home->crossRegionProbeCount);
            report.add(run, probeTraffic, probes * probeBytes / length);
        }

    private:
        struct Read {
            size_t session = 0;
            size_t home = 0;
            ReadRequirements need;
            TimePoint startedAt;
            uint64_t salt = 0;
        };

        void scheduleNextRequest(size_t session)
        {
            this->simulation.scheduleAfter(
                this->simulation.exponential(this->profile.thinkTime), [this, session] { this->sendRequest(session); });
        }

        // Each request is sent to a random VM, which is in the main region in two of three cases.
        void sendRequest(size_t session)
        {
            const size_t home = this->simulation.randomBelow(Deployment::dataCentreCount) + 1 < Deployment::dataCentreCount ? 0 : 1;
            const double choice = this->simulation.uniform();
            if (choice < this->profile.writeShare || !this->tokens.contains(session)) {
                this->write(session, home);
                return;
            }
            const TimePoint now = this->simulation.now();
            Read read { session, home, { {}, {}, now, now + requestTimeout, this->regionOf(home) }, now,
                this->simulation.randomBelow(1000) };
            if (choice < this->profile.writeShare + tokenReadShare) {
                read.need.tokenLogPoint = this->tokens[session];
            } else {
                read.need.maximumStaleness = stalenessBounds[this->simulation.randomBelow(std::size(stalenessBounds))];
            }
            this->route(read);
        }

        size_t dataCentreOf(size_t home) const { return this->homes[home]->dataCentre(); }
        Region regionOf(size_t home) const { return this->deployment.regionOf(this->dataCentreOf(home)); }

        // Sends a write to the home of the primary, which replies once the write is durable.
        void write(size_t session, size_t home)
        {
            this->statementBytes += home == 0 ? 0 : writeBytes;
            const Duration oneWayLatency = this->deployment.latency(this->dataCentreOf(home), 0);
            this->simulation.scheduleAfter(oneWayLatency, [this, session, oneWayLatency] {
                const auto commit = this->group.commit(this->group.servers[0], Term { 1 });
                this->homes[0]->awaitDurability(
                    *commit, this->simulation.now() + requestTimeout, [this, session, oneWayLatency, commit](Durability) {
                        this->simulation.scheduleAfter(oneWayLatency, [this, session, commit] {
                            this->tokens[session] = *commit;
                            this->scheduleNextRequest(session);
                        });
                    });
            });
        }

        void route(const Read& read)
        {
            const TimePoint now = this->simulation.now();
            const auto plan = this->router.route(read.need, this->homes[read.home]->view(), now, read.salt);
            if (!plan) {
                this->finishRead(read, false, false);
            } else {
                this->runAttempt(read, plan.value(), 0);
            }
        }

        void runAttempt(const Read& read, const ReadPlan& plan, size_t index)
        {
            if (index >= plan.attempts.size()) {
                this->finishRead(read, false, false);
                return;
            }
            const ReadAttempt& attempt = plan.attempts[index];
            if (attempt.server.empty()) {
                this->simulation.scheduleAfter(rerouteInterval, [this, read] { this->route(read); });
                return;
            }
            const size_t server = BackendGroup::indexOf(attempt.server);
            const bool isSameRegion = this->deployment.regionOf(server) == this->regionOf(read.home);
            this->statementBytes += isSameRegion ? 0 : readBytes;
            this->group.call(
                this->dataCentreOf(read.home), server, requestTimeout,
                [this, server, required = attempt.requiredLogPoint](
                    FakeBackend&) { return holdsLogPoint(this->group.logPoint(server), required); },
                [this, read, plan, index, isSameRegion](CommandOutcome outcome, const std::optional<ServerStatus>&) {
                    if (outcome == CommandOutcome::Done) {
                        this->finishRead(read, plan.attempts[index].kind == ReadAttemptKind::Replica, isSameRegion);
                    } else {
                        this->runAttempt(read, plan, index + 1);
                    }
                });
        }

        void finishRead(const Read& read, bool isServedByReplica, bool isSameRegion)
        {
            this->scheduleNextRequest(read.session);
            if (read.startedAt < countingStartsAt)
                return;
            ReadStatistics& readStatistics = read.need.tokenLogPoint ? this->tokenReads : this->boundedStalenessReads;
            readStatistics.servedCount += 1;
            readStatistics.replicaCount += isServedByReplica ? 1 : 0;
            readStatistics.timesMs.push_back(toFractionalMilliseconds(this->simulation.now() - read.startedAt));
            this->sameRegionReplicaReads += isServedByReplica && isSameRegion ? 1 : 0;
        }

        const Deployment& deployment;
        const SessionProfile& profile;
        const ReadRoutingStrategy& router;
        Simulation simulation;
        BackendGroup group;
        std::vector<std::unique_ptr<GroupWatcher>> homes;
        std::map<size_t, LogPoint> tokens;
        ReadStatistics tokenReads;
        ReadStatistics boundedStalenessReads;
        double sameRegionReplicaReads = 0;
        double statementBytes = 0;
    };

}

void runReadsExperiment(const Deployment& deployment, uint64_t seed, Report& report)
{
    const PrimaryOnlyReadRouter primaryOnly;
    const ReadRouter router;
    struct Policy {
        const char* name;
        const ReadRoutingStrategy& strategy;
    };
    for (const SessionProfile& simulatedProfile : sessionProfiles) {
        for (const Duration lag : { milliseconds(20), milliseconds(200) }) {
            const std::string scenario = std::string(simulatedProfile.name) + ", " + std::to_string(toMilliseconds(lag)) + " ms lag";
            for (const Policy& policy : { Policy { "PrimaryOnlyReadRouter", primaryOnly }, Policy { "ReadRouter", router } })
                ReadsRun(deployment, policy.strategy, simulatedProfile, lag, seed)
                    .report({ "reads", deployment.name, scenario, policy.name }, report);
        }
    }
}

}

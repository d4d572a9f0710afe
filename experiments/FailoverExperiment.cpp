#include "experiments/Experiments.h"
#include "experiments/GroupWatcher.h"

#include <memory>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Duration replicationLag = milliseconds(20);
    constexpr TimePoint faultAt { seconds(5) };
    // The fault strikes at any moment of a probe interval.
    constexpr Duration faultSpread = milliseconds(100);
    constexpr Duration runLength = seconds(40);
    // Intervals of the daemon.
    constexpr Duration decisionInterval = milliseconds(20);
    constexpr Duration commandTimeout = milliseconds(200);
    constexpr Duration writeInterval = milliseconds(10);
    constexpr Duration writeDeadline = seconds(5);
    // The baseline claims the promotion in the store: the time of one transaction there, and when a try counts as failed.
    constexpr Duration storeTime = milliseconds(5);
    constexpr Duration storeTimeout = milliseconds(500);
    constexpr Duration storeOutage = seconds(20);

    const Measure gap { "gap from the fault to the first durable write", "ms", TargetKind::AtMost, 3000, true };
    const Measure detection { "part: detection and turn", "ms" };
    const Measure fencing { "part: fencing", "ms" };
    const Measure promotion { "part: promotion", "ms" };
    const Measure learning { "part: learning, following and first durable write", "ms" };

    enum class Fault : uint8_t { PrimaryKilled, PrimaryCutOff, PromoterDies };
    enum class Policy : uint8_t { GroupTerms, StoreClaimFirst };

    // The control state of one VM: its watcher and its promotion, which uses the group's terms.
    class Promoter {
    public:
        Promoter(Simulation& run, BackendGroup& target, const Deployment& deployment, uint32_t vm)
            : watcher(run, target, deployment, vm, std::make_shared<MajorityAcknowledgement>())
            , promotion(this->watcher.vmId().value)
            , simulation(run)
            , group(target)
            , place(vm)
        {
        }

        // A promotion starts when this allows it.
        std::function<bool()> mayStart = [] { return true; };
        // Called whenever the phase may have changed.
        std::function<void(const Promoter&)> onPhase;

        void decide()
        {
            const TimePoint now = this->simulation.now();
            if (this->watcher.isDead || this->promotion.isRunning())
                return;
            if (const auto due = this->watcher.monitor.promotionDue(now)) {
                if (!this->mayStart())
                    return;
                PromotionRequest request { {}, due->highestTerm, due->leavingPrimary, due->successor, this->place };
                for (size_t server = 0; server < BackendGroup::size; ++server)
                    request.members.push_back({ BackendGroup::id(server) });
                this->perform(this->promotion.start(request, now));
            } else if (this->place == 0) {
                for (const FollowDue& follow : this->watcher.monitor.followsDue(now))
                    this->run(FollowPrimary { follow.server, follow.term, follow.primary });
            }
        }

        GroupWatcher watcher;
        Promotion promotion;

    private:
        void perform(const std::vector<PromotionEffect>& effects)
        {
            this->onPhase(*this);
            for (const PromotionEffect& effect : effects)
                std::visit([this](const auto& typed) { this->run(typed); }, effect);
        }

        void handle(const PromotionEvent& event)
        {
            if (!this->watcher.isDead)
                this->perform(this->promotion.handle(event, this->simulation.now()));
        }

        void run(const FenceServer& effect)
        {
            this->command(PromotionCommand::Fence, effect.server, effect.term,
                [this, effect](FakeBackend& server) { return this->group.fence(server, effect.term, this->promotion.promoter()); });
        }

        void run(const PromoteServer& effect)
        {
            this->command(PromotionCommand::Promote, effect.server, effect.term,
                [this, effect](FakeBackend& server) { return this->group.promote(server, effect.term, this->promotion.promoter()); });
        }

        void run(const FollowPrimary& effect)
        {
            this->command(PromotionCommand::Follow, effect.server, effect.term, [this, effect](FakeBackend& server) {
                return this->group.follow(server, effect.term, BackendGroup::indexOf(effect.primary));
            });
        }

        void run(const ReadStatus& effect)
        {
            this->group.call(
                this->watcher.dataCentre(), BackendGroup::indexOf(effect.server), commandTimeout, [](FakeBackend&) { return true; },
                [this, effect](CommandOutcome, std::optional<ServerStatus> status) {
                    this->handle(StatusReply { effect.server, status });
                });
        }

        void run(const RecordHint&) { }

        void run(const WaitUntil& effect)
        {
            this->simulation.at(effect.time, [this] { this->handle(TimeReached {}); });
        }

        void command(PromotionCommand command, const BackendServerId& server, Term term, const std::function<bool(FakeBackend&)>& operation)
        {
            const TimePoint sentAt = this->simulation.now();
            this->group.call(this->watcher.dataCentre(), BackendGroup::indexOf(server), commandTimeout, operation,
                [this, command, server, term, sentAt](CommandOutcome outcome, std::optional<ServerStatus> status) {
                    this->handle(CommandReply { command, server, term, outcome, status });
                    if (status)
                        this->watcher.monitor.onProbe({ server, sentAt, this->simulation.now(), status });
                });
        }

        Simulation& simulation;
        BackendGroup& group;
        unsigned place;
    };

    class FailoverRun {
    public:
        FailoverRun(const Deployment& deployment, Policy policy, Fault fault, bool isStoreDown, uint64_t seed)
            : simulation(seed)
            , group(this->simulation, deployment, replicationLag)
            , strikesAt(faultAt + Duration(this->simulation.below(faultSpread.count())))
            , storeUpAt(isStoreDown ? this->strikesAt + storeOutage : TimePoint())
        {
            std::vector<GroupWatcher*> watchers;
            for (uint32_t vm = 0; vm < Deployment::dataCentreCount; ++vm) {
                this->promoters.push_back(std::make_unique<Promoter>(this->simulation, this->group, deployment, vm));
                watchers.push_back(&this->promoters.back()->watcher);
            }
            for (uint32_t vm = 0; vm < Deployment::dataCentreCount; ++vm) {
                Promoter& promoter = *this->promoters[vm];
                promoter.watcher.start(watchers);
                promoter.onPhase = [this, fault](const Promoter& changed) { this->notePhase(changed, fault); };
                if (policy == Policy::StoreClaimFirst)
                    promoter.mayStart = [this, vm] { return this->claimInStore(vm); };
                this->simulation.every(decisionInterval, [&promoter] { promoter.decide(); });
            }
            this->simulation.at(this->strikesAt, [this, fault] {
                this->group.servers[0].isDown = fault != Fault::PrimaryCutOff;
                this->group.servers[0].isCutOff = fault == Fault::PrimaryCutOff;
            });
            this->simulation.every(writeInterval, [this] { this->write(); });
            this->simulation.runUntil(TimePoint(runLength));
        }

        void report(const Run& run, bool hasTarget, Report& report) const
        {
            const TimePoint end(runLength);
            const TimePoint first = this->servedAt.value_or(end);
            report.add(run, hasTarget ? gap : Measure { gap.name, gap.unit }, toFractionalMilliseconds(first - this->strikesAt));
            const TimePoint fence = this->fencingAt.value_or(end);
            const TimePoint promote = this->promotingAt.value_or(end);
            const TimePoint known = this->primaryAt.value_or(end);
            report.add(run, detection, toFractionalMilliseconds(fence - this->strikesAt));
            report.add(run, fencing, toFractionalMilliseconds(promote - fence));
            report.add(run, promotion, toFractionalMilliseconds(known - promote));
            report.add(run, learning, toFractionalMilliseconds(first - known));
        }

    private:
        // Notes when the promotion that wins reaches its phases. The promoter that is to die does so after its first fence.
        void notePhase(const Promoter& promoter, Fault fault)
        {
            const TimePoint now = this->simulation.now();
            const PromotionPhase phase = promoter.promotion.phase();
            const bool isNewTerm = promoter.promotion.term() != this->notedTerm;
            if (phase == PromotionPhase::Fencing && isNewTerm && !this->primaryAt) {
                this->notedTerm = promoter.promotion.term();
                this->fencingAt = now;
                this->promotingAt.reset();
                if (fault == Fault::PromoterDies && !this->hasPromoterDied)
                    this->simulation.after(milliseconds(4), [this, &promoter] { this->killPromoter(promoter); });
            }
            if (isNewTerm && this->notedTerm != promoter.promotion.term())
                return;
            if (phase == PromotionPhase::Promoting && !this->promotingAt)
                this->promotingAt = now;
            if (promoter.promotion.primary() && !this->primaryAt)
                this->primaryAt = now;
        }

        void killPromoter(const Promoter& dying)
        {
            if (std::exchange(this->hasPromoterDied, true))
                return;
            for (const auto& promoter : this->promoters) {
                if (promoter.get() == &dying)
                    promoter->watcher.isDead = true;
            }
        }

        // The baseline: a promotion starts only after the claim has been written to the store.
        bool claimInStore(uint32_t vm)
        {
            const TimePoint now = this->simulation.now();
            TimePoint& allowedFrom = this->claimedAt[vm];
            if (allowedFrom == TimePoint())
                allowedFrom = now + storeTime;
            // A try that fails is repeated when it has timed out.
            while (allowedFrom <= now && allowedFrom < this->storeUpAt)
                allowedFrom += storeTimeout;
            return allowedFrom <= now;
        }

        // A caller's write at a VM that is not the promoter that dies. It uses the view as published there.
        void write()
        {
            GroupWatcher& entry = this->promoters[1]->watcher;
            const GroupView& view = entry.view();
            if (this->servedAt || this->simulation.now() < this->strikesAt || !view.primary)
                return;
            const auto commit = std::make_shared<std::optional<LogPoint>>();
            this->group.call(
                entry.dataCentre(), BackendGroup::indexOf(*view.primary), commandTimeout,
                [this, commit, term = view.term](FakeBackend& server) {
                    *commit = this->group.commit(server, term);
                    return commit->has_value();
                },
                [this, commit, &entry](CommandOutcome outcome, const std::optional<ServerStatus>&) {
                    if (outcome != CommandOutcome::Done)
                        return;
                    entry.awaitDurability(**commit, this->simulation.now() + writeDeadline, [this](Durability durability) {
                        if (durability == Durability::Durable && !this->servedAt)
                            this->servedAt = this->simulation.now();
                    });
                });
        }

        Simulation simulation;
        BackendGroup group;
        TimePoint strikesAt;
        TimePoint storeUpAt;
        std::vector<std::unique_ptr<Promoter>> promoters;
        std::array<TimePoint, Deployment::dataCentreCount> claimedAt;
        Term notedTerm;
        bool hasPromoterDied = false;
        std::optional<TimePoint> fencingAt;
        std::optional<TimePoint> promotingAt;
        std::optional<TimePoint> primaryAt;
        std::optional<TimePoint> servedAt;
    };

}

void runFailoverExperiment(const Deployment& deployment, uint64_t seed, Report& report)
{
    struct Scenario {
        const char* name;
        Fault fault;
    };
    const Scenario scenarios[] = { { "primary killed", Fault::PrimaryKilled }, { "primary cut off", Fault::PrimaryCutOff },
        { "primary killed, promoter dies", Fault::PromoterDies } };
    for (const Scenario& scenario : scenarios) {
        for (const bool isStoreDown : { false, true }) {
            const std::string name = std::string(scenario.name) + (isStoreDown ? ", store down" : ", store up");
            FailoverRun(deployment, Policy::StoreClaimFirst, scenario.fault, isStoreDown, seed)
                .report({ "failover", deployment.name, name, "store claim first" }, true, report);
            FailoverRun(deployment, Policy::GroupTerms, scenario.fault, isStoreDown, seed)
                .report({ "failover", deployment.name, name, "Promotion" }, true, report);
        }
    }
}

}

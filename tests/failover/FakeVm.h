#pragma once

#include "FakeGroup.h"
#include "foxtailtrail/failover/DurabilityTracker.h"
#include "foxtailtrail/failover/GroupMonitor.h"
#include "foxtailtrail/failover/Promotion.h"
#include "foxtailtrail/session/ReadRouter.h"

#include <utility>

namespace foxtail {

constexpr size_t firstVm = groupSize;

// A VM in a data centre of its own. It runs the decision code against the fake group and carries a client.
class FakeVm {
public:
    FakeVm(FakeGroup& group, size_t node, std::shared_ptr<const AcknowledgementStrategy> strategy, std::function<void(Step, size_t)> onStep)
        : group(group)
        , node(node)
        , onStep(std::move(onStep))
        , monitor(GroupMonitor::create(this->scope({})).value())
        , promotion("vm" + std::to_string(node))
        , tracker({ FakeGroup::id(0), FakeGroup::id(1), FakeGroup::id(2) }, std::move(strategy))
    {
        this->schedulePeriodically(milliseconds(100), [this] { this->probe(); });
        this->schedulePeriodically(milliseconds(20), [this] { this->startDuePromotion(); });
    }

    GroupScope scope(std::optional<size_t> drained) const
    {
        GroupScope result { DatabaseId("db"), DataCentre("dc" + std::to_string(this->node)), {}, {} };
        for (size_t server = 0; server < groupSize; ++server)
            result.members.push_back({ FakeGroup::id(server), Region("r"), server == drained });
        for (size_t vm = firstVm; vm < nodeCount; ++vm)
            result.peers.push_back({ VmId(std::to_string(vm)), DataCentre("dc" + std::to_string(vm)) });
        return result;
    }

    TimePoint now() const { return this->group.simulation.now(); }

    // Starts a promotion, whether it is due or not.
    void promote(const DuePromotion& due)
    {
        PromotionRequest request { {}, due.highestTerm, due.leavingPrimary, due.successor, static_cast<unsigned>(this->node - firstVm) };
        for (const ServerView& server : this->monitor.view(this->now()).servers)
            request.members.push_back({ server.server, server.isDraining });
        const auto effects = this->promotion.start(request, this->now());
        if (!effects.empty())
            this->onStep(Step::PromotionStarted, FakeGroup::indexOf(this->monitor.view(this->now()).primary.value_or(FakeGroup::id(0))));
        this->run(effects);
    }

    // Commits a write once and calls back when it is acknowledged. Retries with the same id until then.
    void write(uint64_t id, const std::function<void(LogPoint)>& acknowledgedCallback)
    {
        const GroupView view = this->monitor.view(this->now());
        const auto scheduleRetry = [this, id, acknowledgedCallback] {
            this->scheduleOnVm(milliseconds(20), [this, id, acknowledgedCallback] { this->write(id, acknowledgedCallback); });
        };
        if (!view.primary) {
            scheduleRetry();
            return;
        }
        const size_t server = FakeGroup::indexOf(*view.primary);
        this->onStep(Step::WriteSent, server);
        this->group.call(
            this->node, server,
            [this, id, term = view.term](FakeServer& target) {
                const FakeReply reply = this->group.write(target, term, id);
                if (reply.outcome == CommandOutcome::Done)
                    this->onStep(Step::WriteCommitted, target.index);
                return reply;
            },
            [this, id, scheduleRetry, acknowledgedCallback](std::optional<FakeReply> reply) {
                if (!reply || reply->outcome != CommandOutcome::Done) {
                    scheduleRetry();
                    return;
                }
                const auto ticket = this->tracker.track(reply->logPoint, this->now() + std::chrono::seconds(1));
                this->pendingWrites[ticket] = { id, scheduleRetry, acknowledgedCallback };
                this->processOutcomes();
                this->pollStatuses();
            });
    }

    // Looks for a write with a read that is planned by the router, and routes again until a read succeeds.
    void read(const ReadRequirements& requirements, uint64_t write, const std::function<void(bool)>& done)
    {
        const auto plan
            = ReadRouter().route(requirements, this->monitor.view(this->now()), this->now(), this->now().time_since_epoch().count());
        const auto scheduleRetry = [this, requirements, write, done] {
            this->scheduleOnVm(milliseconds(10), [this, requirements, write, done] { this->read(requirements, write, done); });
        };
        const ReadAttempt attempt = plan.value().attempts.front();
        if (attempt.server.empty()) {
            scheduleRetry();
            return;
        }
        const bool mustBePrimary = attempt.kind != ReadAttemptKind::Replica;
        this->group.call(
            this->node, FakeGroup::indexOf(attempt.server),
            [this, attempt, mustBePrimary, write](
                FakeServer& server) { return this->group.read(server, attempt.requiredLogPoint, mustBePrimary, write); },
            [this, attempt, scheduleRetry, done](std::optional<FakeReply> reply) {
                if (!reply || reply->outcome != CommandOutcome::Done) {
                    scheduleRetry();
                } else if (!attempt.earliestConfirmationAt) {
                    done(reply->isWriteFound);
                } else {
                    this->confirmTerm(
                        attempt, 5, [done, reply] { done(reply->isWriteFound); }, scheduleRetry);
                }
            });
    }

    FakeGroup& group;
    size_t node;
    std::function<void(Step, size_t)> onStep;
    GroupMonitor monitor;
    Promotion promotion;
    DurabilityTracker tracker;
    std::array<FakeVm*, nodeCount> peers {};
    std::set<PromotionCause> causes;

private:
    struct PendingWrite {
        uint64_t id;
        std::function<void()> retry;
        std::function<void(LogPoint)> onAcknowledged;
    };

    void scheduleOnVm(Duration delay, const std::function<void()>& action)
    {
        this->group.simulation.scheduleAfter(delay, [this, action] { this->group.onVm(this->node, action); });
    }

    void schedulePeriodically(Duration period, const std::function<void()>& action)
    {
        this->scheduleOnVm(period, [this, period, action] {
            action();
            this->schedulePeriodically(period, action);
        });
    }

    void readStatus(size_t server, const std::function<void(TimePoint, std::optional<ServerStatus>)>& done)
    {
        this->group.call(
            this->node, server, [this](FakeServer& target) { return this->group.reply(target, true); },
            [done, sentAt = this->now()](
                std::optional<FakeReply> reply) { done(sentAt, reply ? std::optional(reply->status) : std::nullopt); });
    }

    void probe()
    {
        for (size_t server = 0; server < groupSize; ++server) {
            this->readStatus(server, [this, server](TimePoint sentAt, std::optional<ServerStatus> status) {
                this->monitor.onProbe({ FakeGroup::id(server), sentAt, this->now(), status });
            });
        }
        if (const auto serverToCheck = this->monitor.serverToCheckWithPeers(this->now())) {
            for (size_t vm = firstVm; vm < nodeCount; ++vm)
                this->probeThroughPeer(vm, FakeGroup::indexOf(*serverToCheck));
        }
        for (const DueFollowCommand& due : this->monitor.dueFollowCommands(this->now()))
            this->run({ FollowPrimary { due.server, due.term, due.primary } });
    }

    void probeThroughPeer(size_t vm, size_t server)
    {
        this->group.onVm(vm, [this, vm, server, requestedAt = this->now()] {
            this->peers[vm]->readStatus(server, [this, vm, server, requestedAt](TimePoint, std::optional<ServerStatus> status) {
                this->group.onVm(this->node, [this, vm, server, requestedAt, isReachable = status.has_value()] {
                    this->monitor.onPeerReachabilityReport({ VmId(std::to_string(vm)), FakeGroup::id(server), requestedAt, isReachable });
                });
            });
        });
    }

    void startDuePromotion()
    {
        const auto due = this->monitor.duePromotion(this->now());
        if (!due)
            return;
        this->causes.insert(due->cause);
        this->promote(*due);
    }

    void handle(const PromotionEvent& event)
    {
        const bool wasRunning = this->promotion.isRunning();
        this->run(this->promotion.handle(event, this->now()));
        if (wasRunning && !this->promotion.isRunning())
            this->onStep(Step::PromotionEnded, FakeGroup::indexOf(this->promotion.primary().value_or(FakeGroup::id(0))));
    }

    void run(const std::vector<PromotionEffect>& effects)
    {
        for (const PromotionEffect& effect : effects)
            std::visit([this](const auto& typed) { this->run(typed); }, effect);
    }

    void run(const FenceServer& effect)
    {
        this->sendCommand(PromotionCommand::Fence, effect.server, effect.term, Step::FenceSent,
            [this, effect](FakeServer& server) { return this->group.fence(server, effect.term, this->promotion.promoter()); });
    }

    void run(const PromoteServer& effect)
    {
        this->sendCommand(PromotionCommand::Promote, effect.server, effect.term, Step::PromoteSent,
            [this, effect](FakeServer& server) { return this->group.promote(server, effect.term, this->promotion.promoter()); });
    }

    void run(const FollowPrimary& effect)
    {
        this->sendCommand(PromotionCommand::Follow, effect.server, effect.term, Step::FollowSent,
            [this, effect](FakeServer& server) { return this->group.follow(server, effect.term, FakeGroup::indexOf(effect.primary)); });
    }

    void run(const ReadStatus& effect)
    {
        this->readStatus(FakeGroup::indexOf(effect.server), [this, effect](TimePoint, std::optional<ServerStatus> status) {
            this->handle(StatusReply { effect.server, status });
        });
    }

    void run(const RecordPrimaryHint&) { }

    void run(const WaitUntil& effect)
    {
        this->scheduleOnVm(effect.time - this->now(), [this] { this->handle(TimeReached {}); });
    }

    // Sends a command. The two steps that follow its sending are the next two in Step.
    void sendCommand(
        PromotionCommand command, const BackendServerId& id, Term term, Step sent, const std::function<FakeReply(FakeServer&)>& operation)
    {
        const auto stepAfter = [sent](int offset) { return static_cast<Step>(static_cast<int>(sent) + offset); };
        const size_t target = FakeGroup::indexOf(id);
        this->onStep(sent, target);
        this->group.call(
            this->node, target,
            [this, operation, stepAfter](FakeServer& server) {
                const FakeReply reply = operation(server);
                this->onStep(stepAfter(1), server.index);
                return reply;
            },
            [this, command, id, term, target, stepAfter](std::optional<FakeReply> reply) {
                if (command != PromotionCommand::Follow)
                    this->onStep(stepAfter(2), target);
                CommandReply event { command, id, term, CommandOutcome::NoReply, std::nullopt };
                if (reply) {
                    event.outcome = reply->outcome;
                    event.status = reply->status;
                }
                this->handle(event);
            });
    }

    // Reads the statuses that pending writes and confirmations need, every 10 ms while there are any.
    void pollStatuses()
    {
        if (std::exchange(this->isPolling, true))
            return;
        this->scheduleOnVm(milliseconds(2), [this] {
            for (size_t server = 0; server < groupSize; ++server) {
                this->readStatus(server, [this, server](TimePoint sentAt, std::optional<ServerStatus> status) {
                    if (status)
                        this->tracker.observe(FakeGroup::id(server), sentAt, *status);
                    this->onStep(Step::StatusRead, server);
                    this->processOutcomes();
                });
            }
            this->scheduleOnVm(milliseconds(8), [this] {
                this->isPolling = false;
                if (this->tracker.hasPendingCommits() || this->pendingConfirmations > 0)
                    this->pollStatuses();
            });
        });
    }

    void processOutcomes()
    {
        for (const DurabilityOutcome& outcome : this->tracker.collectOutcomes(this->now())) {
            const PendingWrite pendingWrite = this->pendingWrites.extract(outcome.ticket).mapped();
            if (outcome.durability == Durability::Durable) {
                pendingWrite.onAcknowledged(outcome.commit);
            } else {
                pendingWrite.retry();
            }
        }
    }

    void confirmTerm(const ReadAttempt& attempt, unsigned attemptsLeft, const std::function<void()>& onConfirmed,
        const std::function<void()>& scheduleRetry)
    {
        if (this->tracker.isTermConfirmed(attempt.requiredLogPoint.term, *attempt.earliestConfirmationAt)) {
            onConfirmed();
            return;
        }
        if (attemptsLeft == 0) {
            scheduleRetry();
            return;
        }
        ++this->pendingConfirmations;
        this->pollStatuses();
        this->scheduleOnVm(milliseconds(10), [this, attempt, attemptsLeft, onConfirmed, scheduleRetry] {
            --this->pendingConfirmations;
            this->confirmTerm(attempt, attemptsLeft - 1, onConfirmed, scheduleRetry);
        });
    }

    std::map<DurabilityTicket, PendingWrite> pendingWrites;
    bool isPolling = false;
    unsigned pendingConfirmations = 0;
};

}

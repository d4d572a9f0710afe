#pragma once

#include "FakeGroup.h"
#include "foxtailtrail/failover/DurabilityTracker.h"
#include "foxtailtrail/failover/GroupMonitor.h"
#include "foxtailtrail/failover/Promotion.h"
#include "foxtailtrail/session/ReadRouter.h"

#include <utility>

namespace foxtail {

constexpr size_t firstVm = groupSize;

// A VM in a data centre of its own: it drives the decision code against the fake group, and carries a client.
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
        this->tick(milliseconds(100), [this] { this->probe(); });
        this->tick(milliseconds(20), [this] { this->control(); });
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

    // Starts a promotion, due or not.
    void promote(const PromotionDue& due)
    {
        PromotionRequest request { {}, due.highestTerm, due.leavingPrimary, due.successor, static_cast<unsigned>(this->node - firstVm) };
        for (const ServerView& server : this->monitor.view(this->now()).servers)
            request.members.push_back({ server.server, server.draining });
        const auto effects = this->promotion.start(request, this->now());
        if (!effects.empty())
            this->onStep(Step::PromotionStarted, FakeGroup::indexOf(this->monitor.view(this->now()).primary.value_or(FakeGroup::id(0))));
        this->run(effects);
    }

    // Commits a write once and calls back when it is acknowledged; tries the same id again until then.
    void write(uint64_t id, const std::function<void(LogPoint)>& acknowledged)
    {
        const GroupView view = this->monitor.view(this->now());
        const auto again
            = [this, id, acknowledged] { this->later(milliseconds(20), [this, id, acknowledged] { this->write(id, acknowledged); }); };
        if (!view.primary) {
            again();
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
            [this, id, again, acknowledged](std::optional<FakeReply> reply) {
                if (!reply || reply->outcome != CommandOutcome::Done) {
                    again();
                    return;
                }
                const auto ticket = this->tracker.track(reply->point, this->now() + std::chrono::seconds(1));
                this->waiting[ticket] = { id, again, acknowledged };
                this->settle();
                this->poll();
            });
    }

    // Looks for a write with a read as the router plans it, and routes again until a read succeeds.
    void read(const ReadNeed& need, uint64_t write, const std::function<void(bool)>& done)
    {
        const auto plan = ReadRouter().route(need, this->monitor.view(this->now()), this->now(), this->now().time_since_epoch().count());
        const auto again
            = [this, need, write, done] { this->later(milliseconds(10), [this, need, write, done] { this->read(need, write, done); }); };
        const ReadAttempt attempt = plan.value().attempts.front();
        if (attempt.server.empty()) {
            again();
            return;
        }
        const bool asPrimary = attempt.kind != ReadAttemptKind::Replica;
        this->group.call(
            this->node, FakeGroup::indexOf(attempt.server),
            [this, attempt, asPrimary, write](FakeServer& server) { return this->group.read(server, attempt.required, asPrimary, write); },
            [this, attempt, again, done](std::optional<FakeReply> reply) {
                if (!reply || reply->outcome != CommandOutcome::Done) {
                    again();
                } else if (!attempt.confirmedSince) {
                    done(reply->found);
                } else {
                    this->confirm(
                        attempt, 5, [done, reply] { done(reply->found); }, again);
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
    struct Waiting {
        uint64_t id;
        std::function<void()> again;
        std::function<void(LogPoint)> acknowledged;
    };

    void later(Duration delay, const std::function<void()>& action)
    {
        this->group.simulation.after(delay, [this, action] { this->group.onVm(this->node, action); });
    }

    void tick(Duration period, const std::function<void()>& action)
    {
        this->later(period, [this, period, action] {
            action();
            this->tick(period, action);
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
        if (const auto suspect = this->monitor.serverToAskPeersAbout(this->now())) {
            for (size_t vm = firstVm; vm < nodeCount; ++vm)
                this->askPeer(vm, FakeGroup::indexOf(*suspect));
        }
        for (const FollowDue& due : this->monitor.followsDue(this->now()))
            this->run({ FollowPrimary { due.server, due.term, due.primary } });
    }

    void askPeer(size_t vm, size_t server)
    {
        this->group.onVm(vm, [this, vm, server, askedAt = this->now()] {
            this->peers[vm]->readStatus(server, [this, vm, server, askedAt](TimePoint, std::optional<ServerStatus> status) {
                this->group.onVm(this->node, [this, vm, server, askedAt, reachable = status.has_value()] {
                    this->monitor.onPeerEvidence({ VmId(std::to_string(vm)), FakeGroup::id(server), askedAt, reachable });
                });
            });
        });
    }

    void control()
    {
        const auto due = this->monitor.promotionDue(this->now());
        if (!due || this->promotion.isRunning() || this->now() < this->promotion.backoffUntil())
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
        this->command(PromotionCommand::Fence, effect.server, effect.term, Step::FenceSent,
            [this, effect](FakeServer& server) { return this->group.fence(server, effect.term, this->promotion.promoter()); });
    }

    void run(const PromoteServer& effect)
    {
        this->command(PromotionCommand::Promote, effect.server, effect.term, Step::PromoteSent,
            [this, effect](FakeServer& server) { return this->group.promote(server, effect.term, this->promotion.promoter()); });
    }

    void run(const FollowPrimary& effect)
    {
        this->command(PromotionCommand::Follow, effect.server, effect.term, Step::FollowSent,
            [this, effect](FakeServer& server) { return this->group.follow(server, effect.term, FakeGroup::indexOf(effect.primary)); });
    }

    void run(const ReadStatus& effect)
    {
        this->readStatus(FakeGroup::indexOf(effect.server), [this, effect](TimePoint, std::optional<ServerStatus> status) {
            this->handle(StatusReply { effect.server, status });
        });
    }

    void run(const RecordHint&) { }

    void run(const WaitUntil& effect)
    {
        this->later(effect.time - this->now(), [this] { this->handle(TimeReached {}); });
    }

    // Sends a command; the steps that follow the sending of it are the two next in the list.
    void command(
        PromotionCommand command, const BackendServerId& id, Term term, Step sent, const std::function<FakeReply(FakeServer&)>& operation)
    {
        const auto following = [sent](int offset) { return static_cast<Step>(static_cast<int>(sent) + offset); };
        const size_t target = FakeGroup::indexOf(id);
        this->onStep(sent, target);
        this->group.call(
            this->node, target,
            [this, operation, following](FakeServer& server) {
                const FakeReply reply = operation(server);
                this->onStep(following(1), server.index);
                return reply;
            },
            [this, command, id, term, target, following](std::optional<FakeReply> reply) {
                if (command != PromotionCommand::Follow)
                    this->onStep(following(2), target);
                CommandReply event { command, id, term, CommandOutcome::NoReply, std::nullopt };
                if (reply) {
                    event.outcome = reply->outcome;
                    event.status = reply->status;
                }
                this->handle(event);
            });
    }

    // Reads the statuses that acknowledgements wait for, every 10 ms while any does.
    void poll()
    {
        if (std::exchange(this->polling, true))
            return;
        this->later(milliseconds(2), [this] {
            for (size_t server = 0; server < groupSize; ++server) {
                this->readStatus(server, [this, server](TimePoint sentAt, std::optional<ServerStatus> status) {
                    if (status)
                        this->tracker.observe(FakeGroup::id(server), sentAt, *status);
                    this->onStep(Step::StatusRead, server);
                    this->settle();
                });
            }
            this->later(milliseconds(8), [this] {
                this->polling = false;
                if (this->tracker.isWaiting() || this->confirmations > 0)
                    this->poll();
            });
        });
    }

    void settle()
    {
        for (const DurabilityOutcome& outcome : this->tracker.settle(this->now())) {
            const Waiting wait = this->waiting.extract(outcome.ticket).mapped();
            if (outcome.durability == Durability::Durable) {
                wait.acknowledged(outcome.commit);
            } else {
                wait.again();
            }
        }
    }

    void confirm(const ReadAttempt& attempt, unsigned tries, const std::function<void()>& confirmed, const std::function<void()>& again)
    {
        if (this->tracker.isTermConfirmed(attempt.required.term, *attempt.confirmedSince)) {
            confirmed();
            return;
        }
        if (tries == 0) {
            again();
            return;
        }
        ++this->confirmations;
        this->poll();
        this->later(milliseconds(10), [this, attempt, tries, confirmed, again] {
            --this->confirmations;
            this->confirm(attempt, tries - 1, confirmed, again);
        });
    }

    std::map<DurabilityTicket, Waiting> waiting;
    bool polling = false;
    unsigned confirmations = 0;
};

}

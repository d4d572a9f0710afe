#pragma once

#include "foxtailtrail/config/ChangeProposal.h"
#include "tests/config/SampleConfiguration.h"

#include <functional>
#include <gtest/gtest.h>
#include <memory>

namespace foxtail {

using namespace std::chrono_literals;

// The store's row and objects in memory, with the faults of the platform's store.
struct FakeStore {
    ConfigurationRow row;
    uint64_t storeVersion = 0;
    std::map<std::string, std::string> objects;
    // The ids of all changes that were ever stored.
    std::set<std::string> changes;
    bool down = false;
    bool losesReplies = false;
    Duration delay = 5ms;

    void put(const Configuration& configuration)
    {
        this->row = rowFor(configuration, this->row);
        ++this->storeVersion;
        this->objects[configurationObjectName(configuration.version, this->row.digest)] = serializeConfiguration(configuration);
    }

    StoreAnswer run(const StoreCall& call)
    {
        if (const auto* swap = std::get_if<SwapRow>(&call.request)) {
            if (swap->expectedStoreVersion != this->storeVersion)
                return { call.call, SwapRefused {} };
            this->row = swap->row;
            this->changes.insert(this->row.recent.front().changeId);
            ++this->storeVersion;
            return { call.call, RowSwapped {} };
        }
        if (const auto* write = std::get_if<WriteObject>(&call.request)) {
            this->objects.emplace(write->name, write->text);
            return { call.call, ObjectWritten {} };
        }
        if (const auto* read = std::get_if<ReadObject>(&call.request))
            return { call.call, ObjectAnswer { this->objects[read->name] } };
        return { call.call, RowAnswer { this->row, this->storeVersion } };
    }
};

// Five VMs, of which the first three are witnesses, and proposals, in virtual time. After every step it checks that no
// VM goes back while it runs, that none serves a version more than 3 s after the acceptance of a newer one, and that
// one that started after an acceptance never serves an older version.
class FakeFleet {
public:
    struct Vm {
        VmId id;
        // The speed of its clock.
        double clock = 1;
        ConfigurationFollower follower;
        FreshnessMonitor monitor;
        bool cutFromStore = false;
        bool losesDocuments = false;
        // Only VMs of the same part reach each other.
        int part = 0;
        TimePoint startedAt;

        TimePoint local(TimePoint now) const
        {
            return TimePoint(Duration(static_cast<Duration::rep>(static_cast<double>(now.time_since_epoch().count()) * this->clock)));
        }
        bool serves(TimePoint now) const { return this->monitor.check(this->local(now)).has_value(); }
        void offer(const Configuration& document)
        {
            if (this->losesDocuments)
                return;
            if (const auto offered = this->follower.offer(document); offered.has_value() && offered.value() == OfferOutcome::Installed)
                this->monitor.install(document, this->follower.digest());
        }
    };

    struct Operator {
        std::unique_ptr<ChangeProposal> proposal;
        size_t vm = 0;
        bool reported = false;
    };

    FakeFleet()
    {
        this->store.put(sampleConfiguration(1));
        for (size_t index = 0; index < 5; ++index) {
            this->vms.emplace_back();
            this->vms[index].id = VmId("vm" + std::to_string(index + 1));
            this->vms[index].clock = index % 2 == 0 ? 1.01 : 0.99;
            this->vms[index].offer(sampleConfiguration(1));
        }
    }

    void propose(size_t vm, const std::string& name, ChangeAction action, Duration allowed = 4s)
    {
        const ConfigurationChange change { name + "-" + std::to_string(this->operators.size()), "operator-of-" + this->vms[vm].id.value,
            std::nullopt, std::move(action) };
        this->operators.push_back({ std::make_unique<ChangeProposal>(ChangeProposalSettings {}, change, this->now + allowed), vm, false });
        const size_t index = this->operators.size() - 1;
        this->perform(index, this->operators[index].proposal->start(this->now));
    }

    void restartEmpty(size_t vm)
    {
        this->vms[vm].follower = {};
        this->vms[vm].monitor = FreshnessMonitor();
        this->vms[vm].startedAt = this->now;
        // A version that was stored but not accepted may still be overruled by the majority that has not seen it.
        this->served.erase(this->vms[vm].id);
        this->vms[vm].offer(sampleConfiguration(1));
    }

    void runUntil(TimePoint end)
    {
        for (; this->now < end; this->now += step) {
            this->deliver();
            for (size_t index = 0; index < this->vms.size(); ++index) {
                // Each VM checks every second, at a moment of its own.
                if ((this->now.time_since_epoch() + index * 170ms) % 1s == 0ms)
                    this->checkRound(index);
            }
            for (size_t index = 0; index < this->operators.size(); ++index) {
                if (!this->operators[index].proposal->outcome())
                    this->perform(index, this->operators[index].proposal->tick(this->now));
            }
            this->checkInvariants();
        }
    }

    FakeStore store;
    std::vector<Vm> vms;
    std::vector<Operator> operators;
    TimePoint now;

private:
    // An accepted version and the moment of its acceptance.
    struct Acceptance {
        uint64_t version = 0;
        TimePoint at;
    };

    static constexpr Duration step = 5ms;
    static constexpr Duration hop = 10ms;

    void after(Duration delay, std::function<void()> action) { this->pending.emplace(this->now + delay, std::move(action)); }

    void deliver()
    {
        while (!this->pending.empty() && this->pending.begin()->first <= this->now) {
            const auto action = std::move(this->pending.begin()->second);
            this->pending.erase(this->pending.begin());
            action();
        }
    }

    bool linked(size_t left, size_t right) const { return left == right || this->vms[left].part == this->vms[right].part; }

    void callStore(size_t vm, const StoreCall& call, const std::function<void(const StoreAnswer&)>& done)
    {
        if (this->store.down || this->vms[vm].cutFromStore)
            return;
        this->after(this->store.delay, [this, vm, call, done] {
            const StoreAnswer answer = this->store.run(call);
            if (!this->store.losesReplies && !this->vms[vm].cutFromStore)
                this->after(this->store.delay, [answer, done] { done(answer); });
        });
    }

    void askWitness(size_t vm, const VmId& witness, const std::function<void(const Vm&)>& done)
    {
        const auto index = static_cast<size_t>(witness.value.back() - '1');
        if (!this->linked(vm, index))
            return;
        this->after(hop, [this, index, vm, done] {
            const Vm answer = this->vms[index];
            if (this->linked(vm, index))
                this->after(hop, [answer, done] { done(answer); });
        });
    }

    void checkRound(size_t index)
    {
        const TimePoint sentAt = this->vms[index].local(this->now);
        this->callStore(index, { 0, ReadRow {} }, [this, index, sentAt](const StoreAnswer& answer) {
            const ConfigurationRow row = *std::get<RowAnswer>(answer.answer).row;
            Vm& vm = this->vms[index];
            vm.monitor.storeReported({ row.version(), row.digest }, sentAt);
            if (vm.monitor.newestNamed() > vm.follower.version())
                vm.offer(parseConfiguration(this->store.objects.at(configurationObjectName(row.version(), row.digest))).value());
        });
        if (this->vms[index].follower.version() == 0)
            return;
        for (const VmAddress& witness : this->vms[index].follower.document()->witnesses) {
            this->askWitness(index, witness.id, [this, index, sentAt](const Vm& answer) {
                Vm& vm = this->vms[index];
                vm.monitor.witnessReported(answer.id, answer.monitor.ownReport(), sentAt);
                if (answer.follower.version() > 0)
                    vm.offer(*answer.follower.document());
            });
        }
    }

    void perform(size_t index, const std::vector<ProposalEffect>& effects)
    {
        for (const ProposalEffect& effect : effects) {
            if (const auto* call = std::get_if<StoreCall>(&effect)) {
                this->callStore(this->operators[index].vm, *call, [this, index](const StoreAnswer& answer) {
                    this->perform(index, this->operators[index].proposal->storeAnswered(answer, this->now));
                });
            } else {
                this->announce(index, std::get<AnnounceVersion>(effect));
            }
        }
    }

    void announce(size_t index, const AnnounceVersion& announcement)
    {
        for (const VmAddress& witness : announcement.witnesses) {
            const auto target = static_cast<size_t>(witness.id.value.back() - '1');
            if (this->linked(this->operators[index].vm, target))
                this->after(hop, [this, target, document = announcement.document] { this->vms[target].offer(*document); });
            this->askWitness(this->operators[index].vm, witness.id, [this, index](const Vm& answer) {
                auto& proposal = this->operators[index].proposal;
                this->perform(index, proposal->witnessReported(answer.id, answer.monitor.ownReport(), this->now));
            });
        }
    }

    void checkInvariants()
    {
        for (Operator& entry : this->operators) {
            const auto& outcome = entry.proposal->outcome();
            if (!outcome || entry.reported)
                continue;
            entry.reported = true;
            if (outcome->verdict == ProposalVerdict::Accepted)
                this->accepted.push_back({ outcome->version, this->now });
        }
        for (Vm& vm : this->vms) {
            if (!vm.serves(this->now))
                continue;
            for (const Acceptance& acceptance : this->accepted) {
                // A VM that started after the acceptance has no earlier check to rely on.
                const bool isTolerated = this->now <= acceptance.at + 3s && vm.startedAt < acceptance.at;
                if (isTolerated || vm.follower.version() >= acceptance.version)
                    continue;
                ADD_FAILURE() << vm.id << " serves version " << vm.follower.version() << " at "
                              << toMilliseconds(this->now.time_since_epoch()) << " ms, version " << acceptance.version
                              << " was accepted at " << toMilliseconds(acceptance.at.time_since_epoch()) << " ms";
            }
            uint64_t& highest = this->served[vm.id];
            EXPECT_GE(vm.follower.version(), highest) << vm.id << " went back";
            highest = std::max(highest, vm.follower.version());
        }
    }

    std::multimap<TimePoint, std::function<void()>> pending;
    std::vector<Acceptance> accepted;
    // The highest version that each VM has served since it started.
    std::map<VmId, uint64_t> served;
};

}

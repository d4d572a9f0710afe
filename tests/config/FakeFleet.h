#pragma once

#include "foxtailtrail/config/ChangeProposal.h"
#include "tests/config/SampleConfiguration.h"

#include <functional>
#include <gtest/gtest.h>
#include <memory>

namespace foxtail {

using namespace std::chrono_literals;

// An in-memory store with the configuration row and objects. Tests inject the failures of the platform's store.
struct FakeStore {
    ConfigurationRow row;
    uint64_t storeVersion = 0;
    std::map<std::string, std::string> objects;
    // The ids of all changes that have been stored.
    std::set<std::string> storedChangeIds;
    bool isDown = false;
    bool dropsReplies = false;
    Duration delay = 5ms;

    void put(const Configuration& configuration)
    {
        this->row = makeConfigurationRow(configuration, this->row);
        ++this->storeVersion;
        this->objects[configurationObjectName(configuration.version, this->row.digest)] = serializeConfiguration(configuration);
    }

    StoreResponse execute(const StoreCall& call)
    {
        if (const auto* compareAndSet = std::get_if<CompareAndSetRow>(&call.request)) {
            if (compareAndSet->expectedStoreVersion != this->storeVersion)
                return { call.callId, RowVersionConflict {} };
            this->row = compareAndSet->row;
            this->storedChangeIds.insert(this->row.recentChanges.front().changeId);
            ++this->storeVersion;
            return { call.callId, RowWritten {} };
        }
        if (const auto* write = std::get_if<WriteObject>(&call.request)) {
            this->objects.emplace(write->name, write->text);
            return { call.callId, ObjectWritten {} };
        }
        if (const auto* read = std::get_if<ReadObject>(&call.request))
            return { call.callId, ObjectResponse { this->objects[read->name] } };
        return { call.callId, RowResponse { this->row, this->storeVersion } };
    }
};

// Simulates five VMs, of which the first three are witnesses, and proposals of operators in virtual time. After every step it checks
// that no VM serves a lower version than before while it runs, that no VM serves a version more than 3 s after the acceptance of a newer
// one, and that a VM that started after an acceptance never serves an older version.
class FakeFleet {
public:
    struct Vm {
        VmId id;
        // The rate of its clock relative to the time of the simulation.
        double clockRate = 1;
        InstalledConfiguration installedConfiguration;
        FreshnessMonitor monitor;
        bool isolatedFromStore = false;
        bool dropsDocuments = false;
        // VMs reach each other only within the same partition.
        int partitionId = 0;
        TimePoint startedAt;

        TimePoint toLocalTime(TimePoint now) const
        {
            return TimePoint(Duration(static_cast<Duration::rep>(static_cast<double>(now.time_since_epoch().count()) * this->clockRate)));
        }
        bool isServing(TimePoint now) const { return this->monitor.checkFreshness(this->toLocalTime(now)).has_value(); }
        void receiveDocument(const Configuration& document)
        {
            if (this->dropsDocuments)
                return;
            if (const auto installed = this->installedConfiguration.installIfNewer(document);
                installed.has_value() && installed.value() == InstallOutcome::Installed)
                this->monitor.recordInstallation(document, this->installedConfiguration.digest());
        }
    };

    struct Operator {
        std::unique_ptr<ChangeProposal> proposal;
        size_t vm = 0;
        bool outcomeRecorded = false;
    };

    FakeFleet()
    {
        this->store.put(sampleConfiguration(1));
        for (size_t index = 0; index < 5; ++index) {
            this->vms.emplace_back();
            this->vms[index].id = VmId("vm" + std::to_string(index + 1));
            this->vms[index].clockRate = index % 2 == 0 ? 1.01 : 0.99;
            this->vms[index].receiveDocument(sampleConfiguration(1));
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
        this->vms[vm].installedConfiguration = {};
        this->vms[vm].monitor = FreshnessMonitor();
        this->vms[vm].startedAt = this->now;
        // A version that was stored but not accepted may be superseded by the older version of a majority that has not received it, so
        // the restarted VM may serve a lower version than before.
        this->highestServedVersions.erase(this->vms[vm].id);
        this->vms[vm].receiveDocument(sampleConfiguration(1));
    }

    void runUntil(TimePoint end)
    {
        for (; this->now < end; this->now += stepInterval) {
            this->runDueActions();
            for (size_t index = 0; index < this->vms.size(); ++index) {
                // Each VM checks every second, offset by 170 ms from the previous VM.
                if ((this->now.time_since_epoch() + index * 170ms) % 1s == 0ms)
                    this->checkConfiguration(index);
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
    // An accepted version and the time of its acceptance.
    struct Acceptance {
        uint64_t version = 0;
        TimePoint acceptedAt;
    };

    static constexpr Duration stepInterval = 5ms;
    static constexpr Duration networkDelay = 10ms;

    void scheduleAfter(Duration delay, std::function<void()> action) { this->pendingActions.emplace(this->now + delay, std::move(action)); }

    void runDueActions()
    {
        while (!this->pendingActions.empty() && this->pendingActions.begin()->first <= this->now) {
            const auto action = std::move(this->pendingActions.begin()->second);
            this->pendingActions.erase(this->pendingActions.begin());
            action();
        }
    }

    bool canReach(size_t from, size_t to) const { return from == to || this->vms[from].partitionId == this->vms[to].partitionId; }

    void callStore(size_t vm, const StoreCall& call, const std::function<void(const StoreResponse&)>& onResponse)
    {
        if (this->store.isDown || this->vms[vm].isolatedFromStore)
            return;
        this->scheduleAfter(this->store.delay, [this, vm, call, onResponse] {
            const StoreResponse response = this->store.execute(call);
            if (!this->store.dropsReplies && !this->vms[vm].isolatedFromStore)
                this->scheduleAfter(this->store.delay, [response, onResponse] { onResponse(response); });
        });
    }

    void queryWitness(size_t vm, const VmId& witness, const std::function<void(const Vm&)>& onResponse)
    {
        const auto index = static_cast<size_t>(witness.value.back() - '1');
        if (!this->canReach(vm, index))
            return;
        this->scheduleAfter(networkDelay, [this, index, vm, onResponse] {
            const Vm response = this->vms[index];
            if (this->canReach(vm, index))
                this->scheduleAfter(networkDelay, [response, onResponse] { onResponse(response); });
        });
    }

    void checkConfiguration(size_t index)
    {
        const TimePoint sentAt = this->vms[index].toLocalTime(this->now);
        this->callStore(index, { 0, ReadRow {} }, [this, index, sentAt](const StoreResponse& response) {
            const ConfigurationRow row = *std::get<RowResponse>(response.payload).row;
            Vm& vm = this->vms[index];
            vm.monitor.recordStoreReport({ row.version(), row.digest }, sentAt);
            if (vm.monitor.highestReportedVersion() > vm.installedConfiguration.version())
                vm.receiveDocument(parseConfiguration(this->store.objects.at(configurationObjectName(row.version(), row.digest))).value());
        });
        if (this->vms[index].installedConfiguration.version() == 0)
            return;
        for (const VmAddress& witness : this->vms[index].installedConfiguration.document()->witnesses) {
            this->queryWitness(index, witness.id, [this, index, sentAt](const Vm& response) {
                Vm& vm = this->vms[index];
                vm.monitor.recordWitnessReport(response.id, response.monitor.ownReport(), sentAt);
                if (response.installedConfiguration.version() > 0)
                    vm.receiveDocument(*response.installedConfiguration.document());
            });
        }
    }

    void perform(size_t index, const std::vector<ProposalEffect>& effects)
    {
        for (const ProposalEffect& effect : effects) {
            if (const auto* call = std::get_if<StoreCall>(&effect)) {
                this->callStore(this->operators[index].vm, *call, [this, index](const StoreResponse& response) {
                    this->perform(index, this->operators[index].proposal->handleStoreResponse(response, this->now));
                });
            } else {
                this->distribute(index, std::get<DistributeVersion>(effect));
            }
        }
    }

    void distribute(size_t index, const DistributeVersion& distribution)
    {
        for (const VmAddress& witness : distribution.witnesses) {
            const auto target = static_cast<size_t>(witness.id.value.back() - '1');
            if (this->canReach(this->operators[index].vm, target))
                this->scheduleAfter(
                    networkDelay, [this, target, document = distribution.document] { this->vms[target].receiveDocument(*document); });
            this->queryWitness(this->operators[index].vm, witness.id, [this, index](const Vm& response) {
                auto& proposal = this->operators[index].proposal;
                this->perform(index, proposal->handleWitnessReport(response.id, response.monitor.ownReport(), this->now));
            });
        }
    }

    void checkInvariants()
    {
        for (Operator& proposer : this->operators) {
            const auto& outcome = proposer.proposal->outcome();
            if (!outcome || proposer.outcomeRecorded)
                continue;
            proposer.outcomeRecorded = true;
            if (outcome->decision == ProposalDecision::Accepted)
                this->acceptances.push_back({ outcome->version, this->now });
        }
        for (Vm& vm : this->vms) {
            if (!vm.isServing(this->now))
                continue;
            for (const Acceptance& acceptance : this->acceptances) {
                // A VM that started after the acceptance cannot rely on an earlier check, so no delay is allowed for it.
                const bool isAllowed = this->now <= acceptance.acceptedAt + 3s && vm.startedAt < acceptance.acceptedAt;
                if (isAllowed || vm.installedConfiguration.version() >= acceptance.version)
                    continue;
                ADD_FAILURE() << vm.id << " serves version " << vm.installedConfiguration.version() << " at "
                              << toMilliseconds(this->now.time_since_epoch()) << " ms, version " << acceptance.version
                              << " was accepted at " << toMilliseconds(acceptance.acceptedAt.time_since_epoch()) << " ms";
            }
            uint64_t& highest = this->highestServedVersions[vm.id];
            EXPECT_GE(vm.installedConfiguration.version(), highest) << vm.id << " served a lower version than before";
            highest = std::max(highest, vm.installedConfiguration.version());
        }
    }

    std::multimap<TimePoint, std::function<void()>> pendingActions;
    std::vector<Acceptance> acceptances;
    // The highest version that each VM has served since it started.
    std::map<VmId, uint64_t> highestServedVersions;
};

}

#pragma once

#include "foxtailtrail/limits/StaticShare.h"
#include "foxtailtrail/limits/TokenBorrower.h"
#include "foxtailtrail/limits/TokenLender.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <numeric>
#include <random>

namespace foxtail {

// Steps of lending at which a fault can be injected.
enum class LendingStep : uint8_t { BeforeRequest, RequestInFlight, ReplyInFlight, AfterReply, DuringUse };

enum class LendingFault : uint8_t {
    None,
    BorrowerCrashes,
    BorrowerPauses,
    OwnerPauses,
    OwnerPausesAndIsReplaced,
    OwnerCrashesAndIsReplaced,
    OwnerChanges,
    MessagesLost,
    MessagesDuplicated,
    MessagesLate,
    StoreOutage,
    OwnerPartitionedFromStoreAndReplaced,
};

// The distribution of requests over time: even, with a pause in the second half of every 1.9 s, or even after 1.2 s without
// requests.
enum class LoadShape : uint8_t { Even, OnOff, AfterIdle };

struct FleetOptions {
    Organisation limit { OrganisationId("north"), 100, 50 };
    uint32_t vmCount = 9;
    // Offered requests per second, divided over the VMs by weight.
    double offeredPerSecond = 80;
    std::vector<double> weights = { 5, 1, 1, 1, 1, 1, 1, 1, 1 };
    LoadShape shape = LoadShape::Even;
    double ownerClockSpeed = 1;
    double borrowerClockSpeed = 1;
    bool usesStaticShare = false;
    TokenBorrowerSettings borrowerSettings;
    LendingFault fault = LendingFault::None;
    LendingStep step = LendingStep::BeforeRequest;
};

// VMs that lend and borrow over a simulated network, each with its own clock, in virtual time. VM 0 is the first owner.
class LendingFleet {
public:
    explicit LendingFleet(FleetOptions chosen)
        : options(std::move(chosen))
    {
        for (uint32_t index = 0; index < this->options.vmCount; ++index)
            this->startVm(index);
    }

    void run(Duration length)
    {
        for (uint32_t index = 0; index < this->options.vmCount; ++index) {
            this->scheduleAt(index, Duration(index * 97), [this, index] { this->tick(index); });
            this->scheduleAt(index, Duration(index * 1009), [this, index] { this->checkConfiguration(index); });
        }
        this->scheduleRequests(length);
        while (!this->events.empty() && this->events.begin()->first.first < length) {
            const Event event = std::move(this->events.begin()->second);
            this->now = this->events.begin()->first.first;
            this->events.erase(this->events.begin());
            Vm& vm = *this->vms[event.vm];
            if (this->now < vm.pausedUntil) {
                this->events.emplace(std::pair(vm.pausedUntil, ++this->lastEvent), event);
            } else if (!vm.hasCrashed) {
                event.work();
            }
        }
    }

    // Returns the largest number of requests admitted beyond rate * window + burst, over all windows that start and end at an
    // admission.
    double largestExcess() const
    {
        double smallest = 1e18;
        double largest = -1e18;
        for (size_t index = 0; index < this->admissions.size(); ++index) {
            const double filled = this->options.limit.rate * std::chrono::duration<double>(this->admissions[index]).count();
            smallest = std::min(smallest, static_cast<double>(index) - filled);
            largest = std::max(largest, static_cast<double>(index) + 1 - filled - smallest);
        }
        return largest - this->options.limit.burst;
    }

    size_t admittedBetween(Duration from, Duration to) const
    {
        return static_cast<size_t>(
            std::count_if(this->admissions.begin(), this->admissions.end(), [&](Duration time) { return time >= from && time < to; }));
    }

    size_t arrived = 0;
    // Requests that were refused although a single bucket for the whole fleet admitted them.
    size_t wronglyRefused = 0;
    std::map<ErrorKind, size_t> refusals;
    size_t refusedAtOnce = 0;
    size_t messageCount = 0;
    size_t faultsInjected = 0;
    std::vector<Duration> admissions;

private:
    struct Vm {
        std::unique_ptr<LimitStrategy> strategy;
        TokenBorrower* borrower = nullptr;
        std::unique_ptr<TokenLender> lender;
        double clockSpeed = 1;
        Duration clockOffset { 0 };
        uint64_t configurationEpoch = 0;
        TimePoint servingDeadline;
        Duration pausedUntil { 0 };
        bool hasCrashed = false;
        std::map<AdmissionTicket, bool> idealAdmitsByTicket;
    };
    struct Event {
        uint32_t vm = 0;
        std::function<void()> work;
    };

    void startVm(uint32_t index)
    {
        auto vm = std::make_unique<Vm>();
        vm->clockSpeed = index == 0 ? this->options.ownerClockSpeed : this->options.borrowerClockSpeed;
        vm->clockOffset = std::chrono::seconds(100 + 1000 * index);
        const std::map<OrganisationId, Organisation> limits { { this->options.limit.id, this->options.limit } };
        if (this->options.usesStaticShare) {
            vm->strategy = std::make_unique<StaticShare>(this->options.vmCount, limits, TimePoint(vm->clockOffset));
        } else {
            auto borrower = std::make_unique<TokenBorrower>(this->options.borrowerSettings, this->idOf(index), 1);
            vm->borrower = borrower.get();
            vm->strategy = std::move(borrower);
        }
        vm->lender = std::make_unique<TokenLender>(TokenLenderSettings {}, 1);
        vm->lender->setLimits(limits, TimePoint(vm->clockOffset));
        this->vms.push_back(std::move(vm));
        // The first version is old, so that its owner lends from the start.
        this->installConfiguration(index, TimePoint(this->vms[index]->clockOffset - std::chrono::seconds(10)));
    }

    VmId idOf(uint32_t index) const { return VmId("vm" + std::to_string(index)); }
    TimePoint localNow(const Vm& vm) const
    {
        return TimePoint(vm.clockOffset + Duration(static_cast<int64_t>(static_cast<double>(this->now.count()) * vm.clockSpeed)));
    }
    double random() { return static_cast<double>(this->generator() >> 11) / 9007199254740992.0; }
    void scheduleAt(uint32_t vm, Duration time, std::function<void()> work)
    {
        this->events.emplace(std::pair(time, ++this->lastEvent), Event { vm, std::move(work) });
    }
    Duration latency() { return Duration(400 + this->generator() % 1200); }

    // Sends a message, subject to the active faults.
    void send(uint32_t to, const std::function<void()>& work)
    {
        ++this->messageCount;
        const bool isFaulty = this->now < this->messageFaultUntil && this->generator() % 3 == 0;
        if (isFaulty && this->options.fault == LendingFault::MessagesLost)
            return;
        const bool isLate = isFaulty && this->options.fault == LendingFault::MessagesLate;
        this->scheduleAt(to, this->now + this->latency() + (isLate ? Duration(50000 + this->generator() % 250000) : Duration(0)), work);
        if (isFaulty && this->options.fault == LendingFault::MessagesDuplicated)
            this->scheduleAt(to, this->now + Duration(this->generator() % 300000), work);
    }

    void installConfiguration(uint32_t index, TimePoint acceptedBy)
    {
        Vm& vm = *this->vms[index];
        vm.configurationEpoch = this->epoch;
        std::map<uint32_t, LimitShardOwner> owners;
        std::map<uint32_t, uint64_t> owned;
        for (uint32_t shard = 0; shard < limitShardCount; ++shard) {
            owners[shard] = { this->idOf(this->owner), this->epoch };
            if (this->owner == index)
                owned[shard] = this->epoch;
        }
        if (vm.borrower != nullptr)
            vm.borrower->setOwners(owners);
        vm.lender->setShards(owned, acceptedBy, this->localNow(vm));
    }

    // Confirms the configuration at the store every 500 ms.
    void checkConfiguration(uint32_t index)
    {
        Vm& vm = *this->vms[index];
        const TimePoint sentAt = this->localNow(vm);
        const bool isStoreDown = this->now >= this->storeDownAt && this->now < this->storeDownUntil;
        if (!isStoreDown && !(index == 0 && this->now < this->ownerPartitionedUntil)) {
            this->scheduleAt(index, this->now + this->latency(), [this, index, sentAt, currentEpoch = this->epoch] {
                Vm& checked = *this->vms[index];
                if (checked.configurationEpoch != currentEpoch)
                    this->installConfiguration(index, this->localNow(checked));
                if (checked.configurationEpoch == currentEpoch)
                    checked.servingDeadline = sentAt + std::chrono::seconds(3);
            });
        }
        this->scheduleAt(index, this->now + std::chrono::milliseconds(500), [this, index] { this->checkConfiguration(index); });
    }

    void tick(uint32_t index)
    {
        Vm& vm = *this->vms[index];
        this->completeAdmissions(vm, vm.strategy->expire(this->localNow(vm)));
        this->sendRequests(index);
        this->scheduleAt(index, this->now + std::chrono::milliseconds(5), [this, index] { this->tick(index); });
    }

    void sendRequests(uint32_t index)
    {
        Vm& vm = *this->vms[index];
        for (const OutgoingBorrowRequest& message : vm.strategy->collectRequests(this->localNow(vm))) {
            this->onStepReached(LendingStep::BeforeRequest, index);
            const auto to = static_cast<uint32_t>(std::stoul(message.owner.value.substr(2)));
            this->send(to, [this, to, index, request = message.request] { this->lend(to, index, request); });
            this->onStepReached(LendingStep::RequestInFlight, index);
        }
    }

    void lend(uint32_t index, uint32_t from, const BorrowRequest& request)
    {
        Vm& vm = *this->vms[index];
        const BorrowReply reply = vm.lender->lend(request, vm.servingDeadline, this->localNow(vm));
        this->send(from, [this, from, index, reply] {
            Vm& borrower = *this->vms[from];
            this->completeAdmissions(borrower, borrower.strategy->receive(this->idOf(index), reply, this->localNow(borrower)));
            this->onStepReached(LendingStep::AfterReply, from);
        });
        this->onStepReached(LendingStep::ReplyInFlight, from);
    }

    void completeAdmissions(Vm& vm, const std::vector<CompletedAdmission>& completed)
    {
        for (const CompletedAdmission& decision : completed) {
            const auto found = vm.idealAdmitsByTicket.find(decision.ticket);
            this->recordAdmission(decision.admission, found->second, false);
            vm.idealAdmitsByTicket.erase(found);
        }
    }

    void recordAdmission(const Admission& admission, bool wouldIdealAdmit, bool isImmediate)
    {
        if (admission.state == AdmissionState::Admitted) {
            this->admissions.push_back(this->now);
            return;
        }
        ++this->refusals[admission.refusalReason];
        this->wronglyRefused += wouldIdealAdmit ? 1 : 0;
        this->refusedAtOnce += isImmediate ? 1 : 0;
    }

    // Schedules the requests, with exponentially distributed intervals.
    void scheduleRequests(Duration end)
    {
        const double total = std::accumulate(this->options.weights.begin(), this->options.weights.end(), 0.0);
        constexpr Duration onOffPeriod = std::chrono::milliseconds(1900);
        Duration time = std::chrono::milliseconds(this->options.shape == LoadShape::AfterIdle ? 1200 : 0);
        while (time < end) {
            double draw = this->random() * total;
            uint32_t index = 0;
            while (index + 1 < this->options.vmCount && draw >= this->options.weights[index])
                draw -= this->options.weights[index++];
            this->scheduleAt(index, time, [this, index] { this->handleArrival(index); });
            time += Duration(static_cast<int64_t>(-std::log(1 - this->random()) * 1e6 / this->options.offeredPerSecond));
            if (this->options.shape == LoadShape::OnOff && time % onOffPeriod > onOffPeriod / 2)
                time += onOffPeriod / 2;
        }
    }

    void handleArrival(uint32_t index)
    {
        Vm& vm = *this->vms[index];
        ++this->arrived;
        const bool wouldIdealAdmit = this->idealBucket.tryTake(1, TimePoint(this->now));
        const TimePoint local = this->localNow(vm);
        const Admission admission = vm.strategy->admit(this->options.limit.id, local + std::chrono::seconds(5), local);
        if (admission.state == AdmissionState::Waiting) {
            vm.idealAdmitsByTicket[admission.ticket] = wouldIdealAdmit;
            this->sendRequests(index);
        } else {
            this->recordAdmission(admission, wouldIdealAdmit, true);
        }
        this->onStepReached(LendingStep::DuringUse, index);
    }

    // Injects the fault when its step is reached for the 30th time after two seconds.
    void onStepReached(LendingStep step, uint32_t index)
    {
        if (step != this->options.step || this->now < std::chrono::seconds(2) || ++this->reachedCount != 30)
            return;
        ++this->faultsInjected;
        const Duration now = this->now;
        Vm& borrower = *this->vms[index];
        Vm& first = *this->vms[0];
        switch (this->options.fault) {
        case LendingFault::None:
            break;
        case LendingFault::BorrowerCrashes:
            borrower.hasCrashed = index != 0;
            break;
        case LendingFault::BorrowerPauses:
            borrower.pausedUntil = now + std::chrono::milliseconds(300);
            break;
        case LendingFault::OwnerPauses:
            first.pausedUntil = now + std::chrono::milliseconds(500);
            break;
        case LendingFault::OwnerPausesAndIsReplaced:
            first.pausedUntil = now + std::chrono::milliseconds(4200);
            this->scheduleAt(1, now + std::chrono::seconds(3), [this] { this->changeOwner(); });
            break;
        case LendingFault::OwnerCrashesAndIsReplaced:
            first.hasCrashed = true;
            this->scheduleAt(1, now + std::chrono::seconds(3), [this] { this->changeOwner(); });
            break;
        case LendingFault::OwnerChanges:
            this->changeOwner();
            break;
        case LendingFault::MessagesLost:
        case LendingFault::MessagesDuplicated:
        case LendingFault::MessagesLate:
            this->messageFaultUntil = now + std::chrono::seconds(3);
            break;
        case LendingFault::StoreOutage:
            this->storeDownAt = now;
            this->storeDownUntil = now + std::chrono::seconds(5);
            break;
        case LendingFault::OwnerPartitionedFromStoreAndReplaced:
            this->ownerPartitionedUntil = now + std::chrono::seconds(7);
            this->scheduleAt(1, now + std::chrono::milliseconds(100), [this] { this->changeOwner(); });
            break;
        }
    }

    void changeOwner()
    {
        this->owner = 1;
        ++this->epoch;
    }

    FleetOptions options;
    std::vector<std::unique_ptr<Vm>> vms;
    std::map<std::pair<Duration, uint64_t>, Event> events;
    uint64_t lastEvent = 0;
    Duration now { 0 };
    std::mt19937_64 generator { 20261204 };
    TokenBucket idealBucket { this->options.limit.rate, this->options.limit.burst, 0, TimePoint(Duration(0)) };
    uint32_t owner = 0;
    uint64_t epoch = 1;
    size_t reachedCount = 0;
    Duration messageFaultUntil { 0 };
    Duration ownerPartitionedUntil { 0 };
    Duration storeDownAt { 0 };
    Duration storeDownUntil { 0 };
};

}

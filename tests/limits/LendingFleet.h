#pragma once

#include "foxtailtrail/limits/ShareBorrower.h"
#include "foxtailtrail/limits/ShareLender.h"
#include "foxtailtrail/limits/StaticSplit.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <numeric>
#include <random>

namespace foxtail {

// Moments of lending at which a fault can strike.
enum class LendingStep : uint8_t { BeforeRequest, RequestOnTheWay, ReplyOnTheWay, AfterReply, DuringUse };

enum class LendingFault : uint8_t {
    None,
    BorrowerDies,
    BorrowerPauses,
    OwnerPauses,
    OwnerPausesAndIsReplaced,
    OwnerDiesAndIsReplaced,
    OwnerChanges,
    MessagesLost,
    MessagesDuplicated,
    MessagesLate,
    StoreOutage,
    OwnerCutOffFromStoreAndReplaced,
};

// How requests are spread over time: evenly, with a pause in the second half of every 1.9 s, or evenly after 1.2 s of silence.
enum class LoadShape : uint8_t { Even, Waves, AfterSilence };

struct FleetOptions {
    Organisation limit { OrganisationId("north"), 100, 50 };
    uint32_t vmCount = 9;
    // Offered requests per second, divided over the VMs by weight.
    double offered = 80;
    std::vector<double> weights = { 5, 1, 1, 1, 1, 1, 1, 1, 1 };
    LoadShape shape = LoadShape::Even;
    double ownerClockSpeed = 1;
    double borrowerClockSpeed = 1;
    bool staticSplit = false;
    ShareBorrowerSettings borrower;
    LendingFault fault = LendingFault::None;
    LendingStep step = LendingStep::BeforeRequest;
};

// VMs that lend and borrow over a simulated network, each with a clock of its own, in virtual time. VM 0 is the first owner.
class LendingFleet {
public:
    explicit LendingFleet(FleetOptions chosen)
        : options(std::move(chosen))
    {
        for (uint32_t index = 0; index < this->options.vmCount; ++index)
            this->start(index);
    }

    void run(Duration length)
    {
        for (uint32_t index = 0; index < this->options.vmCount; ++index) {
            this->at(index, Duration(index * 97), [this, index] { this->tick(index); });
            this->at(index, Duration(index * 1009), [this, index] { this->check(index); });
        }
        this->planRequests(length);
        while (!this->events.empty() && this->events.begin()->first.first < length) {
            const Event event = std::move(this->events.begin()->second);
            this->now = this->events.begin()->first.first;
            this->events.erase(this->events.begin());
            Vm& vm = *this->vms[event.vm];
            if (this->now < vm.pausedUntil) {
                this->events.emplace(std::pair(vm.pausedUntil, ++this->lastEvent), event);
            } else if (!vm.dead) {
                event.work();
            }
        }
    }

    // The largest number of requests admitted beyond rate * window + burst, over all windows that start and end at an admission.
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
    // Refused here although one bucket for the whole fleet admitted the same request.
    size_t wronglyRefused = 0;
    std::map<ErrorKind, size_t> refusals;
    size_t refusedAtOnce = 0;
    size_t messages = 0;
    size_t faultsApplied = 0;
    std::vector<Duration> admissions;

private:
    struct Vm {
        std::unique_ptr<LimitStrategy> strategy;
        ShareBorrower* borrower = nullptr;
        std::unique_ptr<ShareLender> lender;
        double clockSpeed = 1;
        Duration clockOffset { 0 };
        uint64_t version = 0;
        TimePoint servingDeadline;
        Duration pausedUntil { 0 };
        bool dead = false;
        std::map<AdmissionTicket, bool> idealByTicket;
    };
    struct Event {
        uint32_t vm = 0;
        std::function<void()> work;
    };

    void start(uint32_t index)
    {
        auto vm = std::make_unique<Vm>();
        vm->clockSpeed = index == 0 ? this->options.ownerClockSpeed : this->options.borrowerClockSpeed;
        vm->clockOffset = std::chrono::seconds(100 + 1000 * index);
        const std::map<OrganisationId, Organisation> limits { { this->options.limit.id, this->options.limit } };
        if (this->options.staticSplit) {
            vm->strategy = std::make_unique<StaticSplit>(this->options.vmCount, limits, TimePoint(vm->clockOffset));
        } else {
            auto borrower = std::make_unique<ShareBorrower>(this->options.borrower, this->idOf(index), 1);
            vm->borrower = borrower.get();
            vm->strategy = std::move(borrower);
        }
        vm->lender = std::make_unique<ShareLender>(ShareLenderSettings {}, 1);
        vm->lender->setLimits(limits, TimePoint(vm->clockOffset));
        this->vms.push_back(std::move(vm));
        // The first version is old, so that its owner lends from the start.
        this->install(index, TimePoint(this->vms[index]->clockOffset - std::chrono::seconds(10)));
    }

    VmId idOf(uint32_t index) const { return VmId("vm" + std::to_string(index)); }
    TimePoint local(const Vm& vm) const
    {
        return TimePoint(vm.clockOffset + Duration(static_cast<int64_t>(static_cast<double>(this->now.count()) * vm.clockSpeed)));
    }
    double random() { return static_cast<double>(this->generator() >> 11) / 9007199254740992.0; }
    void at(uint32_t vm, Duration time, std::function<void()> work)
    {
        this->events.emplace(std::pair(time, ++this->lastEvent), Event { vm, std::move(work) });
    }
    Duration latency() { return Duration(400 + this->generator() % 1200); }

    // Sends a message with the faults that are in force.
    void send(uint32_t to, const std::function<void()>& work)
    {
        ++this->messages;
        const bool faulty = this->now < this->messageFaultUntil && this->generator() % 3 == 0;
        if (faulty && this->options.fault == LendingFault::MessagesLost)
            return;
        const bool late = faulty && this->options.fault == LendingFault::MessagesLate;
        this->at(to, this->now + this->latency() + (late ? Duration(50000 + this->generator() % 250000) : Duration(0)), work);
        if (faulty && this->options.fault == LendingFault::MessagesDuplicated)
            this->at(to, this->now + Duration(this->generator() % 300000), work);
    }

    void install(uint32_t index, TimePoint acceptedBy)
    {
        Vm& vm = *this->vms[index];
        vm.version = this->epoch;
        std::map<uint32_t, LimitShardOwner> owners;
        std::map<uint32_t, uint64_t> owned;
        for (uint32_t shard = 0; shard < limitShardCount; ++shard) {
            owners[shard] = { this->idOf(this->owner), this->epoch };
            if (this->owner == index)
                owned[shard] = this->epoch;
        }
        if (vm.borrower != nullptr)
            vm.borrower->setOwners(owners);
        vm.lender->setShards(owned, acceptedBy, this->local(vm));
    }

    // Confirms the configuration at the store every 500 ms.
    void check(uint32_t index)
    {
        Vm& vm = *this->vms[index];
        const TimePoint sentAt = this->local(vm);
        const bool isStoreDown = this->now >= this->storeDownFrom && this->now < this->storeDownUntil;
        if (!isStoreDown && !(index == 0 && this->now < this->ownerCutOffUntil)) {
            this->at(index, this->now + this->latency(), [this, index, sentAt, seen = this->epoch] {
                Vm& checked = *this->vms[index];
                if (checked.version != seen)
                    this->install(index, this->local(checked));
                if (checked.version == seen)
                    checked.servingDeadline = sentAt + std::chrono::seconds(3);
            });
        }
        this->at(index, this->now + std::chrono::milliseconds(500), [this, index] { this->check(index); });
    }

    void tick(uint32_t index)
    {
        Vm& vm = *this->vms[index];
        this->settle(vm, vm.strategy->expire(this->local(vm)));
        this->sendRequests(index);
        this->at(index, this->now + std::chrono::milliseconds(5), [this, index] { this->tick(index); });
    }

    void sendRequests(uint32_t index)
    {
        Vm& vm = *this->vms[index];
        for (const AddressedBorrow& message : vm.strategy->takeRequests(this->local(vm))) {
            this->reach(LendingStep::BeforeRequest, index);
            const auto to = static_cast<uint32_t>(std::stoul(message.owner.value.substr(2)));
            this->send(to, [this, to, index, request = message.request] { this->lend(to, index, request); });
            this->reach(LendingStep::RequestOnTheWay, index);
        }
    }

    void lend(uint32_t index, uint32_t from, const BorrowRequest& request)
    {
        Vm& vm = *this->vms[index];
        const BorrowReply reply = vm.lender->lend(request, vm.servingDeadline, this->local(vm));
        this->send(from, [this, from, index, reply] {
            Vm& borrower = *this->vms[from];
            this->settle(borrower, borrower.strategy->receive(this->idOf(index), reply, this->local(borrower)));
            this->reach(LendingStep::AfterReply, from);
        });
        this->reach(LendingStep::ReplyOnTheWay, from);
    }

    void settle(Vm& vm, const std::vector<SettledAdmission>& settled)
    {
        for (const SettledAdmission& decision : settled) {
            const auto found = vm.idealByTicket.find(decision.ticket);
            this->record(decision.admission, found->second, false);
            vm.idealByTicket.erase(found);
        }
    }

    void record(const Admission& admission, bool idealAdmits, bool atOnce)
    {
        if (admission.state == AdmissionState::Admitted) {
            this->admissions.push_back(this->now);
            return;
        }
        ++this->refusals[admission.refusal];
        this->wronglyRefused += idealAdmits ? 1 : 0;
        this->refusedAtOnce += atOnce ? 1 : 0;
    }

    // Plans the requests, with exponential gaps.
    void planRequests(Duration end)
    {
        const double total = std::accumulate(this->options.weights.begin(), this->options.weights.end(), 0.0);
        constexpr Duration wave = std::chrono::milliseconds(1900);
        Duration time = std::chrono::milliseconds(this->options.shape == LoadShape::AfterSilence ? 1200 : 0);
        while (time < end) {
            double place = this->random() * total;
            uint32_t index = 0;
            while (index + 1 < this->options.vmCount && place >= this->options.weights[index])
                place -= this->options.weights[index++];
            this->at(index, time, [this, index] { this->request(index); });
            time += Duration(static_cast<int64_t>(-std::log(1 - this->random()) * 1e6 / this->options.offered));
            if (this->options.shape == LoadShape::Waves && time % wave > wave / 2)
                time += wave / 2;
        }
    }

    void request(uint32_t index)
    {
        Vm& vm = *this->vms[index];
        ++this->arrived;
        const bool idealAdmits = this->ideal.take(1, TimePoint(this->now));
        const TimePoint local = this->local(vm);
        const Admission admission = vm.strategy->admit(this->options.limit.id, local + std::chrono::seconds(5), local);
        if (admission.state == AdmissionState::Waiting) {
            vm.idealByTicket[admission.ticket] = idealAdmits;
            this->sendRequests(index);
        } else {
            this->record(admission, idealAdmits, true);
        }
        this->reach(LendingStep::DuringUse, index);
    }

    // Applies the fault when its step is reached for the 30th time after two seconds.
    void reach(LendingStep step, uint32_t index)
    {
        if (step != this->options.step || this->now < std::chrono::seconds(2) || ++this->reached != 30)
            return;
        ++this->faultsApplied;
        const Duration now = this->now;
        Vm& borrower = *this->vms[index];
        Vm& first = *this->vms[0];
        switch (this->options.fault) {
        case LendingFault::None:
            break;
        case LendingFault::BorrowerDies:
            borrower.dead = index != 0;
            break;
        case LendingFault::BorrowerPauses:
            borrower.pausedUntil = now + std::chrono::milliseconds(300);
            break;
        case LendingFault::OwnerPauses:
            first.pausedUntil = now + std::chrono::milliseconds(500);
            break;
        case LendingFault::OwnerPausesAndIsReplaced:
            first.pausedUntil = now + std::chrono::milliseconds(4200);
            this->at(1, now + std::chrono::seconds(3), [this] { this->changeOwner(); });
            break;
        case LendingFault::OwnerDiesAndIsReplaced:
            first.dead = true;
            this->at(1, now + std::chrono::seconds(3), [this] { this->changeOwner(); });
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
            this->storeDownFrom = now;
            this->storeDownUntil = now + std::chrono::seconds(5);
            break;
        case LendingFault::OwnerCutOffFromStoreAndReplaced:
            this->ownerCutOffUntil = now + std::chrono::seconds(7);
            this->at(1, now + std::chrono::milliseconds(100), [this] { this->changeOwner(); });
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
    TokenBucket ideal { this->options.limit.rate, this->options.limit.burst, 0, TimePoint(Duration(0)) };
    uint32_t owner = 0;
    uint64_t epoch = 1;
    size_t reached = 0;
    Duration messageFaultUntil { 0 };
    Duration ownerCutOffUntil { 0 };
    Duration storeDownFrom { 0 };
    Duration storeDownUntil { 0 };
};

}

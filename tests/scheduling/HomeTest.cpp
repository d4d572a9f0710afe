#include "foxtailtrail/membership/PeerTable.h"
#include "foxtailtrail/scheduling/ConnectionBudget.h"
#include "foxtailtrail/scheduling/HomeClaim.h"
#include "foxtailtrail/scheduling/HomePlacement.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <set>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // The step of becoming a home at which a fault is injected.
    enum class HomeStep : uint8_t { Reading, Claiming, ClaimAnswered, Refilling, PoolFilled };

    enum class HomeFault : uint8_t { Crashes, Pauses, Leaves, RestartsAtOnce, RepliesLost, AnotherVmStarts };

    // A backend server that accepts one claim at a time and closes the connections of earlier ones.
    struct FakeServer {
        uint64_t epoch = 0;
        VmId holder;
        // The process and the epoch of every open connection.
        std::multiset<std::pair<uint32_t, uint64_t>> connections;
        size_t peakConnections = 0;

        bool claim(const VmId& vm, uint64_t claimed)
        {
            if (claimed != this->epoch + 1)
                return false;
            this->epoch = claimed;
            this->holder = vm;
            std::erase_if(this->connections, [&](const auto& connection) { return connection.second < claimed; });
            return true;
        }

        bool connect(uint32_t process, uint64_t connectionEpoch)
        {
            if (connectionEpoch != this->epoch)
                return false;
            this->connections.emplace(process, connectionEpoch);
            this->peakConnections = std::max(this->peakConnections, this->connections.size());
            return true;
        }
    };

    // VMs that ping each other, choose the home of one backend server, claim it and fill its pool, in virtual time.
    class HomeFleet {
    public:
        HomeFleet()
        {
            for (uint32_t vm = 0; vm < vmCount; ++vm)
                this->startProcess(vm);
        }

        void run(Duration until)
        {
            while (this->events.begin()->first.first < until) {
                const auto [key, event] = *this->events.begin();
                this->events.erase(this->events.begin());
                this->now = key.first;
                Process& process = *this->processes[event.process];
                if (this->now < process.pausedUntil) {
                    this->scheduleAt(event.process, process.pausedUntil, event.work);
                } else if (!process.hasCrashed) {
                    event.work(process);
                }
            }
        }

        // Injects the fault when a process reaches the step, the given number of times.
        void scheduleFaults(HomeFault chosenFault, HomeStep chosenStep, int times)
        {
            this->fault = chosenFault;
            this->step = chosenStep;
            this->faultsLeft = times;
        }

        void injectFault(uint32_t index, HomeFault chosenFault)
        {
            Process& process = *this->processes[index];
            const uint32_t vm = process.vm;
            switch (chosenFault) {
            case HomeFault::Crashes:
                process.hasCrashed = true;
                break;
            case HomeFault::Pauses:
                process.pausedUntil = this->now + seconds(3);
                break;
            case HomeFault::Leaves:
                process.isLeaving = true;
                break;
            case HomeFault::RestartsAtOnce:
                for (const auto& earlier : this->processes)
                    earlier->hasCrashed = earlier->hasCrashed || earlier->vm == vm;
                this->startProcess(vm);
                break;
            case HomeFault::RepliesLost:
                this->repliesLostUntil = this->now + milliseconds(700);
                break;
            case HomeFault::AnotherVmStarts:
                this->startProcess(vmCount + this->addedVmCount++);
                break;
            }
        }

        // Returns the process of the VM that is home now.
        uint32_t homeProcess() const
        {
            for (uint32_t index = 0; index < this->processes.size(); ++index) {
                const Process& process = *this->processes[index];
                if (!process.hasCrashed && process.claim.isHeld() && process.claim.epoch() == this->server.epoch)
                    return index;
            }
            return UINT32_MAX;
        }

        uint32_t vmOf(uint32_t process) const { return this->processes[process]->vm; }

        static constexpr uint32_t vmCount = 4;
        FakeServer server;
        ConnectionSplit split = splitConnections(20, 3, 3).value();
        int faultsLeft = 0;

    private:
        struct Process {
            uint32_t vm = 0;
            uint64_t incarnation = 0;
            PeerTable peers;
            HomePlacement placement;
            HomeClaim claim;
            ConnectionBudget budget;
            ConnectionPacer pacer;
            bool hasCrashed = false;
            bool isLeaving = false;
            Duration pausedUntil { 0 };
        };
        using Work = std::function<void(Process&)>;
        struct Event {
            uint32_t process = 0;
            Work work;
        };

        static VmId idOf(uint32_t vm) { return VmId("vm" + std::to_string(vm)); }
        // Every clock has a different offset.
        static TimePoint localTime(const Process& process, Duration time) { return TimePoint(seconds(1000 * (process.vm + 1)) + time); }
        TimePoint localNow(const Process& process) const { return localTime(process, this->now); }
        void scheduleAt(uint32_t process, Duration time, Work work)
        {
            this->events.emplace(std::pair(time, ++this->lastEvent), Event { process, std::move(work) });
        }

        void startProcess(uint32_t vm)
        {
            const auto index = static_cast<uint32_t>(this->processes.size());
            const Region region("seq");
            this->processes.push_back(std::make_unique<Process>(Process { vm, index, PeerTable({}, idOf(vm), region),
                HomePlacement({}, idOf(vm)), HomeClaim({}, idOf(vm)), ConnectionBudget(this->split), {}, false, false, {} }));
            this->scheduleAt(index, this->now + Duration(vm * 1013), [this, index](Process& process) { this->tick(index, process); });
        }

        void tick(uint32_t index, Process& process)
        {
            std::vector<PeerHint> hints;
            for (uint32_t vm = 0; vm < vmCount + 2; ++vm)
                hints.push_back({ idOf(vm), Region("seq"), {}, false });
            process.peers.setPeers(hints, {}, this->localNow(process));
            for (const VmId& vm : process.peers.duePings(this->localNow(process)))
                this->ping(index, static_cast<uint32_t>(std::stoul(vm.value.substr(2))));
            std::vector<PlacementCandidate> candidates { { idOf(process.vm), Region("seq"), true, process.isLeaving } };
            for (const PeerState& peer : process.peers.snapshot(this->localNow(process)))
                candidates.push_back({ peer.vm, peer.region, peer.isAlive, peer.isLeaving });
            process.placement.update(candidates, this->localNow(process));
            const bool isHome = process.placement.home(DatabaseId("bookings"), Region("seq")) == idOf(process.vm);
            this->perform(index, process, isHome ? process.claim.acquire(this->localNow(process)) : process.claim.release());
            this->perform(index, process, process.claim.tick(this->localNow(process)));
            this->fillPool(index, process);
            this->scheduleAt(index, this->now + milliseconds(10), [this, index](Process& ticking) { this->tick(index, ticking); });
        }

        void ping(uint32_t from, uint32_t vm)
        {
            const Duration sentAt = this->now;
            for (uint32_t index = 0; index < this->processes.size(); ++index) {
                if (this->processes[index]->vm != vm)
                    continue;
                this->scheduleAt(index, this->now + milliseconds(1), [this, from, sentAt](Process& pinged) {
                    const PeerReport report { idOf(pinged.vm), pinged.incarnation, pinged.isLeaving };
                    this->scheduleAt(from, this->now + milliseconds(1),
                        [report, sentAt](Process& pinging) { pinging.peers.handleReport(report, localTime(pinging, sentAt)); });
                });
            }
        }

        void perform(uint32_t index, Process& process, HomeClaimAction action)
        {
            if (action == HomeClaimAction::ClosePool) {
                std::erase_if(this->server.connections, [&](const auto& connection) { return connection.first == index; });
                while (process.budget.openCount(ConnectionPurpose::Pooled) > 0)
                    process.budget.release(ConnectionPurpose::Pooled);
            } else if (action == HomeClaimAction::Read) {
                this->onStepReached(HomeStep::Reading, index);
                this->scheduleAt(index, this->now + milliseconds(2), [this, index](Process& reading) {
                    if (this->now >= this->repliesLostUntil)
                        this->perform(index, reading,
                            reading.claim.onClaimRead({ this->server.epoch, this->server.holder }, this->localNow(reading)));
                });
            } else if (action == HomeClaimAction::Claim) {
                // The claim takes effect at the server whatever happens to its sender, and its reply may be lost.
                const uint64_t epoch = process.claim.epoch();
                const ClaimAnswer answer = this->server.claim(idOf(process.vm), epoch) ? ClaimAnswer::Accepted : ClaimAnswer::Refused;
                this->onStepReached(HomeStep::Claiming, index);
                this->scheduleAt(index, this->now + milliseconds(2), [this, index, epoch, answer](Process& claiming) {
                    if (this->now >= this->repliesLostUntil)
                        this->perform(index, claiming, claiming.claim.onClaimAnswered(epoch, answer, this->localNow(claiming)));
                    this->onStepReached(HomeStep::ClaimAnswered, index);
                });
            }
        }

        void fillPool(uint32_t index, Process& process)
        {
            const uint64_t epoch = process.claim.epoch();
            if (!process.claim.isHeld())
                return;
            if (epoch != this->server.epoch) {
                this->perform(index, process, process.claim.onEpochSuperseded(epoch, this->localNow(process)));
                return;
            }
            while (process.budget.tryAcquire(ConnectionPurpose::Pooled, process.pacer, this->localNow(process))) {
                this->scheduleAt(index, this->now + milliseconds(3), [this, index, epoch](Process& opening) {
                    if (opening.claim.isHeld() && !this->server.connect(index, epoch))
                        this->perform(index, opening, opening.claim.onEpochSuperseded(epoch, this->localNow(opening)));
                });
                this->onStepReached(HomeStep::Refilling, index);
            }
            if (this->server.connections.size() == this->split.pooled)
                this->onStepReached(HomeStep::PoolFilled, index);
        }

        void onStepReached(HomeStep reached, uint32_t index)
        {
            if (reached != this->step || this->faultsLeft == 0)
                return;
            --this->faultsLeft;
            this->injectFault(index, this->fault);
        }

        std::vector<std::unique_ptr<Process>> processes;
        std::map<std::pair<Duration, uint64_t>, Event> events;
        uint64_t lastEvent = 0;
        Duration now { 0 };
        Duration repliesLostUntil { 0 };
        uint32_t addedVmCount = 0;
        HomeFault fault = HomeFault::Crashes;
        HomeStep step = HomeStep::PoolFilled;
    };

}

class HomeFaultTest : public testing::TestWithParam<std::tuple<HomeFault, HomeStep>> { };

// Guards against more connections than the cap while VMs crash, pause, leave or start, and against a server that stays without a
// home. The first home crashes or pauses, then the fault is injected at the VM that takes over, once or twice.
TEST_P(HomeFaultTest, KeepsConnectionCapAndFindsHome)
{
    const auto [fault, step] = GetParam();
    for (const HomeFault first : { HomeFault::Crashes, HomeFault::Pauses }) {
        for (const int times : { 1, 2 }) {
            HomeFleet fleet;
            fleet.run(seconds(5));
            ASSERT_NE(fleet.homeProcess(), UINT32_MAX);
            EXPECT_EQ(fleet.server.connections.size(), fleet.split.pooled);
            fleet.scheduleFaults(fault, step, times);
            fleet.injectFault(fleet.homeProcess(), first);
            fleet.run(seconds(22));
            EXPECT_LT(fleet.faultsLeft, times);
            EXPECT_EQ(fleet.server.peakConnections, fleet.split.pooled);
            EXPECT_NE(fleet.homeProcess(), UINT32_MAX);
            EXPECT_EQ(fleet.server.connections.size(), fleet.split.pooled);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(EveryFaultAtEveryStep, HomeFaultTest,
    testing::Combine(testing::Values(HomeFault::Crashes, HomeFault::Pauses, HomeFault::Leaves, HomeFault::RestartsAtOnce,
                         HomeFault::RepliesLost, HomeFault::AnotherVmStarts),
        testing::Values(HomeStep::Reading, HomeStep::Claiming, HomeStep::ClaimAnswered, HomeStep::Refilling, HomeStep::PoolFilled)));

// Guards against a VM that repeatedly crashes and restarts and moves the home each time, and against a slow takeover.
TEST(HomePlacementTest, FlappingVmMovesNoHomes)
{
    HomeFleet fleet;
    fleet.run(seconds(5));
    const uint32_t first = fleet.homeProcess();
    const uint64_t epoch = fleet.server.epoch;
    fleet.injectFault(first, HomeFault::Crashes);
    fleet.run(milliseconds(6500));
    EXPECT_EQ(fleet.server.connections.size(), fleet.split.pooled);
    // The first home restarts repeatedly and never stays alive for two seconds.
    for (int round = 0; round < 6; ++round) {
        fleet.injectFault(first, HomeFault::RestartsAtOnce);
        fleet.run(milliseconds(8000 + 1500 * round));
    }
    EXPECT_EQ(fleet.server.epoch, epoch + 1);
}

}

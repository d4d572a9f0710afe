#include "foxtailtrail/scheduling/FairQueue.h"
#include "foxtailtrail/scheduling/FifoQueue.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <random>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    constexpr TimePoint start { std::chrono::seconds(50) };

    // The load of one organisation: arrivals per second, and how long each statement runs.
    struct Load {
        std::string organisation;
        double rate = 0;
        Duration cost { 0 };
        Duration deadline = milliseconds(1000);
    };

    struct ServiceStatistics {
        size_t offered = 0;
        std::vector<Duration> waits;

        double servedShare() const { return static_cast<double>(this->waits.size()) / static_cast<double>(this->offered); }
        Duration p99()
        {
            std::sort(this->waits.begin(), this->waits.end());
            return this->waits.at(this->waits.size() * 99 / 100);
        }
    };

    // A backend server whose slots run statements of fixed lengths, in virtual time.
    class ServerSimulation {
    public:
        ServerSimulation(QueueStrategy& strategy, uint32_t slotCount, std::vector<Load> offeredLoads)
            : queue(strategy)
            , slots(slotCount)
            , loads(std::move(offeredLoads))
        {
        }

        void run(Duration length)
        {
            for (size_t index = 0; index < this->loads.size(); ++index) {
                Duration time = this->nextArrivalGap(index);
                for (; time < length; time += this->nextArrivalGap(index))
                    this->events.emplace(start + time, [this, index] { this->arrive(index); });
            }
            while (!this->events.empty()) {
                this->now = this->events.begin()->first;
                const auto work = std::move(this->events.begin()->second);
                this->events.erase(this->events.begin());
                work();
                this->fillSlots();
            }
        }

        std::map<std::string, ServiceStatistics> statistics;
        // The number of events after which a slot was free although an entry waited.
        size_t idleSlots = 0;

    private:
        struct Pending {
            size_t load = 0;
            TimePoint arrivedAt;
        };

        Duration nextArrivalGap(size_t index)
        {
            const double random = static_cast<double>(this->generator() >> 11) / 9007199254740992.0;
            return Duration(1 + static_cast<int64_t>(-std::log(1 - random) * 1e6 / this->loads[index].rate));
        }

        void arrive(size_t index)
        {
            const Load& load = this->loads[index];
            const QueueEntryId id { ++this->lastId };
            ++this->statistics[load.organisation].offered;
            if (this->queue.push({ id, OrganisationId(load.organisation), this->now + load.deadline, {} }, this->now))
                this->pending[id] = { index, this->now };
        }

        void fillSlots()
        {
            while (true) {
                const DispatchResult result = this->queue.dispatch(this->now);
                for (const QueueEntry& entry : result.shed)
                    this->pending.erase(entry.id);
                if (!result.run)
                    break;
                this->startStatement(*result.run);
            }
            this->idleSlots += this->queue.waitingCount() > 0 && this->queue.runningCount() < this->slots ? 1 : 0;
        }

        void startStatement(const QueueEntry& entry)
        {
            const Pending request = this->pending.at(entry.id);
            this->pending.erase(entry.id);
            const Load& load = this->loads[request.load];
            this->statistics[load.organisation].waits.push_back(this->now - request.arrivedAt);
            this->events.emplace(
                this->now + load.cost, [this, id = entry.id, cost = load.cost] { this->queue.releaseSlot(id, cost, this->now); });
        }

        QueueStrategy& queue;
        uint32_t slots;
        std::vector<Load> loads;
        std::multimap<TimePoint, std::function<void()>> events;
        std::map<QueueEntryId, Pending> pending;
        TimePoint now = start;
        uint64_t lastId = 0;
        std::mt19937_64 generator { 20261204 };
    };

    std::unique_ptr<QueueStrategy> makeQueue(uint32_t slots) { return std::make_unique<FairQueue>(FairQueueSettings { .slots = slots }); }

}

class NeighbourTest : public testing::TestWithParam<uint32_t> { };

// Guards against an organisation at five times its rate that takes the slots and the queue of one within its rate.
TEST_P(NeighbourTest, ServesOrganisationWithinItsRateBesideOneAtFiveTimesItsRate)
{
    const uint32_t slots = GetParam();
    const double ratePerSecond = 100.0 * slots / 2;
    const auto queue = makeQueue(slots);
    ServerSimulation server(
        *queue, slots, { { "north", ratePerSecond, milliseconds(5) }, { "south", 5 * ratePerSecond, milliseconds(5) } });
    server.run(std::chrono::seconds(60));
    EXPECT_GE(server.statistics["north"].servedShare(), 0.99);
    EXPECT_LT(server.statistics["north"].p99(), milliseconds(100));
    EXPECT_EQ(server.idleSlots, 0U);
}

// Guards against a few slow statements of other organisations that hold all slots.
TEST_P(NeighbourTest, SlowStatementsOfOthersLeaveSlot)
{
    const uint32_t slots = GetParam();
    const auto queue = makeQueue(slots);
    ServerSimulation server(*queue, slots,
        { { "north", 50, milliseconds(5) }, { "south", 4, milliseconds(400), std::chrono::seconds(10) },
            { "east", 4, milliseconds(700), std::chrono::seconds(10) } });
    server.run(std::chrono::seconds(120));
    EXPECT_GE(server.statistics["north"].servedShare(), 0.99);
    EXPECT_LT(server.statistics["north"].p99(), milliseconds(100));
    EXPECT_GT(server.statistics["south"].waits.size(), 50U);
    EXPECT_GT(server.statistics["east"].waits.size(), 50U);
}

INSTANTIATE_TEST_SUITE_P(Slots, NeighbourTest, testing::Values(2, 3));

// Guards against a statement of unknown cost that takes the last slot while another one of its organisation runs long.
TEST(FairQueueTest, LongRunningStatementMakesNextOnesSlow)
{
    FairQueue queue({ .slots = 2 });
    const TimePoint deadline = start + std::chrono::seconds(5);
    const TimePoint later = start + milliseconds(25);
    ASSERT_TRUE(queue.push({ QueueEntryId { 1 }, OrganisationId("south"), deadline, {} }, start));
    ASSERT_TRUE(queue.dispatch(start).run);
    ASSERT_TRUE(queue.push({ QueueEntryId { 2 }, OrganisationId("south"), deadline, {} }, later));
    EXPECT_FALSE(queue.dispatch(later).run);
    ASSERT_TRUE(queue.push({ QueueEntryId { 3 }, OrganisationId("north"), deadline, {} }, later));
    EXPECT_EQ(queue.dispatch(later).run->id.value, 3U);
    queue.releaseSlot({ 3 }, milliseconds(5), later);
    queue.releaseSlot({ 1 }, milliseconds(30), later);
    EXPECT_TRUE(queue.dispatch(later).run);
}

// Guards against slow statements of several organisations that together leave too few slots for the load of the others.
TEST(FairQueueTest, SlowStatementsHoldAtMostHalfOfSlots)
{
    for (const auto& [slots, allowed] : { std::pair(1U, 1U), std::pair(2U, 1U), std::pair(3U, 1U), std::pair(6U, 3U) }) {
        FairQueue queue({ .slots = slots });
        for (uint64_t id = 1; id <= slots; ++id) {
            const OrganisationId organisation("slow" + std::to_string(id));
            ASSERT_TRUE(queue.push({ QueueEntryId { id }, organisation, start + std::chrono::seconds(5), milliseconds(26) }, start));
        }
        while (queue.dispatch(start).run) { }
        EXPECT_EQ(queue.runningCount(), allowed) << slots;
    }
}

// Guards against a check that is too weak to fail: the baseline must not pass it.
TEST(FifoQueueTest, LetsOneOrganisationStarveAnother)
{
    FifoQueue queue(3, 256);
    ServerSimulation server(queue, 3, { { "north", 150, milliseconds(5) }, { "south", 750, milliseconds(5) } });
    server.run(std::chrono::seconds(20));
    EXPECT_LT(server.statistics["north"].servedShare(), 0.9);
    EXPECT_GT(server.statistics["north"].p99(), milliseconds(100));
}

// Guards against an idle organisation that loses its debt, entries that run after their deadline, and an unbounded queue.
TEST(FairQueueTest, EnforcesBoundsDeadlinesAndDebt)
{
    FairQueue queue({ .slots = 1, .maxLength = 8 });
    uint64_t id = 0;
    TimePoint now = start;
    const auto push = [&](const char* organisation, int deadline) {
        return queue.push({ QueueEntryId { ++id }, OrganisationId(organisation), start + milliseconds(deadline), {} }, now).has_value();
    };
    for (int count = 0; count < 4; ++count)
        EXPECT_TRUE(push("north", 10 + count));
    EXPECT_FALSE(push("north", 100));
    for (int count = 0; count < 4; ++count)
        EXPECT_TRUE(push("south", 100));
    EXPECT_FALSE(push("east", 100));
    const DispatchResult result = queue.dispatch(start + milliseconds(11));
    EXPECT_EQ(result.shed.size(), 2U);
    ASSERT_TRUE(result.run);
    EXPECT_EQ(result.run->id.value, 3U);
    EXPECT_FALSE(queue.dispatch(start + milliseconds(11)).run);
    EXPECT_FALSE(queue.cancel(result.run->id));
    EXPECT_TRUE(queue.cancel(QueueEntryId { 4 }));
    now = start + milliseconds(61);
    queue.releaseSlot(result.run->id, milliseconds(50), now);
    // An average cost of 50 ms leaves no time for a deadline that is only one statement away.
    ASSERT_TRUE(push("north", 200));
    EXPECT_FALSE(push("north", 100));
    // The four entries of "south" make up for the slot time that "north" used beyond its estimate.
    for (int dispatchNumber = 1; dispatchNumber <= 5; ++dispatchNumber) {
        now += milliseconds(1);
        const DispatchResult next = queue.dispatch(now);
        ASSERT_TRUE(next.run);
        EXPECT_EQ(next.run->organisation.value, dispatchNumber <= 4 ? "south" : "north") << dispatchNumber;
        queue.releaseSlot(next.run->id, milliseconds(5), now);
    }
}

}

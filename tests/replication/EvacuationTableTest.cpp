#include "foxtailtrail/replication/EvacuationTable.h"
#include "foxtailtrail/replication/PlacementRule.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    constexpr Duration settling = std::chrono::milliseconds(1250);
    const DataCentre north("north");
    const DataCentre south("south");

    EvacuationRow row(const DataCentre& dataCentre, uint64_t number, bool isRemoved = false, uint64_t era = 1)
    {
        return { dataCentre, { era, number }, isRemoved };
    }

    class EvacuationTableTest : public testing::Test {
    protected:
        EvacuationTable table { settling };
        TimePoint now { std::chrono::hours(1) };
    };

    // Guards against statements that reach a server of an evacuated data centre after the bound, and against aborting those that could end.
    TEST_F(EvacuationTableTest, IsInForceAfterTheSettlingPeriod)
    {
        this->table.applyChanges({ row(north, 5) }, { 1, 6 }, this->now);
        EXPECT_TRUE(this->table.isEvacuated(north));
        EXPECT_FALSE(this->table.isEvacuated(south));
        EXPECT_FALSE(this->table.isInForce(north, this->now + settling - Duration(1)));
        EXPECT_TRUE(this->table.isInForce(north, this->now + settling));
        // Later changes elsewhere do not begin a new period.
        this->table.applyChanges({ row(south, 8), row(north, 9) }, { 1, 9 }, this->now + settling);
        EXPECT_TRUE(this->table.isInForce(north, this->now + settling));
        EXPECT_FALSE(this->table.isInForce(south, this->now + settling));
        EXPECT_EQ(this->table.state().dataCentres.size(), 2U);
    }

    // Guards against a data centre that stays unused after the evacuation was taken back, and against one that is used at once when it is
    // asked for again.
    TEST_F(EvacuationTableTest, IsTakenBackAndAskedForAgain)
    {
        this->table.applyChanges({ row(north, 5) }, { 1, 5 }, this->now);
        this->table.applyChanges({ row(north, 7, true) }, { 1, 7 }, this->now + settling);
        EXPECT_FALSE(this->table.isInForce(north, this->now + settling));
        EXPECT_EQ(this->table.changedAt(), (StoreVersion { 1, 7 }));
        this->table.applyChanges({ row(north, 8) }, { 1, 8 }, this->now + 2 * settling);
        EXPECT_TRUE(this->table.isEvacuated(north));
        EXPECT_FALSE(this->table.isInForce(north, this->now + 2 * settling));
        EXPECT_TRUE(this->table.isInForce(north, this->now + 3 * settling));
    }

    // Guards against rows that a VM receives late, from the store after an outage or from a VM that reads for it, and that undo what a
    // peer has told it meanwhile.
    TEST_F(EvacuationTableTest, NothingOlderReplacesNewer)
    {
        this->table.applyChanges({ row(north, 5) }, { 1, 5 }, this->now);
        EXPECT_TRUE(this->table.applyState({ { 1, 9 }, { south } }, this->now));
        EXPECT_FALSE(this->table.isEvacuated(north));
        EXPECT_TRUE(this->table.isEvacuated(south));
        EXPECT_FALSE(this->table.applyState({ { 1, 9 }, {} }, this->now));
        EXPECT_FALSE(this->table.applyState({ { 1, 4 }, { north } }, this->now));
        // The feed goes on from where it had ended.
        this->table.applyChanges({ row(south, 6, true), row(north, 7) }, { 1, 8 }, this->now);
        EXPECT_TRUE(this->table.isEvacuated(south));
        EXPECT_FALSE(this->table.isEvacuated(north));
        EXPECT_EQ(this->table.knownAsOf(), (StoreVersion { 1, 9 }));
        this->table.applyList({}, { 1, 8 }, this->now);
        EXPECT_TRUE(this->table.isEvacuated(south));
        this->table.applyChanges({ row(south, 10, true) }, { 1, 12 }, this->now);
        EXPECT_TRUE(this->table.isEmpty());
    }

    // Guards against evacuations of a store that was restored from an older copy: its numbers begin anew, and its list holds what counts.
    TEST_F(EvacuationTableTest, ListOfALaterEraReplacesTheSet)
    {
        this->table.applyChanges({ row(north, 50) }, { 1, 60 }, this->now);
        this->table.applyList({ row(south, 20, false, 2) }, { 2, 30 }, this->now);
        EXPECT_FALSE(this->table.isEvacuated(north));
        EXPECT_TRUE(this->table.isEvacuated(south));
        EXPECT_EQ(this->table.changedAt(), (StoreVersion { 2, 30 }));
        // A peer that still follows the old era.
        EXPECT_FALSE(this->table.applyState({ { 1, 70 }, { north } }, this->now));
        this->table.applyChanges({ row(north, 70) }, { 1, 70 }, this->now);
        EXPECT_FALSE(this->table.isEvacuated(north));
        // What stays asked for keeps its time.
        this->table.applyList({ row(south, 20, false, 3) }, { 3, 31 }, this->now + settling);
        EXPECT_TRUE(this->table.isInForce(south, this->now + settling));
    }

    // Guards against VMs that ask each other for evacuations although nothing has changed.
    TEST_F(EvacuationTableTest, AnnouncesTheLastChangeOnly)
    {
        this->table.applyList({}, { 1, 40 }, this->now);
        EXPECT_EQ(this->table.changedAt(), StoreVersion {});
        this->table.applyList({ row(north, 12) }, { 1, 41 }, this->now);
        EXPECT_EQ(this->table.changedAt(), (StoreVersion { 1, 12 }));
        this->table.applyChanges({}, { 1, 60 }, this->now);
        EXPECT_EQ(this->table.changedAt(), (StoreVersion { 1, 12 }));
        EXPECT_EQ(this->table.knownAsOf(), (StoreVersion { 1, 60 }));
    }

    // Guards against statements outside their homes: those of the route and those of the organisation bind together.
    TEST_F(EvacuationTableTest, PlacementRuleKeepsStatementsInTheirHomes)
    {
        const PlacementRule rule({ { "north", "upper" }, { "south", "lower" } });
        const auto place
            = [&](const DataCentre& dataCentre, const Homes& homes) { return rule.serverIn(dataCentre, homes, this->table, this->now); };
        const Region upper("upper");
        const Region lower("lower");
        EXPECT_EQ(place(north, Homes()), Placement::Allowed);
        EXPECT_EQ(place(north, Homes({ upper }, {})), Placement::Allowed);
        EXPECT_EQ(place(south, Homes({ upper }, {})), Placement::OutsideHomes);
        EXPECT_EQ(place(south, Homes({}, { upper })), Placement::OutsideHomes);
        EXPECT_EQ(place(south, Homes({ upper, lower }, { lower })), Placement::Allowed);
        EXPECT_EQ(place(north, Homes({ upper }, { lower })), Placement::OutsideHomes);
        EXPECT_EQ(place(south, Homes({ upper }, { lower })), Placement::OutsideHomes);
        EXPECT_EQ(place(DataCentre("elsewhere"), Homes({ upper }, {})), Placement::OutsideHomes);
        EXPECT_EQ(place(DataCentre("elsewhere"), Homes()), Placement::Allowed);
        this->table.applyChanges({ row(north, 5) }, { 1, 5 }, this->now);
        EXPECT_EQ(place(north, Homes({ upper }, {})), Placement::Evacuating);
        this->now += settling;
        EXPECT_EQ(place(north, Homes()), Placement::Evacuated);
    }

}

}

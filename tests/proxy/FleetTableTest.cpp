#include "foxtailtrail/proxy/FleetTable.h"
#include "foxtailtrail/proxy/FleetRows.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    TimePoint at(int64_t ms) { return TimePoint(std::chrono::milliseconds(ms)); }

    PeerEntry vm(const std::string& id)
    {
        PeerEntry entry;
        entry.id = VmId(id);
        entry.configurationEndpoint = { "127.0.0.1", 1 };
        entry.dataCentre = DataCentre("a");
        return entry;
    }

    PrimaryRecord primary(const std::string& service, uint64_t term)
    {
        return { ServiceName(service), Term { term }, BackendServerId("b" + std::to_string(term)), true };
    }

    TableRow row(const PeerEntry& entry, const StoreVersion& version) { return { vmRowKey(entry.id), encodePeer(entry), version, false }; }

    TableRow row(const PrimaryRecord& record, const StoreVersion& version)
    {
        return { primaryRowKey(record.service), encodePrimary(record), version, false };
    }

    RowSet rowSet(const StoreVersion& version, std::vector<TableRow> rows)
    {
        RowSet set;
        set.version = version;
        set.rows = std::move(rows);
        return set;
    }

    // Guards against a decision whose predecessor is lost on the way to the next holder of the promotion lock, and against records of an
    // earlier version of the program that cannot be read.
    TEST(FleetRowsTest, KeepsPredecessorOfDecision)
    {
        PrimaryRecord decision = primary("s", 4);
        decision.isSettled = false;
        decision.predecessor = BackendServerId("b3");
        EXPECT_EQ(decodePrimary("leader/s", encodePrimary(decision)), decision);
        const PrimaryRecord settled = primary("s", 4);
        EXPECT_EQ(decodePrimary("leader/s", encodePrimary(settled)), settled);
        EXPECT_EQ(decodePrimary("leader/s", R"({"term":4,"server":"b4","settled":true})"), settled);
        EXPECT_FALSE(decodePrimary("leader/s", R"({"term":4,"server":"b4","settled":true,"predecessor":7})"));
    }

    // Guards against members of a group that are lost on the way to a VM that starts later.
    TEST(FleetRowsTest, KeepsMembersOfRecord)
    {
        PrimaryRecord record = primary("s", 4);
        record.members = { BackendServerId("b3"), BackendServerId("b4") };
        record.memberRevision = 7;
        EXPECT_EQ(decodePrimary("leader/s", encodePrimary(record)), record);
        EXPECT_FALSE(decodePrimary("leader/s", R"({"term":4,"server":"b4","settled":true,"members":["b3",7],"memberRevision":7})"));
        EXPECT_FALSE(decodePrimary("leader/s", R"({"term":4,"server":"b4","settled":true,"members":["b3"]})"));
    }

    // Guards against a start point that is lost or misread on the way to the next holder of the promotion lock.
    TEST(FleetRowsTest, KeepsStartPointOfRecord)
    {
        PrimaryRecord record = primary("s", 4);
        record.startPoint = LogPoint { Term { 3 }, Position { 212 } };
        EXPECT_EQ(decodePrimary("leader/s", encodePrimary(record)), record);
        EXPECT_FALSE(decodePrimary("leader/s", R"({"term":4,"server":"b4","settled":true,"startPoint":{"term":3}})"));
        EXPECT_FALSE(decodePrimary("leader/s", R"({"term":4,"server":"b4","settled":true,"startPoint":3})"));
    }

    // Guards against a fleet that shrinks, for quotas and relays, because the store was restored from a copy that lacks some VMs.
    TEST(FleetTableTest, KeepsMembersThatARestoredTableLacksWhileTheyRegisterAgain)
    {
        FleetTable table;
        EXPECT_FALSE(
            table.apply(rowSet({ 1, 5 }, { row(vm("a"), { 1, 3 }), row(vm("b"), { 1, 4 }), row(vm("c"), { 1, 5 }) }), true, at(0)));
        EXPECT_TRUE(table.apply(rowSet({ 2, 3 }, { row(vm("a"), { 2, 3 }) }), true, at(1000)));
        EXPECT_EQ(table.members().size(), 3U);
        EXPECT_TRUE(table.isListed(vm("a")));
        EXPECT_FALSE(table.isListed(vm("b")));
        table.apply(rowSet({ 2, 4 }, { row(vm("b"), { 2, 4 }) }), false, at(2000));
        EXPECT_TRUE(table.isListed(vm("b")));
        // Reading the whole table again, as a promotion does, drops no member early.
        EXPECT_FALSE(table.apply(rowSet({ 2, 4 }, { row(vm("a"), { 2, 3 }), row(vm("b"), { 2, 4 }) }), true, at(3000)));
        EXPECT_FALSE(table.expire(at(8999)));
        EXPECT_EQ(table.members().size(), 3U);
        EXPECT_TRUE(table.expire(at(9000)));
        EXPECT_EQ(table.members().size(), 2U);
        // Within an era, a member that the table lacks is gone.
        table.apply(rowSet({ 2, 6 }, { row(vm("a"), { 2, 3 }) }), true, at(10'000));
        EXPECT_EQ(table.members().size(), 1U);
    }

    // Guards against a lost record of a promotion: a VM that starts later would take the old primary for the current one.
    TEST(FleetTableTest, FindsRecordsThatARestoredTableLacksOrHoldsInAnOlderForm)
    {
        FleetTable table;
        table.apply(rowSet({ 2, 9 }, { row(primary("s1", 2), { 2, 7 }), row(primary("s2", 4), { 2, 8 }) }), true, at(0));
        const auto missing = table.missingRecords({ primary("s1", 3), primary("s2", 4), primary("s3", 1) });
        ASSERT_EQ(missing.size(), 2U);
        EXPECT_EQ(missing[0].first, primary("s1", 3));
        EXPECT_EQ(missing[0].second, (StoreVersion { 2, 7 }));
        EXPECT_EQ(missing[1].first, primary("s3", 1));
        EXPECT_EQ(missing[1].second, (StoreVersion { 2, 0 }));
        table.apply(rowSet({ 2, 10 }, { row(primary("s1", 3), { 2, 10 }) }), false, at(0));
        EXPECT_EQ(table.missingRecords({ primary("s1", 3) }).size(), 0U);
    }

}

}

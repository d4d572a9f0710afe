#include "foxtailtrail/failover/GroupMonitor.h"
#include "foxtailtrail/failover/Promotion.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    TimePoint at(int64_t count) { return TimePoint(milliseconds(count)); }

    BackendServerId server(int index) { return BackendServerId("s" + std::to_string(index)); }

    ServerStatus status(uint64_t promised, uint64_t logTerm, uint64_t position, ServerRole role, Duration contactAge = Duration(0))
    {
        return { Term { promised }, Term { logTerm }, Position { position }, role, contactAge, false };
    }

    // Returns a promotion out of term 5 whose servers 1 and 2 have been fenced in term 6. Server 1 has the longer log.
    Promotion fencedPromotion()
    {
        Promotion promotion("vm1/1");
        promotion.start({ { { server(0) }, { server(1) }, { server(2) } }, Term { 5 }, {}, {}, 0 }, at(0));
        for (int index = 1; index <= 2; ++index) {
            const auto fenced = status(6, 5, static_cast<uint64_t>(11 - index), ServerRole::Fenced);
            promotion.handle(CommandReply { PromotionCommand::Fence, server(index), Term { 6 }, CommandOutcome::Done, fenced }, at(1));
        }
        return promotion;
    }

}

// Guards against two primaries in a term. The chosen server may have been promoted although its reply was lost, so the
// promoter must not choose another one without a higher term.
TEST(PromotionTest, ReplacesSilentSuccessorInHigherTermOnly)
{
    Promotion promotion = fencedPromotion();
    ASSERT_EQ(promotion.phase(), PromotionPhase::Promoting);
    promotion.handle(CommandReply { PromotionCommand::Promote, server(1), Term { 6 }, CommandOutcome::NoReply, {} }, at(201));
    const auto effects = promotion.handle(TimeReached {}, at(502));
    EXPECT_EQ(promotion.phase(), PromotionPhase::Fencing);
    for (const auto& effect : effects)
        EXPECT_TRUE(!std::holds_alternative<FenceServer>(effect) || std::get<FenceServer>(effect).term == Term { 7 });
}

// Guards against a refused promotion that is taken for a completed one, and against a completed promotion that is missed
// because its reply was lost.
TEST(PromotionTest, ReportsPrimaryOnlyWithProof)
{
    Promotion promotion = fencedPromotion();
    promotion.handle(CommandReply { PromotionCommand::Promote, server(1), Term { 6 }, CommandOutcome::Refused, {} }, at(2));
    EXPECT_EQ(promotion.primary(), std::nullopt);
    promotion.handle(StatusReply { server(1), status(6, 5, 10, ServerRole::Fenced) }, at(3));
    EXPECT_EQ(promotion.primary(), std::nullopt);
    promotion.handle(StatusReply { server(1), status(6, 6, 10, ServerRole::Primary) }, at(4));
    EXPECT_EQ(promotion.primary(), server(1));
}

// Guards against a VM that was paused and attributes its own silence to the primary.
TEST(GroupMonitorTest, IgnoresSingleFailureAfterPauseOfVm)
{
    auto monitor = GroupMonitor::create(
        { DatabaseId("db"), DataCentre("dc"), { { server(0), {} }, { server(1), {} }, { server(2), {} } },
            {} }).value();
    const auto probe = [&](int index, int64_t sent, int64_t received, std::optional<ServerStatus> answer) {
        monitor.onProbe({ server(index), at(sent), at(received), answer });
    };
    probe(0, 0, 1, status(1, 1, 5, ServerRole::Primary));
    probe(0, 100, 5000, std::nullopt);
    for (int index = 1; index <= 2; ++index)
        probe(index, 4999, 5000, status(1, 1, 5, ServerRole::Replica, milliseconds(600)));
    EXPECT_FALSE(monitor.duePromotion(at(5001)).has_value());
    probe(0, 5000, 5200, std::nullopt);
    ASSERT_TRUE(monitor.duePromotion(at(5201)).has_value());
    EXPECT_EQ(monitor.duePromotion(at(5201))->cause, PromotionCause::PrimarySilent);
}

}

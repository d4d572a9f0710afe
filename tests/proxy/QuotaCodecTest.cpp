#include "foxtailtrail/proxy/QuotaCodec.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    // Guards against fields that are exchanged or lost on the way.
    TEST(QuotaCodecTest, KeepsRequestsAndGrants)
    {
        const QuotaRequest request { OrganisationId("north"), { { 2, milliseconds(150), milliseconds(40), 3 } }, 1.5, 2, 7.25 };
        const QuotaRequest decodedRequest = decodeQuotaRequests(encodeQuotaRequests({ request })).at(0);
        EXPECT_EQ(decodedRequest.organisation, request.organisation);
        ASSERT_EQ(decodedRequest.waiting.size(), 1U);
        EXPECT_EQ(decodedRequest.waiting[0].priority, 2U);
        EXPECT_EQ(decodedRequest.waiting[0].timeLeft, milliseconds(150));
        EXPECT_EQ(decodedRequest.waiting[0].waited, milliseconds(40));
        EXPECT_EQ(decodedRequest.waiting[0].count, 3U);
        EXPECT_EQ(decodedRequest.expected, 1.5);
        EXPECT_EQ(decodedRequest.unused, 2);
        EXPECT_EQ(decodedRequest.demandPerSecond, 7.25);
        const QuotaGrant grant { OrganisationId("north"), 4, 1, { { 0, milliseconds(10) }, { 3, milliseconds(900) } }, 12.5 };
        const QuotaGrant decodedGrant = decodeQuotaGrants(encodeQuotaGrants({ grant })).at(0);
        EXPECT_EQ(decodedGrant.tokens, 4);
        EXPECT_EQ(decodedGrant.oldestFirst, 1U);
        ASSERT_EQ(decodedGrant.line.size(), 2U);
        EXPECT_EQ(decodedGrant.line[1].priority, 3U);
        EXPECT_EQ(decodedGrant.line[1].delay, milliseconds(900));
        EXPECT_EQ(decodedGrant.expectedRate, 12.5);
    }

    // Guards against a datagram that is too large while many operations of all 190 organisations wait.
    TEST(QuotaCodecTest, RequestOfManyOrganisationsFitsOneDatagram)
    {
        std::vector<QuotaRequest> requests;
        for (int index = 0; index < 190; ++index) {
            QuotaRequest request { OrganisationId("organisation-" + std::to_string(1000 + index)), {}, 123.45, 12, 1234.56 };
            for (uint32_t claim = 0; claim < 12; ++claim)
                request.waiting.push_back({ claim, milliseconds(60'000), milliseconds(60'000), 1000 });
            requests.push_back(std::move(request));
        }
        EXPECT_LT(json::serialize(encodeQuotaRequests(requests)).size(), 60'000U);
    }

}

}

#include "foxtailtrail/base/ErrorKind.h"
#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/base/Json.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <vector>

namespace foxtail {

// Guards against an error kind whose name does not lead back to it, which would turn a peer's error into Internal.
TEST(ErrorKindTest, EveryNameLeadsBackToItsKind)
{
    for (int index = 0; index <= static_cast<int>(ErrorKind::Internal); ++index) {
        const auto kind = static_cast<ErrorKind>(index);
        EXPECT_EQ(errorKindByName(errorKindProperties(kind).name), kind);
    }
    EXPECT_EQ(errorKindByName("NoSuchKind"), std::nullopt);
}

// Guards against a wrong digest of keys; the value is the test vector of FIPS 180-2.
TEST(HashTest, Sha256MatchesThePublishedVector)
{
    EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against tokens that do not survive the trip through a header.
TEST(HashTest, Base64UrlRestoresEveryLength)
{
    std::string bytes;
    for (int length = 0; length < 70; ++length) {
        std::string decoded;
        ASSERT_TRUE(base64UrlDecode(base64UrlEncode(bytes), decoded));
        EXPECT_EQ(decoded, bytes);
        bytes.push_back(static_cast<char>(length * 37));
    }
    std::string decoded;
    EXPECT_FALSE(base64UrlDecode("ab*d", decoded));
    EXPECT_FALSE(base64UrlDecode("A", decoded));
}

// Guards against placement that moves more keys than those of the member that left.
TEST(HashTest, RendezvousMovesOnlyTheKeysOfTheLostMember)
{
    const std::vector<std::string> members { "vm1", "vm2", "vm3", "vm4" };
    const auto owner = [](const std::string& key, const std::vector<std::string>& candidates) {
        return *std::max_element(candidates.begin(), candidates.end(),
            [&](const auto& left, const auto& right) { return rendezvousScore(key, left) < rendezvousScore(key, right); });
    };
    std::map<std::string, int> counts;
    for (int index = 0; index < 4000; ++index) {
        const std::string key = "database" + std::to_string(index);
        const std::string before = owner(key, members);
        ++counts[before];
        if (before != "vm4") {
            EXPECT_EQ(owner(key, { "vm1", "vm2", "vm3" }), before);
        }
    }
    // A fair split gives each of four members about 1000 keys.
    for (const auto& [member, count] : counts)
        EXPECT_NEAR(count, 1000, 150) << member;
}

// Guards against input that ends the process or passes for a whole value.
TEST(JsonTest, FaultsAreErrorsWithThePlace)
{
    for (const char* text : { "", "{", "{\"a\":1} x", "[1,]", "nul", "\"\\u12\"" })
        EXPECT_FALSE(parseJson(text).has_value()) << text;
    const std::string deep(100000, '[');
    EXPECT_FALSE(parseJson(deep).has_value());
    EXPECT_TRUE(parseJsonObject("{\"a\":1}").has_value());
    EXPECT_FALSE(parseJsonObject("[1]").has_value());
}

}

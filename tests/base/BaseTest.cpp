#include "foxtailtrail/base/ErrorKind.h"
#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/base/Json.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <vector>

namespace foxtail {

// Guards against an error kind that errorKindByName does not find, which would turn an error received from a peer into Internal.
TEST(ErrorKindTest, FindsEachKindByItsName)
{
    for (int index = 0; index <= static_cast<int>(ErrorKind::Internal); ++index) {
        const auto kind = static_cast<ErrorKind>(index);
        EXPECT_EQ(errorKindByName(errorKindProperties(kind).name), kind);
    }
    EXPECT_EQ(errorKindByName("NoSuchKind"), std::nullopt);
}

// Guards against wrong digests of keys. The value is the test vector of FIPS 180-2.
TEST(HashTest, Sha256MatchesFipsTestVector)
{
    EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against consistency tokens that change when they are encoded into a header and decoded again, and against accepting invalid text.
TEST(HashTest, Base64UrlRestoresAllLengthsAndRejectsInvalidText)
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

// Guards against a placement that is uneven, or in which the removal of a member also moves keys of the remaining members.
TEST(HashTest, RendezvousSpreadsKeysEvenlyAndMovesOnlyKeysOfRemovedMember)
{
    const std::vector<std::string> members { "vm1", "vm2", "vm3", "vm4" };
    const auto ownerOf = [](const std::string& key, const std::vector<std::string>& candidates) {
        return *std::max_element(candidates.begin(), candidates.end(),
            [&](const auto& left, const auto& right) { return rendezvousScore(key, left) < rendezvousScore(key, right); });
    };
    std::map<std::string, int> keyCounts;
    for (int index = 0; index < 4000; ++index) {
        const std::string key = "database" + std::to_string(index);
        const std::string before = ownerOf(key, members);
        ++keyCounts[before];
        if (before != "vm4") {
            EXPECT_EQ(ownerOf(key, { "vm1", "vm2", "vm3" }), before);
        }
    }
    // An even distribution of 4000 keys gives each of the four members about 1000.
    for (const auto& [member, keyCount] : keyCounts)
        EXPECT_NEAR(keyCount, 1000, 150) << member;
}

// Guards against invalid input that terminates the process or is accepted as a complete value.
TEST(JsonTest, ReportsErrorForInvalidJson)
{
    for (const char* text : { "", "{", "{\"a\":1} x", "[1,]", "nul", "\"\\u12\"" })
        EXPECT_FALSE(parseJson(text).has_value()) << text;
    const std::string deeplyNested(100000, '[');
    EXPECT_FALSE(parseJson(deeplyNested).has_value());
    EXPECT_TRUE(parseJsonObject("{\"a\":1}").has_value());
    EXPECT_FALSE(parseJsonObject("[1]").has_value());
}

}

#include "tests/config/SampleConfiguration.h"

#include "foxtailtrail/base/Hash.h"

#include <functional>
#include <gtest/gtest.h>
#include <random>

namespace foxtail {

// Guards against a member that is lost or changed when the document is serialized and parsed.
TEST(ConfigurationTest, RoundTripsThroughJson)
{
    const std::string text = serializeConfiguration(sampleConfiguration());
    const Result<Configuration> parsed = parseConfiguration(text);
    ASSERT_TRUE(parsed.has_value()) << parsed.error().detail;
    EXPECT_EQ(serializeConfiguration(parsed.value()), text);
    EXPECT_EQ(parsed.value().limitShards.at(7).epoch, 3U);
    EXPECT_TRUE(parsed.value().databases.at(DatabaseId("bookings")).servers.at(1).draining);
}

struct InvalidDocument {
    const char* name;
    // The text that the error's detail must contain.
    const char* expectedDetail;
    std::function<void(Configuration&)> damage;
};

class InvalidConfigurationTest : public testing::TestWithParam<InvalidDocument> { };

// Guards against a VM that installs a document with dangling references or values out of range.
TEST_P(InvalidConfigurationTest, RejectsDocumentAndReportsMember)
{
    Configuration damaged = sampleConfiguration();
    GetParam().damage(damaged);
    const Result<Configuration> parsed = parseConfiguration(serializeConfiguration(damaged));
    ASSERT_TRUE(parsed.has_error());
    EXPECT_EQ(parsed.error().kind, ErrorKind::MalformedRequest);
    EXPECT_NE(parsed.error().detail.find(GetParam().expectedDetail), std::string::npos) << parsed.error().detail;
}

Database& bookings(Configuration& configuration) { return configuration.databases.at(DatabaseId("bookings")); }
Service& service(Configuration& configuration, const char* name) { return configuration.services.at(ServiceName(name)); }
Organisation& wattle(Configuration& configuration) { return configuration.organisations.at(OrganisationId("wattle")); }

INSTANTIATE_TEST_SUITE_P(InvalidDocuments, InvalidConfigurationTest,
    testing::Values(InvalidDocument { "version", "version", [](auto& c) { c.version = 0; } },
        InvalidDocument { "secret", "fleetSecret", [](auto& c) { c.fleetSecret = "short"; } },
        InvalidDocument { "author", "author", [](auto& c) { c.author = "a b"; } },
        InvalidDocument { "rate", "wattle: rate", [](auto& c) { wattle(c).rate = 0; } },
        InvalidDocument { "burst", "wattle: burst", [](auto& c) { wattle(c).burst = 0.5; } },
        InvalidDocument { "slots", "slots", [](auto& c) { bookings(c).slots = 0; } },
        InvalidDocument { "connections", "at least 12", [](auto& c) { bookings(c).maxConnections = 11; } },
        InvalidDocument { "address", "address", [](auto& c) { bookings(c).servers[0].address = "127.0.0"; } },
        InvalidDocument { "port", "port", [](auto& c) { bookings(c).servers[0].port = 0; } },
        InvalidDocument { "serverTwice", "twice", [](auto& c) { bookings(c).servers[1].id = BackendServerId("b1"); } },
        InvalidDocument { "organisationTwice", "used twice",
            [](auto& c) {
                c.organisations[OrganisationId("other")] = { OrganisationId("wattle"), 1, 1 };
            } },
        InvalidDocument {
            "serviceDatabase", "no database nowhere", [](auto& c) { service(c, "booking").database = DatabaseId("nowhere"); } },
        InvalidDocument {
            "serviceOrganisation", "no organisation x", [](auto& c) { service(c, "booking").organisations.emplace_back("x"); } },
        InvalidDocument { "openOrganisation", "no organisation", [](auto& c) { service(c, "info").openOrganisation = OrganisationId(); } },
        InvalidDocument {
            "keyOrganisation", "no organisation x", [](auto& c) { c.keys.at(KeyId("k1")).organisation = OrganisationId("x"); } },
        InvalidDocument { "digest", "digest", [](auto& c) { c.keys.at(KeyId("k1")).digest = "ftk_k1_secret"; } },
        InvalidDocument { "shard", "below 64",
            [](auto& c) {
                c.limitShards[64] = { VmId("vm1"), 1 };
            } },
        InvalidDocument { "sixWitnesses", "at most 5",
            [](auto& c) {
                c.witnesses.insert(c.witnesses.end(), 3, { VmId("v"), "127.0.0.1", 1 });
            } },
        InvalidDocument { "witnessTwice", "twice", [](auto& c) { c.witnesses[1].id = c.witnesses[0].id; } }),
    [](const auto& info) { return info.param.name; });

// Guards against a damaged text that terminates the process, or that parses to a document which is not valid.
TEST(ConfigurationTest, ParsesDamagedTextToErrorOrValidDocument)
{
    std::mt19937_64 random(20261204);
    const std::string text = serializeConfiguration(sampleConfiguration());
    for (int round = 0; round < 3000; ++round) {
        std::string damaged = text;
        for (int edit = 0; edit < 3; ++edit)
            damaged[random() % damaged.size()] = "{}[]\",:0a-"[random() % 10];
        const Result<Configuration> parsed = parseConfiguration(damaged);
        if (parsed.has_value()) {
            EXPECT_TRUE(parseConfiguration(serializeConfiguration(parsed.value())).has_value()) << damaged;
        }
    }
    EXPECT_TRUE(parseConfiguration("{\"version\":1}").has_error());
    EXPECT_TRUE(parseConfiguration(std::string(text).insert(1, "\"extra\":1,")).has_error());
}

// Guards against a key that grants access for another organisation, is accepted in part, or is accepted after its withdrawal.
TEST(KeyTableTest, AuthenticatesOnlyCompleteValidKey)
{
    Configuration configuration = sampleConfiguration();
    const std::string text = sampleKey().text;
    const KeyTable table(configuration);
    ASSERT_TRUE(table.authenticate(text).has_value());
    EXPECT_EQ(table.authenticate(text).value(), OrganisationId("wattle"));
    EXPECT_EQ(table.authenticate("").error().kind, ErrorKind::KeyMissing);
    const std::string digest = sampleKey().key.digest;
    for (const std::string& wrong : { text.substr(0, text.size() - 1), text + "A", std::string("ftk_k2_x"), std::string("ftk__"),
             std::string("ftk_k1_"), std::string("x"), digest, std::string(100000, 'f') })
        EXPECT_EQ(table.authenticate(wrong).error().kind, ErrorKind::KeyUnknown) << wrong.substr(0, 80);

    configuration.keys.at(KeyId("k1")).withdrawn = true;
    EXPECT_EQ(KeyTable(configuration).authenticate(text).error().kind, ErrorKind::KeyWithdrawn);
    EXPECT_EQ(KeyTable(configuration).authenticate("ftk_k1_guess").error().kind, ErrorKind::KeyUnknown);
}

// Guards against a key or its secret that appears in an error detail or in the document.
TEST(KeyTableTest, DoesNotExposeSecret)
{
    const std::string text = sampleKey().text;
    const std::string secret = text.substr(text.rfind('_') + 1);
    EXPECT_EQ(serializeConfiguration(sampleConfiguration()).find(secret), std::string::npos);
    const Result<OrganisationId> refused = KeyTable(sampleConfiguration()).authenticate(text + "x");
    EXPECT_EQ(refused.error().detail.find(secret.substr(0, 8)), std::string::npos);
}

}

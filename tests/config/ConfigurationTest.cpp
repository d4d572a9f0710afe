#include "tests/config/SampleConfiguration.h"

#include "foxtailtrail/base/Hash.h"

#include <functional>
#include <gtest/gtest.h>
#include <random>

namespace foxtail {

// Guards against a member that is lost or changed on the way through the store.
TEST(ConfigurationTest, SurvivesTheTripThroughItsText)
{
    const std::string text = serializeConfiguration(sampleConfiguration());
    const Result<Configuration> parsed = parseConfiguration(text);
    ASSERT_TRUE(parsed.has_value()) << parsed.error().detail;
    EXPECT_EQ(serializeConfiguration(parsed.value()), text);
    EXPECT_EQ(parsed.value().limitShards.at(7).epoch, 3U);
    EXPECT_TRUE(parsed.value().databases.at(DatabaseId("bookings")).servers.at(1).draining);
}

struct Fault {
    const char* name;
    // What the error must name.
    const char* expected;
    std::function<void(Configuration&)> damage;
};

class ConfigurationFaultTest : public testing::TestWithParam<Fault> { };

// Guards against a document that a VM installs although it refers to things that do not exist or are out of range.
TEST_P(ConfigurationFaultTest, IsRefusedWithItsPlace)
{
    Configuration damaged = sampleConfiguration();
    GetParam().damage(damaged);
    const Result<Configuration> parsed = parseConfiguration(serializeConfiguration(damaged));
    ASSERT_TRUE(parsed.has_error());
    EXPECT_EQ(parsed.error().kind, ErrorKind::MalformedRequest);
    EXPECT_NE(parsed.error().detail.find(GetParam().expected), std::string::npos) << parsed.error().detail;
}

Database& bookings(Configuration& configuration) { return configuration.databases.at(DatabaseId("bookings")); }
Service& service(Configuration& configuration, const char* name) { return configuration.services.at(ServiceName(name)); }
Organisation& wattle(Configuration& configuration) { return configuration.organisations.at(OrganisationId("wattle")); }

INSTANTIATE_TEST_SUITE_P(Faults, ConfigurationFaultTest,
    testing::Values(Fault { "version", "version", [](auto& c) { c.version = 0; } },
        Fault { "secret", "fleetSecret", [](auto& c) { c.fleetSecret = "short"; } },
        Fault { "author", "author", [](auto& c) { c.author = "a b"; } },
        Fault { "rate", "wattle: rate", [](auto& c) { wattle(c).rate = 0; } },
        Fault { "burst", "wattle: burst", [](auto& c) { wattle(c).burst = 0.5; } },
        Fault { "slots", "slots", [](auto& c) { bookings(c).slots = 0; } },
        Fault { "connections", "at least 12", [](auto& c) { bookings(c).maxConnections = 11; } },
        Fault { "address", "address", [](auto& c) { bookings(c).servers[0].address = "127.0.0"; } },
        Fault { "port", "port", [](auto& c) { bookings(c).servers[0].port = 0; } },
        Fault { "serverTwice", "twice", [](auto& c) { bookings(c).servers[1].id = BackendServerId("b1"); } },
        Fault { "organisationTwice", "used twice",
            [](auto& c) {
                c.organisations[OrganisationId("other")] = { OrganisationId("wattle"), 1, 1 };
            } },
        Fault { "serviceDatabase", "no database nowhere", [](auto& c) { service(c, "booking").database = DatabaseId("nowhere"); } },
        Fault { "serviceOrganisation", "no organisation x", [](auto& c) { service(c, "booking").organisations.emplace_back("x"); } },
        Fault { "openOrganisation", "no organisation", [](auto& c) { service(c, "info").openOrganisation = OrganisationId(); } },
        Fault { "keyOrganisation", "no organisation x", [](auto& c) { c.keys.at(KeyId("k1")).organisation = OrganisationId("x"); } },
        Fault { "digest", "digest", [](auto& c) { c.keys.at(KeyId("k1")).digest = "ftk_k1_secret"; } },
        Fault { "shard", "below 64",
            [](auto& c) {
                c.limitShards[64] = { VmId("vm1"), 1 };
            } },
        Fault { "sixWitnesses", "at most 5",
            [](auto& c) {
                c.witnesses.insert(c.witnesses.end(), 3, { VmId("v"), "127.0.0.1", 1 });
            } },
        Fault { "witnessTwice", "twice", [](auto& c) { c.witnesses[1].id = c.witnesses[0].id; } }),
    [](const auto& info) { return info.param.name; });

// Guards against a text that ends the process, and against a damaged text that is taken for a valid document.
TEST(ConfigurationTest, DamagedTextIsAnErrorOrAValidDocument)
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

// Guards against a key that opens another organisation's door, works in part, or works after its withdrawal.
TEST(KeyTableTest, OnlyTheWholeKeyNamesItsOrganisation)
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

// Guards against a key or its secret in an error text or in the document.
TEST(KeyTableTest, NoTextCarriesTheSecret)
{
    const std::string text = sampleKey().text;
    const std::string secret = text.substr(text.rfind('_') + 1);
    EXPECT_EQ(serializeConfiguration(sampleConfiguration()).find(secret), std::string::npos);
    const Result<OrganisationId> refused = KeyTable(sampleConfiguration()).authenticate(text + "x");
    EXPECT_EQ(refused.error().detail.find(secret.substr(0, 8)), std::string::npos);
}

}

#include "foxtailtrail/filters/AuthenticateFilter.h"
#include "foxtailtrail/execution/Transaction.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/session/ConsistencyToken.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    const OrganisationId wattle("wattle");
    const OrganisationId wislomar("wislomar");

    // The kind of the error, or nothing when the request passed.
    std::optional<ErrorKind> errorOf(const Result<OrganisationId>& result)
    {
        return result ? std::nullopt : std::optional(result.error().kind);
    }

    // A configuration with one keyed service for wattle, one open service, and a key for each of two organisations.
    class AuthenticateFilterTest : public testing::Test {
    protected:
        AuthenticateFilterTest()
        {
            this->configuration.version = 1;
            this->configuration.fleetSecret = "a secret of the fleet";
            this->configuration.services[ServiceName("booking")]
                = { ServiceName("booking"), DatabaseId("bookings"), ServiceAccess::Keyed, { wattle }, {} };
            this->configuration.services[ServiceName("info")]
                = { ServiceName("info"), DatabaseId("bookings"), ServiceAccess::Open, {}, OrganisationId("public") };
            this->wattleKey = this->addKey("k1", wattle, 1);
            this->wislomarKey = this->addKey("k2", wislomar, 2);
        }

        std::string addKey(const std::string& id, const OrganisationId& organisation, uint8_t fill)
        {
            KeySecretBytes bytes;
            bytes.fill(fill);
            IssuedKey issued = makeKey(KeyId(id), organisation, bytes);
            this->configuration.keys[KeyId(id)] = issued.key;
            return issued.text;
        }

        // Applies the filter to a request as the AcceptFilter leaves it.
        Result<OrganisationId> apply(
            const std::string& service, const std::string& key, const std::string& body = "", const std::string& token = "")
        {
            auto snapshot = std::make_shared<ControlSnapshot>();
            snapshot->configuration = std::make_shared<const Configuration>(this->configuration);
            snapshot->keyTable = std::make_shared<const KeyTable>(this->configuration);
            snapshot->servingDeadline = this->servingDeadline;
            const HttpRequest http { "POST", "/v1/services/" + service + "/write", {}, body };
            RequestContext context { http, now(), snapshot, {}, {}, {}, {}, nullptr, {}, {}, {} };
            context.serviceName = ServiceName(service);
            context.headers.key = key;
            context.headers.token = token;
            if (!body.empty())
                context.request.statements = parseTransactionBody(body, {}).value();
            BOOST_OUTCOME_TRY(AuthenticateFilter().apply(context));
            return context.request.organisation;
        }

        Configuration configuration;
        std::string wattleKey;
        std::string wislomarKey;
        TimePoint servingDeadline = TimePoint::max();
    };

}

// Guards against a request that runs for another organisation than that of its key.
TEST_F(AuthenticateFilterTest, TheKeyOfTheRequestDecidesTheOrganisation)
{
    EXPECT_EQ(this->apply("booking", this->wattleKey).value(), wattle);
    EXPECT_EQ(errorOf(this->apply("booking", this->wislomarKey)), ErrorKind::NotPermitted);
    EXPECT_EQ(errorOf(this->apply("booking", "")), ErrorKind::KeyMissing);
    EXPECT_EQ(errorOf(this->apply("booking", this->wattleKey + "x")), ErrorKind::KeyUnknown);
    // An open service runs as its own organisation, whoever calls.
    EXPECT_EQ(this->apply("info", "").value(), OrganisationId("public"));
    EXPECT_EQ(this->apply("info", this->wattleKey).value(), OrganisationId("public"));
}

// Guards against a withdrawn key that a connection goes on using.
TEST_F(AuthenticateFilterTest, AKeyIsCheckedForEveryRequest)
{
    EXPECT_TRUE(this->apply("booking", this->wattleKey));
    this->configuration.keys[KeyId("k1")].withdrawn = true;
    EXPECT_EQ(errorOf(this->apply("booking", this->wattleKey)), ErrorKind::KeyWithdrawn);
}

// Guards against a key that reaches a backend server inside a statement, written plainly or with JSON escapes.
TEST_F(AuthenticateFilterTest, AKeyInAStatementIsRefused)
{
    const std::string plain = R"({"statements":[{"sql":"SELECT $1","params":[")" + this->wattleKey + R"("]}]})";
    // The letter f as an escape: the same text for the backend server, another one in the body.
    const std::string escaped = R"({"statements":[{"sql":"SELECT $1","params":["\u0066)" + this->wattleKey.substr(1) + R"("]}]})";
    const std::string inStatement = R"({"statements":[{"sql":"SELECT ')" + this->wattleKey + R"('"}]})";
    for (const std::string& body : { plain, escaped, inStatement })
        EXPECT_EQ(errorOf(this->apply("booking", this->wattleKey, body)), ErrorKind::KeyInRequest) << body;
    EXPECT_TRUE(this->apply("booking", this->wattleKey, R"({"statements":[{"sql":"SELECT 1"}]})"));
}

// Guards against service under a configuration that no check has confirmed in time.
TEST_F(AuthenticateFilterTest, AnUnconfirmedConfigurationServesNothing)
{
    this->servingDeadline = TimePoint();
    EXPECT_EQ(errorOf(this->apply("booking", this->wattleKey)), ErrorKind::ConfigurationStale);
    EXPECT_EQ(errorOf(this->apply("info", "")), ErrorKind::ConfigurationStale);
}

// Guards against a token that was invented or made for another database.
TEST_F(AuthenticateFilterTest, OnlyTokensOfTheDatabaseCount)
{
    const ConsistencyToken own { DatabaseId("bookings"), { Term { 1 }, Position { 7 } } };
    const ConsistencyToken other { DatabaseId("programme"), { Term { 1 }, Position { 7 } } };
    const std::string& secret = this->configuration.fleetSecret;
    EXPECT_TRUE(this->apply("booking", this->wattleKey, "", own.encode(secret)));
    EXPECT_EQ(errorOf(this->apply("booking", this->wattleKey, "", other.encode(secret))), ErrorKind::TokenInvalid);
    EXPECT_EQ(errorOf(this->apply("booking", this->wattleKey, "", own.encode("another secret"))), ErrorKind::TokenInvalid);
}

}

#include "foxtailtrail/filters/AuthenticateFilter.h"
#include "foxtailtrail/execution/Transaction.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/session/ConsistencyToken.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    const OrganisationId wattle("wattle");
    const OrganisationId wislomar("wislomar");

    // Returns the kind of the error, or std::nullopt if the filter accepted the request.
    std::optional<ErrorKind> errorKindOf(const Result<OrganisationId>& result)
    {
        return result ? std::nullopt : std::optional(result.error().kind);
    }

    // Provides a configuration with a keyed service for wattle, an open service, and a key for each of two organisations.
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

        std::string addKey(const std::string& id, const OrganisationId& organisation, uint8_t fillByte)
        {
            KeySecretBytes bytes;
            bytes.fill(fillByte);
            IssuedKey issued = makeKey(KeyId(id), organisation, bytes);
            this->configuration.keys[KeyId(id)] = issued.key;
            return issued.text;
        }

        // Applies the filter to a request in the state that ParseFilter produces.
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

// Guards against a request that runs as another organisation than that of its key.
TEST_F(AuthenticateFilterTest, UsesOrganisationOfRequestKey)
{
    EXPECT_EQ(this->apply("booking", this->wattleKey).value(), wattle);
    EXPECT_EQ(errorKindOf(this->apply("booking", this->wislomarKey)), ErrorKind::NotPermitted);
    EXPECT_EQ(errorKindOf(this->apply("booking", "")), ErrorKind::KeyMissing);
    EXPECT_EQ(errorKindOf(this->apply("booking", this->wattleKey + "x")), ErrorKind::KeyUnknown);
    // An open service runs requests as its own organisation, whatever key they carry.
    EXPECT_EQ(this->apply("info", "").value(), OrganisationId("public"));
    EXPECT_EQ(this->apply("info", this->wattleKey).value(), OrganisationId("public"));
}

// Guards against a withdrawn key that remains usable on an existing connection.
TEST_F(AuthenticateFilterTest, ChecksKeyOnEveryRequest)
{
    EXPECT_TRUE(this->apply("booking", this->wattleKey));
    this->configuration.keys[KeyId("k1")].withdrawn = true;
    EXPECT_EQ(errorKindOf(this->apply("booking", this->wattleKey)), ErrorKind::KeyWithdrawn);
}

// Guards against a key that reaches a backend server in a statement or parameter, written plainly or with JSON escapes.
TEST_F(AuthenticateFilterTest, RefusesKeyInStatementOrParameter)
{
    const std::string plainBody = R"({"statements":[{"sql":"SELECT $1","params":[")" + this->wattleKey + R"("]}]})";
    // The letter f is escaped: the decoded text still equals the key, while the body does not contain it.
    const std::string escapedBody = R"({"statements":[{"sql":"SELECT $1","params":["\u0066)" + this->wattleKey.substr(1) + R"("]}]})";
    const std::string bodyWithKeyInSql = R"({"statements":[{"sql":"SELECT ')" + this->wattleKey + R"('"}]})";
    for (const std::string& body : { plainBody, escapedBody, bodyWithKeyInSql })
        EXPECT_EQ(errorKindOf(this->apply("booking", this->wattleKey, body)), ErrorKind::KeyInRequest) << body;
    EXPECT_TRUE(this->apply("booking", this->wattleKey, R"({"statements":[{"sql":"SELECT 1"}]})"));
}

// Guards against serving requests under a configuration that has not been confirmed in time.
TEST_F(AuthenticateFilterTest, RefusesRequestsUnderUnconfirmedConfiguration)
{
    this->servingDeadline = TimePoint();
    EXPECT_EQ(errorKindOf(this->apply("booking", this->wattleKey)), ErrorKind::ConfigurationStale);
    EXPECT_EQ(errorKindOf(this->apply("info", "")), ErrorKind::ConfigurationStale);
}

// Guards against a token that is forged or belongs to another database.
TEST_F(AuthenticateFilterTest, RefusesForgedTokenAndTokenOfOtherDatabase)
{
    const ConsistencyToken ownToken { DatabaseId("bookings"), { Term { 1 }, Position { 7 } } };
    const ConsistencyToken otherToken { DatabaseId("programme"), { Term { 1 }, Position { 7 } } };
    const std::string& secret = this->configuration.fleetSecret;
    EXPECT_TRUE(this->apply("booking", this->wattleKey, "", ownToken.encode(secret)));
    EXPECT_EQ(errorKindOf(this->apply("booking", this->wattleKey, "", otherToken.encode(secret))), ErrorKind::TokenInvalid);
    EXPECT_EQ(errorKindOf(this->apply("booking", this->wattleKey, "", ownToken.encode("another secret"))), ErrorKind::TokenInvalid);
}

}

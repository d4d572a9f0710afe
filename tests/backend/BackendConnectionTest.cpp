#include "foxtailtrail/backend/BackendConnection.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "standins/BackendStandin.h"

#include <gtest/gtest.h>

namespace foxtail {

namespace {

    using namespace std::chrono_literals;

    // Long enough for any answer that comes at all.
    constexpr Duration patience = 30s;
    constexpr Duration impatience = 20ms;

    // A backend server and a fiber thread that the test's client code runs on.
    class BackendConnectionTest : public testing::Test {
    protected:
        BackendConnectionTest()
            : standin(settings())
            , thread(FiberThread::start("test"))
        {
        }

        static standins::BackendStandinSettings settings()
        {
            standins::BackendStandinSettings settings;
            settings.schema = "CREATE TABLE seats(id integer primary key, holder text)";
            settings.connections = 3;
            return settings;
        }

        BackendEndpoint endpoint(const std::string& name = "foxtail/v1") { return { "127.0.0.1", this->standin.port(), name }; }

        static std::unique_ptr<BackendConnection> connected(const BackendEndpoint& endpoint)
        {
            auto connection = BackendConnection::connect(endpoint, now() + patience);
            return connection ? std::move(connection.value()) : nullptr;
        }

        // The first value of the answer, or the name of the error kind.
        static std::string ask(
            BackendConnection& connection, const std::string& sql, const std::vector<SqlValue>& parameters = {}, Duration within = patience)
        {
            const auto answer = connection.query(sql, parameters, now() + within);
            if (!answer)
                return std::string(errorKindRow(answer.error().kind).name);
            return answer.value().rows.empty() ? std::to_string(answer.value().rowCount) : answer.value().rows[0][0].value_or("null");
        }

        standins::BackendStandin standin;
        std::unique_ptr<FiberThread> thread;
    };

}

// Guards against an answer that arrives after its deadline and is taken for the answer to the next statement.
TEST_F(BackendConnectionTest, LateAnswerReachesNoOtherRequest)
{
    this->thread->call([this] {
        auto connection = connected(this->endpoint());
        ASSERT_TRUE(connection);
        this->standin.setFault("silent", "clients");
        EXPECT_EQ(ask(*connection, "SELECT 'first'", {}, impatience), "OutcomeUnknown");
        this->standin.setFault("silent", "none");
        EXPECT_EQ(ask(*connection, "SELECT 'second'"), "PeerUnavailable");
        EXPECT_FALSE(connection->isReusable());
    });
}

}

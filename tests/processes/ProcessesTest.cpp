#include "foxtailtrail/net/Clock.h"
#include "tests/processes/Deployment.h"

#include <csignal>
#include <functional>
#include <gtest/gtest.h>
#include <thread>

namespace foxtail::processes {

namespace {

    constexpr size_t sessions = 6;
    constexpr size_t writesPerSession = 40;
    constexpr size_t writesBeforeFault = 60;

    // The load under which a fault happens: first some writes, then the fault, and all sessions go on after it.
    void expectServiceAfter(Deployment& deployment, const std::function<void()>& fault)
    {
        Load load(deployment, sessions, writesPerSession);
        const bool started = load.waitForAcknowledged(writesBeforeFault);
        if (started)
            fault();
        const size_t before = load.acknowledged();
        load.join();
        EXPECT_TRUE(started) << load.failures();
        EXPECT_EQ(load.faults(), "") << load.failures();
        EXPECT_GT(load.acknowledged(), before + writesBeforeFault) << load.failures();
    }

}

// Guards against a write that another VM does not see and against an id that runs again at another VM.
TEST(ProcessesTest, AWriteIsReadThroughAnotherVmAndItsRepeatDoesNotRun)
{
    Deployment deployment;
    const Answer written = deployment.send(0, { "write", bookingBody("09:00"), {}, "id-1" });
    ASSERT_EQ(written.status, 200U) << written.body;
    const Answer repeated = deployment.send(2, { "write", bookingBody("09:00"), {}, "id-1" });
    EXPECT_EQ(repeated.status, 200U) << repeated.body;
    EXPECT_EQ(deployment.send(1, { "write", bookingBody("09:10"), {}, "id-1" }).kind, "RequestIdReused");
    const Answer read = deployment.send(1, { "read", listBody(), written.token, {} });
    ASSERT_EQ(read.status, 200U) << read.body;
    EXPECT_EQ(slotsOf(read), std::multiset<std::string> { "09:00" });
}

// Guards against a bad request that ends a process, hangs, or gets an answer outside of the closed list.
TEST(ProcessesTest, BadRequestsGetErrorsOfTheClosedList)
{
    Deployment deployment;
    struct BadRequest {
        const char* method;
        const char* target;
        std::string key;
        std::string body;
        unsigned status;
        const char* kind;
    };
    const std::string key = deployment.authorization();
    const BadRequest cases[] = { { "POST", "/v1/services/booking/read", "Bearer ftk_k9_wrong", listBody(), 401, "KeyUnknown" },
        { "POST", "/v1/services/booking/read", key, "not json", 400, "MalformedRequest" },
        { "POST", "/v1/services/booking/read", key, std::string(1 << 21, 'x'), 413, "BodyTooLarge" },
        { "POST", "/v1/services/nothing/read", key, listBody(), 404, "UnknownRoute" },
        { "POST", "/elsewhere", key, listBody(), 404, "UnknownRoute" },
        { "GET", "/v1/services/booking/read", key, "", 405, "MethodNotAllowed" } };
    for (size_t vm = 0; vm < Deployment::vmCount; ++vm) {
        for (const BadRequest& bad : cases) {
            const HttpResponse response = deployment.sendRaw(
                deployment.callerEndpoint(vm), { bad.method, bad.target, { { "Authorization", bad.key } }, bad.body });
            EXPECT_EQ(response.status, bad.status) << bad.kind << " " << response.body;
            EXPECT_NE(response.body.find(std::string("\"kind\":\"") + bad.kind), std::string::npos) << response.body;
            EXPECT_NE(response.body.find("\"ran\":\"no\""), std::string::npos) << response.body;
        }
        EXPECT_EQ(deployment.send(vm, { "read", listBody(), {}, {} }).status, 200U);
    }
}

// Guards against lost, doubled or unread writes when the primary dies under load.
TEST(ProcessesTest, AKilledPrimaryIsReplacedUnderLoad)
{
    Deployment deployment;
    expectServiceAfter(deployment, [&] {
        deployment.signal("b1", SIGKILL);
        deployment.waitForExit("b1");
    });
    EXPECT_NE(deployment.primary(), "b1");
}

// Guards against a replaced primary that acknowledges writes when it goes on.
TEST(ProcessesTest, APausedPrimaryIsReplacedAndAcknowledgesNothingAfterwards)
{
    Deployment deployment;
    expectServiceAfter(deployment, [&] { deployment.signal("b1", SIGSTOP); });
    deployment.signal("b1", SIGCONT);
    const Answer written = deployment.send(1, { "write", bookingBody("after"), {}, "after" });
    ASSERT_EQ(written.status, 200U) << written.body;
    EXPECT_EQ(written.body.find("\"server\":\"b1\""), std::string::npos) << written.body;
    EXPECT_EQ(slotsOf(deployment.send(2, { "read", listBody(), written.token, {} })).count("after"), 1U);
}

// Guards against lost or doubled writes when a VM, the entry of some requests and the home of others, dies or is paused. Every
// VM takes its turn, so one of them is the home of the primary.
class VmFaultTest : public testing::TestWithParam<int> { };

TEST_P(VmFaultTest, SessionsGoOnThroughTheOthers)
{
    Deployment deployment;
    const std::string name = "vm" + std::to_string(GetParam() % 3 + 1);
    const bool paused = GetParam() >= 3;
    expectServiceAfter(deployment, [&] {
        deployment.signal(name, paused ? SIGSTOP : SIGKILL);
        if (!paused)
            deployment.waitForExit(name);
        // The requests through the paused VM wait for it, so it goes on after the others have replaced it as home.
        std::this_thread::sleep_for(std::chrono::seconds(paused ? 3 : 0));
        if (paused)
            deployment.signal(name, SIGCONT);
    });
}

INSTANTIATE_TEST_SUITE_P(EachVm, VmFaultTest, testing::Range(0, 6));

// Guards against a key that works on after its withdrawal, and against its text in logs and metrics.
TEST(ProcessesTest, AWithdrawnKeyIsRefusedOnOpenConnectionsAndIsNeverLogged)
{
    Deployment deployment;
    const std::string secret = deployment.authorization().substr(std::string("Bearer ").size());
    for (size_t vm = 0; vm < Deployment::vmCount; ++vm) {
        deployment.callers().call([&] {
            HttpClient client(deployment.callerEndpoint(vm), 1);
            const HttpRequest request { "POST", "/v1/services/booking/read", { { "Authorization", deployment.authorization() } }, listBody() };
            const auto statusOf = [&] {
                const auto response = client.send(request, now() + std::chrono::seconds(30));
                return response ? response.value().status : 0U;
            };
            if (vm == 0) {
                EXPECT_EQ(statusOf(), 200U);
                EXPECT_TRUE(deployment.command(0, "withdraw key k1").has_value());
            }
            unsigned status = statusOf();
            for (int attempt = 0; attempt < 200 && status != 401; ++attempt) {
                sleepFor(std::chrono::milliseconds(50));
                status = statusOf();
            }
            EXPECT_EQ(status, 401U) << "vm" << vm + 1;
        });
    }
    EXPECT_EQ(deployment.logsAndMetrics().find(secret), std::string::npos);
}

}

#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/net/Clock.h"
#include "tests/processes/Deployment.h"

#include <csignal>
#include <functional>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <thread>

namespace foxtail::processes {

namespace {

    constexpr size_t sessions = 6;
    constexpr size_t writesPerSession = 40;
    constexpr size_t writesBeforeFault = 60;
    constexpr std::chrono::milliseconds pollInterval { 50 };
    constexpr int maxPolls = 400;

    // The load under which a fault happens: first some writes, then the fault, and all sessions get all of their writes through.
    // Returns the answers that were not a success.
    std::string expectServiceAfter(Deployment& deployment, const std::function<void()>& fault)
    {
        SessionWorkload load(deployment, sessions, writesPerSession);
        const bool started = load.waitForAcknowledged(writesBeforeFault);
        if (started)
            fault();
        load.join();
        EXPECT_TRUE(started) << load.failures();
        EXPECT_EQ(load.violations(), "") << load.failures();
        EXPECT_EQ(load.acknowledgedWrites(), sessions * writesPerSession) << load.failures();
        return load.failures();
    }

}

// Guards against a write that another VM does not see and against an id that runs again at another VM.
TEST(ProcessesTest, AWriteIsReadThroughAnotherVmAndItsRepeatDoesNotRun)
{
    Deployment deployment;
    const CallerResponse written = deployment.send(0, { "write", bookingBody("09:00"), {}, "id-1", {} });
    ASSERT_EQ(written.status, 200U) << written.body;
    const CallerResponse repeated = deployment.send(2, { "write", bookingBody("09:00"), {}, "id-1", {} });
    EXPECT_EQ(repeated.status, 200U) << repeated.body;
    EXPECT_EQ(deployment.send(1, { "write", bookingBody("09:10"), {}, "id-1", {} }).errorKind, "RequestIdReused");
    const CallerResponse read = deployment.send(1, { "read", listBody(), written.token, {}, {} });
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
            const HttpResponse response
                = deployment.sendRaw(deployment.callerEndpoint(vm), { bad.method, bad.target, { { "Authorization", bad.key } }, bad.body });
            EXPECT_EQ(response.status, bad.status) << bad.kind << " " << response.body;
            EXPECT_NE(response.body.find(std::string("\"kind\":\"") + bad.kind), std::string::npos) << response.body;
            EXPECT_NE(response.body.find("\"ran\":\"no\""), std::string::npos) << response.body;
        }
        EXPECT_EQ(deployment.send(vm, { "read", listBody(), {}, {}, {} }).status, 200U);
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
    const CallerResponse written = deployment.send(1, { "write", bookingBody("after"), {}, "after", {} });
    ASSERT_EQ(written.status, 200U) << written.body;
    EXPECT_EQ(written.body.find("\"server\":\"b1\""), std::string::npos) << written.body;
    EXPECT_EQ(slotsOf(deployment.send(2, { "read", listBody(), written.token, {}, {} })).count("after"), 1U);
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
    deployment.callersThread().call([&] {
        std::vector<std::unique_ptr<HttpClient>> clients;
        const HttpRequest request { "POST", "/v1/services/booking/read", { { "Authorization", deployment.authorization() } }, listBody() };
        const auto statusOf = [&](HttpClient& client) {
            const auto response = client.send(request, now() + std::chrono::seconds(30));
            return response ? response.value().status : 0U;
        };
        for (size_t vm = 0; vm < Deployment::vmCount; ++vm) {
            clients.push_back(std::make_unique<HttpClient>(deployment.callerEndpoint(vm), 1));
            EXPECT_EQ(statusOf(*clients.back()), 200U);
        }
        EXPECT_TRUE(deployment.command(0, "withdraw key k1").has_value());
        for (const auto& client : clients) {
            unsigned status = statusOf(*client);
            for (int attempt = 0; attempt < maxPolls && status != 401; ++attempt) {
                sleepFor(pollInterval);
                status = statusOf(*client);
            }
            EXPECT_EQ(status, 401U);
        }
    });
    const std::string text = deployment.logsAndMetrics();
    EXPECT_NE(text.find("foxtail"), std::string::npos);
    EXPECT_EQ(text.find(secret), std::string::npos);
}

// Guards against a failover or a service that needs the store.
TEST(ProcessesTest, ServiceAndFailoverGoOnWhileTheStoreIsDown)
{
    Deployment deployment;
    deployment.changeStoreFaults(R"({"down":true})");
    expectServiceAfter(deployment, [&] {
        deployment.signal("b1", SIGKILL);
        deployment.waitForExit("b1");
    });
    const auto refused = deployment.command(0, "declare organisation late rate 1 burst 1");
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().kind, ErrorKind::StoreUnavailable) << refused.error().detail;
}

// Guards against an operator who is told the wrong outcome when the store's reply to a change is lost.
TEST(ProcessesTest, ALostReplyOfAChangeIsResolved)
{
    Deployment deployment;
    // A change writes an object and then the row, so that a count of 2 or 3 also loses the reply of the row or of a repeat.
    for (int lost = 1; lost <= 3; ++lost) {
        deployment.changeStoreFaults("{\"loseReplies\":" + std::to_string(lost) + "}");
        const std::string name = "late" + std::to_string(lost);
        const auto changed = deployment.command(0, "declare organisation " + name + " rate 7 burst 3");
        deployment.changeStoreFaults(R"({"loseReplies":0})");
        const auto shown = deployment.command(0, "show organisations where organisation = " + name);
        ASSERT_TRUE(shown.has_value() && shown.value().table);
        const size_t rows = shown.value().table->rows.size();
        const HasRun ran = changed ? HasRun::Yes : errorKindProperties(changed.error().kind).ran;
        EXPECT_TRUE(ran == HasRun::Unknown || rows == (ran == HasRun::Yes ? 1U : 0U)) << name << " is there " << rows << " times";
        EXPECT_TRUE(lost > 1 || changed) << changed.error().detail;
    }
}

// Guards against a stopping VM that cuts off the requests it has. They wait for a new primary when the signal comes.
TEST(ProcessesTest, AStoppingVmAnswersTheRequestsItHas)
{
    Deployment deployment;
    constexpr size_t waiting = 6;
    std::vector<CallerResponse> answers(waiting);
    std::atomic<size_t> done = 0;
    deployment.signal("b1", SIGSTOP);
    for (size_t index = 0; index < waiting; ++index) {
        deployment.callersThread().post([&, index] {
            answers[index] = deployment.send(0, { "write", bookingBody("w" + std::to_string(index)), {}, "w" + std::to_string(index), {} });
            ++done;
        });
    }
    // The requests reach the VM in this time; one that does not finds no listener and does not count.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    deployment.signal("vm1", SIGTERM);
    while (done < waiting)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    const int status = deployment.waitForExit("vm1");
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
    for (const CallerResponse& answer : answers)
        EXPECT_TRUE(answer.status == 200 || answer.errorKind == "PeerUnavailable") << answer.status << " " << answer.body;
}

// Guards against a drain that fails requests: a replica's, and a primary's, which is first replaced.
class DrainTest : public testing::TestWithParam<const char*> { };

TEST_P(DrainTest, ADrainedServerLeavesWithoutAFailedRequest)
{
    Deployment deployment;
    const std::string name = GetParam();
    const std::string failures = expectServiceAfter(deployment, [&] {
        const auto answer = deployment.command(0, "drain server " + name);
        EXPECT_TRUE(answer.has_value()) << answer.error().detail;
    });
    EXPECT_EQ(failures, "");
    std::string primary = deployment.primary();
    for (int attempt = 0; attempt < maxPolls && primary == name; ++attempt) {
        std::this_thread::sleep_for(pollInterval);
        primary = deployment.primary();
    }
    EXPECT_NE(primary, name);
}

INSTANTIATE_TEST_SUITE_P(ReplicaAndPrimary, DrainTest, testing::Values("b3", "b1"));

// Guards against a VM that stays out of service, or serves an old configuration, after it was replaced by an empty one.
TEST(ProcessesTest, AVmThatStartsAgainEmptyServes)
{
    Deployment deployment;
    deployment.signal("vm3", SIGKILL);
    deployment.waitForExit("vm3");
    deployment.startVm(2);
    deployment.waitUntilServing();
    const CallerResponse written = deployment.send(2, { "write", bookingBody("09:00"), {}, "id-1", {} });
    EXPECT_EQ(written.status, 200U) << written.body;
}

// Guards against two operators who both believe that their change to the same version was accepted.
TEST(ProcessesTest, OfTwoRacingOperatorsOneWins)
{
    Deployment deployment;
    size_t wins = 0;
    // A change of the VMs themselves can come first, so that both lose; then the race is run again.
    for (int round = 0; round < 10 && wins == 0; ++round) {
        const auto base = deployment.command(0, "change organisation wattle burst " + std::to_string(2900 + round));
        ASSERT_TRUE(base.has_value()) << base.error().detail;
        const uint64_t version = json::parse(base.value().jsonText).at("version").to_number<uint64_t>();
        const auto race = [&](size_t vm) {
            return deployment.command(
                vm, "change organisation wattle burst " + std::to_string(2800 + vm) + " if version " + std::to_string(version));
        };
        Result<OperatorResponse> other = fail(ErrorKind::Internal, "not run");
        std::thread operator2([&] { other = race(1); });
        const Result<OperatorResponse> first = race(0);
        operator2.join();
        for (const auto& answer : { first, other }) {
            if (answer.has_value())
                ++wins;
            else
                EXPECT_EQ(answer.error().kind, ErrorKind::VersionConflict) << answer.error().detail;
        }
    }
    EXPECT_EQ(wins, 1U);
}

// Guards against VMs that together admit more than an organisation's rate and burst, and against a wrong kind of refusal.
TEST(ProcessesTest, AnOrganisationGetsNoMoreThanItsRateAndBurstAcrossTheFleet)
{
    constexpr double rate = 50;
    constexpr double burst = 20;
    Deployment deployment;
    ASSERT_TRUE(deployment.command(0, "declare organisation small rate 50 burst 20").has_value());
    ASSERT_TRUE(deployment.command(0, "change service booking on bookings keyed for wattle, small").has_value());
    const auto issued = deployment.command(0, "issue key for small");
    ASSERT_TRUE(issued.has_value());
    const CallerRequest call { "read", listBody(), {}, {}, "Bearer " + issued.value().key };
    const TimePoint started = now();
    size_t admitted = 0;
    std::map<std::string, size_t> refusals;
    std::atomic<size_t> done = 0;
    constexpr size_t callers = 12;
    for (size_t caller = 0; caller < callers; ++caller) {
        deployment.callersThread().post([&, caller] {
            // The key is in force at a VM some time after it was issued.
            for (int attempt = 0; attempt < maxPolls && deployment.send(caller % 3, call).errorKind == "KeyUnknown"; ++attempt)
                sleepFor(pollInterval);
            for (int request = 0; request < 100; ++request) {
                const CallerResponse answer = deployment.send(caller % 3, call);
                admitted += answer.status == 200 ? 1 : 0;
                if (answer.status != 200)
                    ++refusals[answer.errorKind];
                sleepFor(std::chrono::milliseconds(20));
            }
            ++done;
        });
    }
    while (done < callers)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    const double elapsed = std::chrono::duration<double>(now() - started).count();
    EXPECT_LE(static_cast<double>(admitted), rate * elapsed + burst);
    EXPECT_GT(admitted, 0U);
    ASSERT_EQ(refusals.size(), 1U) << (refusals.empty() ? "none" : refusals.begin()->first);
    EXPECT_EQ(refusals.begin()->first, "RateLimited");
}

}

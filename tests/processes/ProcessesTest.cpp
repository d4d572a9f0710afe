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

    // Runs the workload, injects the fault after some writes, and expects that all sessions complete all of their writes. Returns
    // the responses that were not successful.
    std::string expectServiceAfter(Deployment& deployment, const std::function<void()>& fault)
    {
        SessionWorkload workload(deployment, sessions, writesPerSession);
        const bool hasReachedFault = workload.waitForAcknowledged(writesBeforeFault);
        if (hasReachedFault)
            fault();
        workload.join();
        EXPECT_TRUE(hasReachedFault) << workload.failures();
        EXPECT_EQ(workload.violations(), "") << workload.failures();
        EXPECT_EQ(workload.acknowledgedWrites(), sessions * writesPerSession) << workload.failures();
        return workload.failures();
    }

}

// Guards against a write that is not visible through another VM, and against a request id that runs again on another VM.
TEST(ProcessesTest, ReadsWriteThroughAnotherVmAndRunsRequestIdOnce)
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

// Guards against invalid requests that crash a VM, hang or receive an undocumented error.
TEST(ProcessesTest, RejectsInvalidRequestsWithDocumentedErrors)
{
    Deployment deployment;
    struct InvalidRequest {
        const char* method;
        const char* target;
        std::string key;
        std::string body;
        unsigned status;
        const char* kind;
    };
    const std::string key = deployment.authorization();
    const InvalidRequest cases[] = { { "POST", "/v1/services/booking/read", "Bearer ftk_k9_wrong", listBody(), 401, "KeyUnknown" },
        { "POST", "/v1/services/booking/read", key, "not json", 400, "MalformedRequest" },
        { "POST", "/v1/services/booking/read", key, std::string(1 << 21, 'x'), 413, "BodyTooLarge" },
        { "POST", "/v1/services/nothing/read", key, listBody(), 404, "UnknownRoute" },
        { "POST", "/elsewhere", key, listBody(), 404, "UnknownRoute" },
        { "GET", "/v1/services/booking/read", key, "", 405, "MethodNotAllowed" } };
    for (size_t vm = 0; vm < Deployment::vmCount; ++vm) {
        for (const InvalidRequest& invalid : cases) {
            const HttpResponse response = deployment.sendRaw(
                deployment.callerEndpoint(vm), { invalid.method, invalid.target, { { "Authorization", invalid.key } }, invalid.body });
            EXPECT_EQ(response.status, invalid.status) << invalid.kind << " " << response.body;
            EXPECT_NE(response.body.find(std::string("\"kind\":\"") + invalid.kind), std::string::npos) << response.body;
            EXPECT_NE(response.body.find("\"ran\":\"no\""), std::string::npos) << response.body;
        }
        EXPECT_EQ(deployment.send(vm, { "read", listBody(), {}, {}, {} }).status, 200U);
    }
}

// Guards against lost, duplicated or unreadable writes when the primary is killed under load.
TEST(ProcessesTest, ReplacesKilledPrimaryUnderLoad)
{
    Deployment deployment;
    expectServiceAfter(deployment, [&] {
        deployment.signal("b1", SIGKILL);
        deployment.waitForExit("b1");
    });
    EXPECT_NE(deployment.primary(), "b1");
}

// Guards against a paused primary that acknowledges writes when it resumes after it has been replaced.
TEST(ProcessesTest, PausedPrimaryAcknowledgesNoWriteAfterFailover)
{
    Deployment deployment;
    expectServiceAfter(deployment, [&] { deployment.signal("b1", SIGSTOP); });
    deployment.signal("b1", SIGCONT);
    const CallerResponse written = deployment.send(1, { "write", bookingBody("after"), {}, "after", {} });
    ASSERT_EQ(written.status, 200U) << written.body;
    EXPECT_EQ(written.body.find("\"server\":\"b1\""), std::string::npos) << written.body;
    EXPECT_EQ(slotsOf(deployment.send(2, { "read", listBody(), written.token, {}, {} })).count("after"), 1U);
}

// Guards against lost or duplicated writes when a VM is killed or paused while it receives requests and may be a home. The test runs
// for every VM, so that one of them is the home of the primary.
class VmFaultTest : public testing::TestWithParam<int> { };

TEST_P(VmFaultTest, SessionsContinueThroughOtherVms)
{
    Deployment deployment;
    const std::string name = "vm" + std::to_string(GetParam() % 3 + 1);
    const bool isPaused = GetParam() >= 3;
    expectServiceAfter(deployment, [&] {
        deployment.signal(name, isPaused ? SIGSTOP : SIGKILL);
        if (!isPaused)
            deployment.waitForExit(name);
        // Requests through the paused VM wait for it, so it is resumed after the others have replaced it as home.
        std::this_thread::sleep_for(std::chrono::seconds(isPaused ? 3 : 0));
        if (isPaused)
            deployment.signal(name, SIGCONT);
    });
}

INSTANTIATE_TEST_SUITE_P(EachVm, VmFaultTest, testing::Range(0, 6));

// Guards against a withdrawn key that is still accepted, and against keys in logs and metrics.
TEST(ProcessesTest, RefusesWithdrawnKeyOnOpenConnectionsAndNeverLogsIt)
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

// Guards against a dependency of requests or of failover on the store.
TEST(ProcessesTest, ServesAndFailsOverWhileStoreIsDown)
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

// Guards against a wrong outcome that is reported to an operator when the store's reply to a change is lost.
TEST(ProcessesTest, ResolvesChangeWithLostReply)
{
    Deployment deployment;
    // A change writes an object and then the row, so a count of 2 or 3 also loses the reply to the row write or to a retry.
    for (int lost = 1; lost <= 3; ++lost) {
        deployment.changeStoreFaults("{\"loseReplies\":" + std::to_string(lost) + "}");
        const std::string name = "late" + std::to_string(lost);
        const auto changed = deployment.command(0, "declare organisation " + name + " rate 7 burst 3");
        deployment.changeStoreFaults(R"({"loseReplies":0})");
        const auto shown = deployment.command(0, "show organisations where organisation = " + name);
        ASSERT_TRUE(shown.has_value() && shown.value().table);
        const size_t rows = shown.value().table->rows.size();
        const HasRun ran = changed ? HasRun::Yes : errorKindProperties(changed.error().kind).ran;
        EXPECT_TRUE(ran == HasRun::Unknown || rows == (ran == HasRun::Yes ? 1U : 0U)) << name << " occurs " << rows << " times";
        EXPECT_TRUE(lost > 1 || changed) << changed.error().detail;
    }
}

// Guards against a stopping VM that drops accepted requests. The requests wait for a new primary when the VM receives SIGTERM.
TEST(ProcessesTest, StoppingVmCompletesAcceptedRequests)
{
    Deployment deployment;
    constexpr size_t requestCount = 6;
    std::vector<CallerResponse> replies(requestCount);
    std::atomic<size_t> done = 0;
    deployment.signal("b1", SIGSTOP);
    for (size_t index = 0; index < requestCount; ++index) {
        deployment.callersThread().post([&, index] {
            replies[index] = deployment.send(0, { "write", bookingBody("w" + std::to_string(index)), {}, "w" + std::to_string(index), {} });
            ++done;
        });
    }
    // The requests reach the VM within this time. A later one is refused by the closed port, which the check accepts.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    deployment.signal("vm1", SIGTERM);
    while (done < requestCount)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    const int status = deployment.waitForExit("vm1");
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
    for (const CallerResponse& reply : replies)
        EXPECT_TRUE(reply.status == 200 || reply.errorKind == "PeerUnavailable") << reply.status << " " << reply.body;
}

// Guards against failed requests while a replica is drained, or a primary, which is replaced first.
class DrainTest : public testing::TestWithParam<const char*> { };

TEST_P(DrainTest, DrainsServerWithoutFailedRequests)
{
    Deployment deployment;
    const std::string name = GetParam();
    const std::string failures = expectServiceAfter(deployment, [&] {
        const auto reply = deployment.command(0, "drain server " + name);
        EXPECT_TRUE(reply.has_value()) << reply.error().detail;
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

// Guards against a restarted VM without state that does not serve, or serves an old configuration.
TEST(ProcessesTest, RestartedVmServes)
{
    Deployment deployment;
    deployment.signal("vm3", SIGKILL);
    deployment.waitForExit("vm3");
    deployment.startVm(2);
    deployment.waitUntilServing();
    const CallerResponse written = deployment.send(2, { "write", bookingBody("09:00"), {}, "id-1", {} });
    EXPECT_EQ(written.status, 200U) << written.body;
}

// Guards against two changes to the same version that are both reported as accepted.
TEST(ProcessesTest, AcceptsOneOfTwoConcurrentChanges)
{
    Deployment deployment;
    size_t acceptedCount = 0;
    // A change by a VM can come first, so that both changes are refused. The round is then repeated.
    for (int round = 0; round < 10 && acceptedCount == 0; ++round) {
        const auto base = deployment.command(0, "change organisation wattle burst " + std::to_string(2900 + round));
        ASSERT_TRUE(base.has_value()) << base.error().detail;
        const uint64_t version = json::parse(base.value().jsonText).at("version").to_number<uint64_t>();
        const auto sendChange = [&](size_t vm) {
            return deployment.command(
                vm, "change organisation wattle burst " + std::to_string(2800 + vm) + " if version " + std::to_string(version));
        };
        Result<OperatorResponse> other = fail(ErrorKind::Internal, "not run");
        std::thread secondOperator([&] { other = sendChange(1); });
        const Result<OperatorResponse> first = sendChange(0);
        secondOperator.join();
        for (const auto& reply : { first, other }) {
            if (reply.has_value())
                ++acceptedCount;
            else
                EXPECT_EQ(reply.error().kind, ErrorKind::VersionConflict) << reply.error().detail;
        }
    }
    EXPECT_EQ(acceptedCount, 1U);
}

// Guards against VMs that together admit more than an organisation's rate and burst, and against refusals with another error kind.
TEST(ProcessesTest, LimitsOrganisationToRateAndBurstAcrossFleet)
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
            // A VM accepts the key only some time after it was issued.
            for (int attempt = 0; attempt < maxPolls && deployment.send(caller % 3, call).errorKind == "KeyUnknown"; ++attempt)
                sleepFor(pollInterval);
            for (int request = 0; request < 100; ++request) {
                const CallerResponse reply = deployment.send(caller % 3, call);
                admitted += reply.status == 200 ? 1 : 0;
                if (reply.status != 200)
                    ++refusals[reply.errorKind];
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

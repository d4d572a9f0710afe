#include "tests/processes/Deployment.h"

#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/net/Clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>

namespace foxtail::processes {

namespace {

    const std::string binaryFolder = FOXTAIL_BINARY_FOLDER;
    constexpr const char* operatorSecret = "sample-secret-change-me";
    constexpr const char* schema = "CREATE TABLE bookings(id integer primary key, slot text not null, child text not null)";
    constexpr Duration requestTimeout = std::chrono::seconds(30);
    constexpr Duration startTimeout = std::chrono::seconds(60);
    constexpr std::chrono::milliseconds pollInterval { 20 };
    constexpr Duration refusalRetryDelay = std::chrono::milliseconds(100);
    // The maximum number of attempts of a write, and of writes that a session starts per write that must be acknowledged.
    constexpr int maxAttempts = 20;

    std::string readFile(const std::string& path)
    {
        std::ifstream stream(path);
        return { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
    }

    // Polls until the condition returns true. Throws std::runtime_error after startTimeout.
    template <typename Condition> void waitFor(const std::string& what, Condition condition)
    {
        const TimePoint deadline = now() + startTimeout;
        while (!condition()) {
            if (now() >= deadline)
                throw std::runtime_error("waiting for " + what + " timed out");
            std::this_thread::sleep_for(pollInterval);
        }
    }

}

std::string bookingBody(const std::string& slot)
{
    return R"_({"statements":[{"sql":"INSERT INTO bookings(slot, child) VALUES($1, 'Ann')","params":[")_" + slot
        + R"_("],"expectRows":1}]})_";
}

std::string listBody() { return R"({"statements":[{"sql":"SELECT slot FROM bookings ORDER BY slot"}]})"; }

std::multiset<std::string> slotsOf(const CallerResponse& reply)
{
    std::multiset<std::string> slots;
    const json::value value = json::parse(reply.body);
    for (const json::value& row : value.at("results").at(0).at("rows").as_array())
        slots.emplace(row.at(0).as_string());
    return slots;
}

Deployment::Deployment()
    : callerThread(FiberThread::start("callers"))
{
    std::string pattern = std::filesystem::temp_directory_path().string() + "/foxtail-XXXXXX";
    this->folder = mkdtemp(pattern.data());
    try {
        this->storePort = this->startStandin("platform", { binaryFolder + "/platform-standin" });
        std::vector<std::string> server { binaryFolder + "/backend-standin", "--schema-sql", schema, "--server-id", "b1" };
        const std::string primaryAddress = "127.0.0.1:" + std::to_string(this->startStandin("b1", server));
        server.insert(server.end(), { "--role", "replica", "--primary", primaryAddress });
        for (const char* name : { "b2", "b3" }) {
            server[4] = name;
            this->startStandin(name, server);
        }
        this->pickPorts();
        for (size_t vm = 0; vm < vmCount; ++vm)
            this->startVm(vm);
        this->declareConfiguration();
        this->waitUntilServing();
    } catch (...) {
        for (const auto& [name, pid] : this->processIds)
            kill(pid, SIGKILL);
        throw;
    }
}

Deployment::~Deployment()
{
    for (const auto& [name, pid] : this->processIds)
        kill(pid, SIGKILL);
    for (const auto& [name, pid] : this->processIds)
        waitpid(pid, nullptr, 0);
    std::filesystem::remove_all(this->folder);
}

void Deployment::startProcess(const std::string& name, std::vector<std::string> arguments)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int flags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&actions, 1, this->filePath(name + ".out").c_str(), flags, 0600);
    posix_spawn_file_actions_addopen(&actions, 2, this->filePath(name + ".log").c_str(), flags, 0600);
    std::vector<char*> words;
    words.reserve(arguments.size() + 1);
    for (std::string& argument : arguments)
        words.push_back(argument.data());
    words.push_back(nullptr);
    pid_t pid = 0;
    const int failure = posix_spawn(&pid, words[0], &actions, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
        throw std::runtime_error("cannot start " + name);
    this->processIds[name] = pid;
}

uint16_t Deployment::startStandin(const std::string& name, std::vector<std::string> arguments)
{
    this->startProcess(name, std::move(arguments));
    const std::string prefix = "listening on ";
    std::string line;
    waitFor("port of " + name, [&] {
        line = readFile(this->filePath(name + ".out"));
        return line.starts_with(prefix) && line.ends_with("\n");
    });
    const auto port = static_cast<uint16_t>(std::stoul(line.substr(prefix.size())));
    std::ofstream(this->filePath(name + ".port")) << port;
    return port;
}

void Deployment::pickPorts()
{
    // The settings of each VM list the ports of its peers before any VM starts, so all ports are reserved together and then
    // released.
    boost::asio::io_context context;
    std::vector<boost::asio::ip::tcp::acceptor> reservedPorts;
    const auto pick = [&] {
        reservedPorts.emplace_back(context, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        return reservedPorts.back().local_endpoint().port();
    };
    for (VmPorts& vm : this->ports)
        vm = { pick(), pick(), pick(), pick() };
    constexpr std::array<const char*, vmCount> locations { "region: seq, dataCentre: brisbane", "region: seq, dataCentre: toowoomba",
        "region: fnq, dataCentre: cairns" };
    for (size_t index = 0; index < vmCount; ++index) {
        const VmPorts& vm = this->ports[index];
        std::ofstream settings(this->filePath("vm" + std::to_string(index + 1) + ".yaml"));
        settings << "vm: {id: vm" << index + 1 << ", " << locations[index] << "}\nlisten: {address: 127.0.0.1, callerPort: " << vm.caller
                 << ", peerPort: " << vm.peer << ", operatorPort: " << vm.operators << ", metricsPort: " << vm.metrics
                 << "}\nstore: {address: 127.0.0.1, port: " << this->storePort << "}\noperator: {secret: " << operatorSecret
                 << "}\npeers:\n";
        for (const VmPorts& peer : this->ports)
            settings << "  - \"127.0.0.1:" << peer.peer << "\"\n";
    }
}

void Deployment::startVm(size_t vm)
{
    const std::string name = "vm" + std::to_string(vm + 1);
    this->startProcess(name, { binaryFolder + "/foxtailtrail", "serve", this->filePath(name + ".yaml") });
}

Result<OperatorResponse> Deployment::command(size_t vm, const std::string& text)
{
    return OperatorClient({ "127.0.0.1", this->ports[vm].operators }, operatorSecret).runCommand(text);
}

void Deployment::declareConfiguration()
{
    waitFor("witnesses", [this] {
        const auto reply = this->command(0, "show witnesses");
        return reply && reply.value().table && reply.value().table->rows.size() == vmCount;
    });
    const auto run = [this](const std::string& text) {
        // A declaration can conflict with the first changes of the VMs and is then repeated unchanged.
        std::string key;
        waitFor("reply to " + text, [&] {
            const auto reply = this->command(0, text);
            if (reply)
                key = reply.value().key;
            else if (reply.error().kind != ErrorKind::VersionConflict && reply.error().kind != ErrorKind::ConfigurationStale)
                throw std::runtime_error(text + ": " + reply.error().detail);
            return reply.has_value();
        });
        return key;
    };
    run("declare database bookings slots 3 connections 20");
    const auto server = [&](const std::string& name, const std::string& place) {
        run("declare server " + name + " in bookings at 127.0.0.1:" + readFile(this->filePath(name + ".port")) + place);
    };
    server("b1", " region seq data centre brisbane");
    server("b2", " region seq data centre toowoomba");
    server("b3", " region fnq data centre cairns");
    run("declare organisation wattle rate 5000 burst 3000");
    run("declare service booking on bookings keyed for wattle");
    this->key = run("issue key for wattle");
}

void Deployment::waitUntilServing()
{
    for (size_t vm = 0; vm < vmCount; ++vm)
        waitFor("service of vm" + std::to_string(vm + 1), [&] { return this->send(vm, { "read", listBody(), {}, {}, {} }).status == 200; });
}

HttpResponse Deployment::sendRaw(Endpoint endpoint, const HttpRequest& request)
{
    const auto exchange = [&] {
        const Result<HttpResponse> response = HttpClient(endpoint).send(request, now() + requestTimeout);
        return response ? response.value() : HttpResponse { 0, {}, {}, std::string(errorKindProperties(response.error().kind).name) };
    };
    return FiberThread::current() ? exchange() : this->callerThread->call(exchange);
}

CallerResponse Deployment::send(size_t vm, const CallerRequest& call)
{
    HttpRequest request { "POST", "/v1/services/booking/" + call.operation,
        { { "Authorization", call.key.empty() ? this->authorization() : call.key }, { "Foxtail-Deadline", "20000" } }, call.body };
    if (!call.token.empty())
        request.headers.push_back({ "Foxtail-Token", call.token });
    if (!call.requestId.empty())
        request.headers.push_back({ "Foxtail-Request-Id", call.requestId });
    const HttpResponse response = this->sendRaw(this->callerEndpoint(vm), request);
    CallerResponse reply { response.status, response.status == 0 ? response.body : "", {}, {}, response.body };
    const auto object = parseJsonObject(response.body);
    if (!object)
        return reply;
    reply.token = stringMember(object.value(), "token") ? stringMember(object.value(), "token").value() : "";
    if (const auto error = objectMember(object.value(), "error")) {
        reply.errorKind = stringMember(error.value(), "kind").value();
        reply.ran = stringMember(error.value(), "ran").value();
    }
    return reply;
}

void Deployment::signal(const std::string& name, int number) { kill(this->processIds.at(name), number); }

int Deployment::waitForExit(const std::string& name)
{
    int status = 0;
    waitpid(this->processIds.at(name), &status, 0);
    this->processIds.erase(name);
    return status;
}

void Deployment::changeStoreFaults(const std::string& faults)
{
    if (this->sendRaw({ "127.0.0.1", this->storePort }, { "POST", "/standin/faults", {}, faults }).status != 200)
        throw std::runtime_error("the platform stand-in refused the faults " + faults);
}

std::string Deployment::primary()
{
    const auto reply = this->command(0, "show databases");
    if (!reply)
        throw std::runtime_error("show databases: " + reply.error().detail);
    return std::get<std::string>(reply.value().table->rows.at(0).at(2));
}

std::string Deployment::logsAndMetrics()
{
    std::string text;
    for (const auto& entry : std::filesystem::directory_iterator(this->folder))
        text += readFile(entry.path());
    for (const VmPorts& vm : this->ports)
        text += this->sendRaw({ "127.0.0.1", vm.metrics }, { "GET", "/metrics", {}, {} }).body;
    return text;
}

SessionWorkload::SessionWorkload(Deployment& deployment, size_t sessions, size_t writesPerSession)
    : deployment(deployment)
    , runningSessionCount(sessions)
{
    for (size_t session = 0; session < sessions; ++session)
        deployment.callersThread().post([this, session, writesPerSession] { this->runSession(session, writesPerSession); });
}

void SessionWorkload::runSession(size_t session, size_t writes)
{
    std::mt19937_64 random(session + 1);
    std::vector<WriteRecord> own;
    std::string token;
    size_t acknowledged = 0;
    while (acknowledged < writes && own.size() < writes * maxAttempts) {
        own.push_back(this->write(random, "s" + std::to_string(session) + "-" + std::to_string(own.size()), token));
        if (own.back().isAcknowledged) {
            ++acknowledged;
            ++this->acknowledgedCount;
        } else {
            // Requests are refused for some seconds while the owner of the rate limit is replaced.
            sleepFor(refusalRetryDelay);
        }
        this->readBack(random, token, own);
    }
    this->history.insert(this->history.end(), own.begin(), own.end());
    --this->runningSessionCount;
}

WriteRecord SessionWorkload::write(std::mt19937_64& random, const std::string& slot, std::string& token)
{
    WriteRecord record { slot, false, true };
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const CallerResponse reply = this->deployment.send(random() % Deployment::vmCount, { "write", bookingBody(slot), token, slot, {} });
        if (reply.status == 200) {
            record.isAcknowledged = true;
            record.isRefused = false;
            token = reply.token;
            return record;
        }
        this->failureLines += slot + " write: " + std::to_string(reply.status) + " " + reply.body + "\n";
        if (reply.ran == "no")
            return record;
        record.isRefused = false;
    }
    return record;
}

void SessionWorkload::readBack(std::mt19937_64& random, const std::string& token, const std::vector<WriteRecord>& own)
{
    if (token.empty())
        return;
    const CallerResponse reply = this->deployment.send(random() % Deployment::vmCount, { "read", listBody(), token, {}, {} });
    if (reply.status != 200) {
        this->failureLines += "read: " + std::to_string(reply.status) + " " + reply.body + "\n";
        return;
    }
    const auto slots = slotsOf(reply);
    for (const WriteRecord& record : own) {
        if (record.isAcknowledged && slots.count(record.slot) == 0)
            this->sessionViolations += "a read with its token lacks the session's own write " + record.slot + "\n";
    }
}

bool SessionWorkload::waitForAcknowledged(size_t count)
{
    while (this->acknowledgedCount<count&& this->runningSessionCount> 0)
        std::this_thread::sleep_for(pollInterval);
    return this->acknowledgedCount >= count;
}

void SessionWorkload::join()
{
    while (this->runningSessionCount > 0)
        std::this_thread::sleep_for(pollInterval);
}

std::string SessionWorkload::failures()
{
    return this->deployment.callersThread().call([this] { return this->failureLines; });
}

std::string SessionWorkload::violations()
{
    std::string violationLines = this->deployment.callersThread().call([this] { return this->sessionViolations; });
    // One VM may be down, so the read is sent to the VMs in turn.
    CallerResponse reply;
    size_t vm = 0;
    waitFor("reply to the last read", [&] {
        reply = this->deployment.send(vm++ % Deployment::vmCount, { "read", listBody(), {}, {}, {} });
        return reply.status == 200;
    });
    const auto slots = slotsOf(reply);
    for (const WriteRecord& record : this->history) {
        const size_t found = slots.count(record.slot);
        if (found > 1 || (record.isAcknowledged && found != 1) || (record.isRefused && found != 0))
            violationLines += record.slot
                + (record.isAcknowledged   ? " (acknowledged)"
                        : record.isRefused ? " (refused)"
                                           : " (unknown)")
                + " occurs " + std::to_string(found) + " times\n";
    }
    return violationLines;
}

}

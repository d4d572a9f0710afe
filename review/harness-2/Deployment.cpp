#include "review/harness-2/Deployment.h"

#include "tests/fleet/Fleet.h"

#include <boost/asio/ip/udp.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iterator>
#include <random>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace foxtail::review {

namespace {

    // Below the ephemeral ports of the kernel.
    constexpr uint16_t firstPort = 12000;
    constexpr uint16_t lastPort = 32000;
    constexpr std::chrono::seconds readyTimeout { 25 };

    // Returns different free ports.
    std::vector<uint16_t> pickPorts(size_t count)
    {
        using Tcp = boost::asio::ip::tcp;
        using Udp = boost::asio::ip::udp;
        boost::asio::io_context context;
        std::vector<Tcp::acceptor> heldAcceptors;
        std::vector<Udp::socket> heldDatagrams;
        std::vector<uint16_t> picked;
        std::random_device random;
        std::uniform_int_distribution<uint16_t> range(firstPort, lastPort);
        while (picked.size() < count) {
            const uint16_t port = range(random);
            boost::system::error_code code;
            Tcp::acceptor acceptor(context);
            Udp::socket datagrams(context);
            acceptor.open(Tcp::v4(), code);
            acceptor.bind({ boost::asio::ip::address_v4::loopback(), port }, code);
            datagrams.open(Udp::v4());
            if (!code)
                datagrams.bind({ boost::asio::ip::address_v4::loopback(), port }, code);
            if (code)
                continue;
            heldAcceptors.push_back(std::move(acceptor));
            heldDatagrams.push_back(std::move(datagrams));
            picked.push_back(port);
        }
        return picked;
    }

    std::string memberText(const std::string& document, const char* name)
    {
        const boost::json::object object = boost::json::parse(document).as_object();
        const boost::json::value* member = object.if_contains(name);
        return member && member->is_string() ? std::string(std::string_view(member->get_string())) : "";
    }

}

bool hasTrouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

Record::Record(const std::string& file)
    : out(file)
{
}

void Record::write(const std::string& line)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->out << this->at(Clock::now()) << " ms  " << line << std::endl;
}

int64_t Record::at(Clock::time_point time) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time - this->startedAt).count();
}

Deployment::Deployment(size_t vmCount, Record& eventRecord)
    : record(eventRecord)
{
    std::string pattern = std::filesystem::temp_directory_path().string() + "/foxtail-review-XXXXXX";
    this->folder = mkdtemp(pattern.data());
    this->servers = std::make_unique<standins::LineProtocolGroup>("groupa", [this](const standins::StatementRecord& statement) {
        this->record.write(
            "run at " + statement.serverId + ": " + statement.requestId + " " + statement.text + " for " + statement.organisation);
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->ran.push_back(statement);
    });
    this->promotionCall = std::make_unique<PromotionCall>([this](const Order& order) {
        this->record.write(
            "promotion order of " + order.holder + ", fence number " + std::to_string(order.fence) + ", for " + order.server);
        const unsigned status = this->servers->promote(order.server);
        this->registerServers();
        return status;
    });
    this->paths.resize(vmCount);
    for (auto& ofVm : this->paths) {
        for (size_t server = 0; server < standins::LineProtocolGroup::serverCount; ++server)
            ofVm.push_back(std::make_unique<Path>(this->servers->port(server)));
    }
    this->store = std::make_unique<Store>(
        vmCount,
        [this](const std::string& table, const std::string& key, const std::string& value) { this->recordWrite(table, key, value); },
        [this](size_t vm, const std::string& table, const std::string& value) { return this->viewOf(vm, table, value); });
    const std::vector<uint16_t> picked = pickPorts(vmCount * 6);
    for (size_t vm = 0; vm < vmCount; ++vm)
        this->ports.push_back(
            { picked[6 * vm], picked[6 * vm + 1], picked[6 * vm + 2], picked[6 * vm + 3], picked[6 * vm + 4], picked[6 * vm + 5] });
    this->publishConfiguration(true);
    this->registerServers();
    for (size_t vm = 0; vm < vmCount; ++vm)
        this->startVm(vm);
}

Deployment::~Deployment()
{
    for (const auto& [vm, pid] : this->processes) {
        kill(pid, SIGCONT);
        kill(pid, SIGKILL);
    }
    for (const auto& [vm, pid] : this->processes)
        waitpid(pid, nullptr, 0);
    this->store.reset();
    this->promotionCall.reset();
    this->paths.clear();
    this->servers.reset();
    std::filesystem::remove_all(this->folder);
}

void Deployment::publishConfiguration(bool hasKeys)
{
    this->version += 3;
    std::ostringstream out;
    out << "{\"version\":" << this->version
        << R"(,"routes":[{"name":"r","host":"strict","type":"primary","timeout_ms":2000,"objective_ms":400,"priority":1,)"
        << R"("service":"groupa","public":false}],"services":[{"name":"groupa","health_path":"/health","max_conns":34,)"
        << R"("sync_replicas":1}],"limits":{"tx_idle_ms":3000},"tenants":[{"name":"orga","api_keys":[)"
        << (hasKeys ? "\"key-of-orga\"" : "")
        << R"(],"rate_per_s":1000,"burst":1000},{"name":"orgb","api_keys":["key-of-orgb"],"rate_per_s":1000,"burst":1000}]})";
    this->store->put("op", "config", out.str());
    this->record.write(
        "configuration " + std::to_string(this->version) + " acknowledged" + (hasKeys ? "" : "; the key of orga is withdrawn"));
}

void Deployment::registerServers()
{
    for (size_t server = 0; server < standins::LineProtocolGroup::serverCount; ++server)
        this->store->put("servers", this->servers->serverId(server), this->servers->registrationEntry(server));
}

void Deployment::startVm(size_t vm)
{
    const Ports& own = this->ports[vm];
    const auto address = [](uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    const std::string file = this->folder + "/vm" + std::to_string(vm) + ".yaml";
    std::ofstream settings(file);
    settings << "vm:\n  id: \"vm" << vm << "\"\n  dataCentre: \"zone-a\"\n  region: \"region-a\"\n  processorShare: 0.25\n"
             << "  regions: {\"zone-a\":\"region-a\"}\n  logLevel: info\nlisten:\n  callers: " << address(own.callers)
             << "\n  ready: " << address(own.ready) << "\n  peers: " << address(own.peers) << "\n  datagramPort: " << own.datagrams
             << "\n  metricsPort: " << own.metrics << "\n  relayPort: " << own.relay
             << "\nplatform:\n  store: " << address(this->store->port(vm)) << "\n  promotions: " << address(this->promotionCall->port())
             << "\n  seeds: [" << address(this->ports[0].peers)
             << "]\nbounds:\n  stopGraceSeconds: 6\n  quotaWindowSeconds: 5\n  quotaExcess: 0.1\n"
             << "  quotaSlack: 20\n  configurationMilliseconds: " << configurationBound.count()
             << "\n  keyWithdrawalMilliseconds: 5000\n  serverDrainMilliseconds: 7000\n";
    settings.close();
    std::string program = "target/foxtailtrail";
    std::string subcommand = "proxy";
    std::string variable = "FOXTAILTRAIL_CONFIG=" + file;
    std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
    const std::vector<char*> arguments { program.data(), subcommand.data(), nullptr };
    const std::vector<char*> environment { variable.data(), path.data(), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string logFile = this->folder + "/vm" + std::to_string(vm) + ".log";
    posix_spawn_file_actions_addopen(&actions, 1, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    pid_t pid = 0;
    const int spawnError = posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (spawnError != 0)
        throw std::runtime_error("cannot start target/foxtailtrail");
    this->processes[vm] = pid;
}

bool Deployment::isReady(size_t vm) const
{
    fleet::Caller probe(this->ports[vm].ready);
    if (!probe.isConnected())
        return false;
    probe.sendRaw("GET /ready HTTP/1.1\r\nHost: vm\r\n\r\n");
    const std::optional<std::string> line = probe.readLine();
    return line && line->find(" 200 ") != std::string::npos;
}

bool Deployment::waitUntilReady()
{
    const auto deadline = Clock::now() + readyTimeout;
    for (size_t vm = 0; vm < this->ports.size();) {
        if (Clock::now() >= deadline)
            return false;
        if (this->isReady(vm))
            ++vm;
        else
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    this->record.write("all VMs are ready");
    return true;
}

void Deployment::signal(size_t vm, int signalNumber) const { kill(this->processes.at(vm), signalNumber); }

void Deployment::crash(size_t server)
{
    this->servers->crash(server);
    for (const auto& ofVm : this->paths)
        ofVm[server]->cut();
}

size_t Deployment::endedVms()
{
    size_t count = 0;
    for (auto process = this->processes.begin(); process != this->processes.end();) {
        if (waitpid(process->second, nullptr, WNOHANG) == process->second) {
            process = this->processes.erase(process);
            ++count;
        } else {
            ++process;
        }
    }
    return count;
}

std::string Deployment::log(size_t vm) const
{
    std::ifstream stream(this->folder + "/vm" + std::to_string(vm) + ".log");
    return { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
}

std::vector<standins::StatementRecord> Deployment::statements()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->ran;
}

std::optional<std::pair<std::string, Clock::time_point>> Deployment::lastDecision()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->decision;
}

std::string Deployment::viewOf(size_t vm, const std::string& table, const std::string& value) const
{
    std::string viewed = value;
    if (table != "servers")
        return viewed;
    for (size_t server = 0; server < standins::LineProtocolGroup::serverCount; ++server) {
        const std::string address = "127.0.0.1:" + std::to_string(this->servers->port(server)) + "\"";
        if (const size_t found = viewed.find(address); found != std::string::npos)
            return viewed.replace(found, address.size(), "127.0.0.1:" + std::to_string(this->paths[vm][server]->port()) + "\"");
    }
    return viewed;
}

// Notes the holder of the lock and the decisions to promote, which are rows of the system's own tables.
void Deployment::recordWrite(const std::string&, const std::string& key, const std::string& value)
{
    this->record.write("store: " + key + " = " + value);
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (key.starts_with("promotion/"))
        this->lockHolder = memberText(value, "holder");
    if (key.starts_with("leader/") && value.find("\"settled\":false") != std::string::npos)
        this->decision = { this->lockHolder, Clock::now() };
}

}

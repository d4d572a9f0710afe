#include "tests/fleet/Fleet.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace foxtail::fleet {

using Tcp = boost::asio::ip::tcp;

namespace {

    const std::string binaryFolder = FOXTAIL_BINARY_FOLDER;
    // A caller waits this long for a reply; no time limit of the configuration is longer.
    constexpr timeval replyTimeout { 8, 0 };

    // The ephemeral ports of the kernel start at 32768.
    constexpr uint16_t firstPort = 12000;
    constexpr uint16_t lastPort = 32000;
    // Three VMs with this many organisations would need more than four times these connections without relays.
    constexpr size_t relayedMaxConnections = 12;
    constexpr size_t relayedOrganisations = 60;

    std::string takeFirstWord(std::string& text)
    {
        const size_t spaceIndex = text.find(' ');
        std::string word = text.substr(0, spaceIndex);
        text = spaceIndex == std::string::npos ? "" : text.substr(spaceIndex + 1);
        return word;
    }

}

Caller::Caller(uint16_t port)
    : socket(context)
{
    boost::system::error_code code;
    this->socket.connect(Tcp::endpoint(boost::asio::ip::address_v4::loopback(), port), code);
    this->connected = !code;
    if (!this->connected)
        return;
    this->socket.set_option(Tcp::no_delay(true), code);
    setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &replyTimeout, sizeof(replyTimeout));
}

void Caller::sendRaw(const std::string& bytes)
{
    boost::system::error_code code;
    boost::asio::write(this->socket, boost::asio::buffer(bytes), code);
}

std::optional<std::string> Caller::readLine()
{
    boost::system::error_code code;
    boost::asio::read_until(this->socket, this->buffer, "\r\n", code);
    if (code)
        return std::nullopt;
    std::istream stream(&this->buffer);
    std::string line;
    std::getline(stream, line);
    line.pop_back();
    return line;
}

Reply Caller::readReply()
{
    Reply reply;
    while (true) {
        const std::optional<std::string> line = this->readLine();
        if (!line) {
            // An error that closes the connection is not followed by a READY line.
            reply.isConnectionLost = reply.error.empty();
            return reply;
        }
        std::string remainder = *line;
        const std::string word = takeFirstWord(remainder);
        if (word == "ROW") {
            reply.rows.push_back(remainder);
        } else if (word == "DONE") {
            reply.digest = remainder;
        } else if (word == "ERROR") {
            reply.error = takeFirstWord(remainder);
            reply.detail = remainder;
        } else if (word == "READY") {
            reply.state = remainder.at(0);
            takeFirstWord(remainder);
            reply.position = remainder;
            return reply;
        }
    }
}

Reply Caller::start(const std::string& database, const std::string& key)
{
    this->sendRaw("START " + database + " " + key + "\r\n");
    return this->readReply();
}

Reply Caller::query(const std::string& id, const std::string& text)
{
    this->sendRaw("QUERY " + id + " " + text + "\r\n");
    return this->readReply();
}

void Caller::close()
{
    boost::system::error_code code;
    this->socket.close(code);
}

Fleet::Fleet(size_t vmCount, PortOverrides overrides, ConnectionMode connectionMode, std::string extraSettings)
    : portOverrides(std::move(overrides))
    , extraSettings(std::move(extraSettings))
{
    this->organisations = { { "orga", { "key-of-orga" } }, { "orgb", { "key-of-orgb" } } };
    if (connectionMode == ConnectionMode::Relayed) {
        this->maxConnections = relayedMaxConnections;
        while (this->organisations.size() < relayedOrganisations) {
            const std::string name = "org" + std::to_string(this->organisations.size());
            this->organisations.push_back({ name, { "key-of-" + name } });
        }
    }
    std::string pattern = std::filesystem::temp_directory_path().string() + "/foxtail-fleet-XXXXXX";
    this->folder = mkdtemp(pattern.data());
    this->lineGroup = std::make_unique<standins::LineProtocolGroup>("groupa", [this](const standins::StatementRecord& record) {
        const std::lock_guard<std::mutex> lock(this->recordMutex);
        this->statementRecords.push_back(record);
    });
    this->rowStore = std::make_unique<standins::RowStore>([this](const standins::PromotionOrder& order) {
        const unsigned status = this->lineGroup->promote(order.server);
        this->registerServers();
        return status;
    });
    this->pickPorts(vmCount);
    this->publishConfiguration();
    this->registerServers();
    for (size_t vm = 0; vm < vmCount; ++vm)
        this->startVm(vm);
}

Fleet::~Fleet()
{
    for (const auto& [vm, pid] : this->processes) {
        kill(pid, SIGCONT);
        kill(pid, SIGKILL);
    }
    for (const auto& [vm, pid] : this->processes)
        waitpid(pid, nullptr, 0);
    this->rowStore.reset();
    this->lineGroup.reset();
    std::filesystem::remove_all(this->folder);
}

void Fleet::pickPorts(size_t vmCount)
{
    // All ports are bound at the same time and then released, so that they differ. They lie below the ephemeral ports, because the kernel
    // could otherwise give a port to an outgoing connection before its VM listens on it.
    boost::asio::io_context context;
    std::vector<Tcp::acceptor> heldAcceptors;
    std::vector<boost::asio::ip::udp::socket> heldDatagrams;
    const auto loopback = boost::asio::ip::address_v4::loopback();
    std::random_device random;
    std::uniform_int_distribution<uint16_t> ports(firstPort, lastPort);
    const auto pick = [&] {
        while (true) {
            const uint16_t port = ports(random);
            boost::system::error_code code;
            Tcp::acceptor acceptor(context);
            boost::asio::ip::udp::socket datagrams(context);
            acceptor.open(Tcp::v4(), code);
            acceptor.bind(Tcp::endpoint(loopback, port), code);
            if (!code)
                acceptor.listen(boost::asio::socket_base::max_listen_connections, code);
            datagrams.open(boost::asio::ip::udp::v4());
            if (!code)
                datagrams.bind({ loopback, port }, code);
            if (code)
                continue;
            heldAcceptors.push_back(std::move(acceptor));
            heldDatagrams.push_back(std::move(datagrams));
            return port;
        }
    };
    for (size_t vm = 0; vm < vmCount; ++vm)
        this->ports.push_back({ pick(), pick(), pick(), pick(), pick(), pick() });
}

std::string Fleet::settingsFile(size_t vm) const { return this->folder + "/vm" + std::to_string(vm) + ".yaml"; }

void Fleet::publishConfiguration()
{
    ++this->configurationVersion;
    std::ostringstream out;
    out << "{\"version\":" << this->configurationVersion << R"(,"routes":[)";
    const auto writeRoute = [&](const std::string& database, const std::string& type, const std::string& extraFields) {
        out << R"({"name":"r","host":")" << database << R"(","prefix":"/","type":")" << type
            << R"(","timeout_ms":4000,"objective_ms":800,"priority":1,"service":"groupa","max_attempts":2,"public":false)" << extraFields
            << "},";
    };
    for (const std::string& database : this->extraDatabases)
        writeRoute(database, "primary", "");
    writeRoute("strict", "primary", "");
    writeRoute("bounded", "bounded_staleness", R"(,"max_staleness_ms":1500)");
    writeRoute("own", "read_your_writes", R"(,"max_staleness_ms":2500)");
    out.seekp(-1, std::ios_base::cur);
    out << R"(],"services":[{"name":"groupa","health_path":"/health","max_conns":)" << this->maxConnections
        << R"(,"sync_replicas":1}],"limits":{"tx_idle_ms":3000},"tenants":[)";
    for (size_t index = 0; index < this->organisations.size(); ++index) {
        const OrganisationEntry& entry = this->organisations[index];
        out << (index > 0 ? "," : "") << R"({"name":")" << entry.name << R"(","api_keys":[)";
        for (size_t key = 0; key < entry.keys.size(); ++key)
            out << (key > 0 ? "," : "") << '"' << entry.keys[key] << '"';
        out << R"(],"priority":1,"rate_per_s":)" << entry.ratePerSecond << R"(,"burst":)" << entry.burst << "}";
    }
    out << "]}";
    this->rowStore->put("op", "config", out.str());
}

void Fleet::registerServers()
{
    for (size_t server = 0; server < standins::LineProtocolGroup::serverCount; ++server)
        this->registerServer(server);
}

void Fleet::registerServer(size_t server)
{
    const uint16_t ownPort = this->lineGroup->port(server);
    const uint16_t port = this->portOverrides.serverPort ? this->portOverrides.serverPort(server, ownPort) : ownPort;
    this->rowStore->put("servers", this->lineGroup->serverId(server), this->lineGroup->registrationEntry(server, port));
}

void Fleet::unregisterServer(size_t server) { this->rowStore->remove("servers", this->lineGroup->serverId(server)); }

void Fleet::setEvacuated(bool isEvacuated)
{
    const std::string key = "evacuate/zone-a";
    if (isEvacuated)
        this->rowStore->put("op", key, "{}");
    else
        this->rowStore->remove("op", key);
}

void Fleet::startVm(size_t vm)
{
    const Ports& vmPorts = this->ports[vm];
    const uint16_t storePort
        = this->portOverrides.storePort ? this->portOverrides.storePort(vm, this->rowStore->port()) : this->rowStore->port();
    std::ofstream settings(this->settingsFile(vm));
    settings << "vm: {id: vm" << vm << ", dataCentre: zone-a, region: region-a, regions: {zone-a: region-a}, logLevel: info}\n"
             << "listen: {callers: '127.0.0.1:" << vmPorts.callers << "', ready: '127.0.0.1:" << vmPorts.ready
             << "', peers: '127.0.0.1:" << vmPorts.peers << "', datagramPort: " << vmPorts.datagrams << ", metricsPort: " << vmPorts.metrics
             << ", relayPort: " << vmPorts.relay << "}\n"
             << "platform: {store: '127.0.0.1:" << storePort << "', promotions: '127.0.0.1:" << this->rowStore->port()
             << "', seeds: ['127.0.0.1:" << this->ports[0].peers << "']}\n"
             << "bounds: {stopGraceSeconds: 6, quotaWindowSeconds: 5, quotaExcess: 0.1, quotaSlack: 20}\n"
             << this->extraSettings;
    settings.close();
    std::string program = binaryFolder + "/foxtailtrail";
    std::string subcommand = "proxy";
    std::string file = this->settingsFile(vm);
    const std::vector<char*> arguments { program.data(), subcommand.data(), file.data(), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int flags = O_WRONLY | O_CREAT | O_APPEND;
    const std::string log = this->folder + "/vm" + std::to_string(vm) + ".log";
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), flags, 0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    pid_t pid = 0;
    const int spawnError = posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (spawnError != 0)
        throw std::runtime_error("cannot start VM " + std::to_string(vm));
    this->processes[vm] = pid;
}

void Fleet::signalVm(size_t vm, int signalNumber) { kill(this->processes.at(vm), signalNumber); }

bool Fleet::canReceiveSignal(size_t vm, int signalNumber) const
{
    std::ifstream status("/proc/" + std::to_string(this->processes.at(vm)) + "/status");
    constexpr size_t fieldLength = 7;
    for (std::string line; std::getline(status, line);) {
        const bool isMask = line.starts_with("SigBlk:") || line.starts_with("SigCgt:");
        if (isMask && (std::stoull(line.substr(fieldLength), nullptr, 16) >> static_cast<unsigned>(signalNumber - 1) & 1U) != 0)
            return true;
    }
    return false;
}

bool Fleet::takeProcessEndedBy(size_t vm, int signalNumber)
{
    const auto process = this->processes.find(vm);
    siginfo_t info {};
    if (process == this->processes.end() || waitid(P_PID, static_cast<id_t>(process->second), &info, WEXITED | WNOHANG | WNOWAIT) != 0
        || info.si_pid != process->second || info.si_code != CLD_KILLED || info.si_status != signalNumber)
        return false;
    waitpid(process->second, nullptr, 0);
    this->processes.erase(process);
    return true;
}

void Fleet::killVm(size_t vm)
{
    const pid_t pid = this->processes.at(vm);
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    this->processes.erase(vm);
}

std::map<size_t, int> Fleet::unexpectedExits()
{
    std::map<size_t, int> ended;
    for (auto process = this->processes.begin(); process != this->processes.end();) {
        int status = 0;
        if (waitpid(process->second, &status, WNOHANG) == process->second) {
            ended.emplace(process->first, status);
            process = this->processes.erase(process);
        } else {
            ++process;
        }
    }
    return ended;
}

int Fleet::waitForVm(size_t vm)
{
    int status = 0;
    waitpid(this->processes.at(vm), &status, 0);
    this->processes.erase(vm);
    return status;
}

unsigned Fleet::readinessStatus(size_t vm)
{
    Caller probe(this->ports[vm].ready);
    if (!probe.isConnected())
        return 0;
    probe.sendRaw("GET /ready HTTP/1.1\r\nHost: vm\r\n\r\n");
    const std::optional<std::string> line = probe.readLine();
    return line && line->size() > 12 ? static_cast<unsigned>(std::stoul(line->substr(9, 3))) : 0;
}

bool Fleet::waitUntilReady()
{
    return eventually([this] {
        for (const auto& [vm, pid] : this->processes) {
            if (this->readinessStatus(vm) != 200)
                return false;
        }
        return true;
    });
}

std::string Fleet::logs() const
{
    std::string all;
    for (size_t vm = 0; vm < this->ports.size(); ++vm) {
        std::ifstream stream(this->folder + "/vm" + std::to_string(vm) + ".log");
        all.append(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
    }
    return all;
}

std::vector<standins::StatementRecord> Fleet::records()
{
    const std::lock_guard<std::mutex> lock(this->recordMutex);
    return this->statementRecords;
}

}

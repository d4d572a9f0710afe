#include "standins/platform/LineGroup.h"

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <sstream>

namespace foxtail::standins {

namespace {

    // The longest time that a commit waits for a replica.
    constexpr std::chrono::seconds commitWait { 5 };
    constexpr std::chrono::milliseconds darkPoll { 20 };
    // From the order of promotion to the new primary.
    constexpr std::chrono::milliseconds promotionTime { 100 };
    constexpr size_t maxConnections = 40;

    std::string takeWord(std::string& text)
    {
        const size_t blank = text.find(' ');
        std::string word = text.substr(0, blank);
        text = blank == std::string::npos ? "" : text.substr(blank + 1);
        return word;
    }

}

struct LineGroup::Connection {
    size_t server = 0;
    uint64_t generation = 0;
    bool started = false;
    std::string organisation;
    std::map<std::string, std::string> values;
    // Name to mode and shape.
    std::map<std::string, std::pair<bool, std::string>> prepared;
    char state = 'I';
    bool readOnly = false;
    uint64_t transactionTerm = 0;
    std::vector<LogEntry> pending;
};

LineGroup::LineGroup(std::string service, Observer observer)
    : serviceName(std::move(service))
    , observer(std::move(observer))
{
    this->servers.resize(serverCount);
    for (size_t index = 0; index < serverCount; ++index) {
        this->servers[index].id = this->serviceName + "-" + std::to_string(index);
        this->servers[index].isPrimary = index == 0;
        this->servers[index].listener
            = std::make_unique<TcpListener>(0, [this, index](boost::asio::ip::tcp::socket& socket) { this->serve(index, socket); });
        this->servers[index].port = this->servers[index].listener->port();
    }
}

LineGroup::~LineGroup()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    for (Server& server : this->servers) {
        if (server.listener)
            server.listener->stop();
    }
}

std::string LineGroup::serverId(size_t server) const { return this->serviceName + "-" + std::to_string(server); }

std::string LineGroup::entry(size_t index, uint16_t port)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const Server& server = this->servers[index];
    std::ostringstream out;
    out << R"({"service":")" << this->serviceName << R"(","addr":"127.0.0.1:)" << (port == 0 ? server.port : port)
        << R"(","zone":"zone-a","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":1,"born":1700000000000,"db_role":")"
        << (server.isPrimary ? "primary" : "replica") << "\"}";
    return out.str();
}

unsigned LineGroup::promote(const std::string& id)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    const auto found = std::find_if(this->servers.begin(), this->servers.end(), [&](const Server& server) { return server.id == id; });
    if (found == this->servers.end() || !found->running)
        return 409;
    if (found->isPrimary
        && std::all_of(this->servers.begin(), this->servers.end(), [&](const Server& server) { return server.term <= found->term; }))
        return 200;
    lock.unlock();
    std::this_thread::sleep_for(promotionTime);
    lock.lock();
    uint64_t newest = 0;
    for (const Server& server : this->servers)
        newest = std::max(newest, server.term);
    found->isPrimary = true;
    found->term = newest + 1;
    found->pausedFor = 0;
    this->changed.notify_all();
    return 200;
}

void LineGroup::crash(size_t index)
{
    std::unique_ptr<TcpListener> ended;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->servers[index].running = false;
        ++this->servers[index].generation;
        ended = std::move(this->servers[index].listener);
        this->changed.notify_all();
    }
    if (ended)
        ended->stop();
}

void LineGroup::restart(size_t index)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    Server& server = this->servers[index];
    if (server.running)
        return;
    server.running = true;
    server.pausedFor = 0;
    // A primary that crashed comes back as a replica if another server was promoted.
    for (const Server& other : this->servers) {
        if (other.term > server.term)
            server.isPrimary = false;
    }
    server.listener
        = std::make_unique<TcpListener>(server.port, [this, index](boost::asio::ip::tcp::socket& socket) { this->serve(index, socket); });
}

void LineGroup::setDark(size_t server, bool dark)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->servers[server].dark = dark;
    this->changed.notify_all();
}

void LineGroup::setLag(size_t server, std::chrono::milliseconds lag)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->servers[server].lag = lag;
}

void LineGroup::setDeaf(size_t server, bool deaf)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->servers[server].deaf = deaf;
    this->changed.notify_all();
}

void LineGroup::setLostShare(double share)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->lostShare = share;
}

std::optional<size_t> LineGroup::primary()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::optional<size_t> newest;
    for (size_t index = 0; index < this->servers.size(); ++index) {
        const Server& server = this->servers[index];
        if (server.isPrimary && server.running && (!newest || this->servers[*newest].term < server.term))
            newest = index;
    }
    return newest;
}

std::vector<LogEntry> LineGroup::primaryLog()
{
    const std::optional<size_t> index = this->primary();
    const std::lock_guard<std::mutex> lock(this->mutex);
    return index ? this->servers[*index].log : std::vector<LogEntry> {};
}

size_t LineGroup::connectionCount(size_t server)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->servers[server].connections;
}

std::string LineGroup::receivedBytes()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->bytes;
}

void LineGroup::serve(size_t index, boost::asio::ip::tcp::socket& socket)
{
    Connection connection;
    connection.server = index;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        Server& server = this->servers[index];
        if (server.connections >= maxConnections)
            return;
        ++server.connections;
        connection.generation = server.generation;
    }
    boost::asio::streambuf buffer;
    boost::system::error_code code;
    while (true) {
        boost::asio::read_until(socket, buffer, "\r\n", code);
        if (code)
            break;
        std::istream stream(&buffer);
        std::string line;
        std::getline(stream, line);
        line.pop_back();
        std::string out;
        const bool goesOn = this->handle(connection, line, out);
        if (!out.empty())
            boost::asio::write(socket, boost::asio::buffer(out), code);
        if (!goesOn || code)
            break;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    --this->servers[index].connections;
}

bool LineGroup::handle(Connection& connection, const std::string& line, std::string& out)
{
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->bytes += line + "\n";
        while (this->servers[connection.server].dark && !this->stopping)
            this->changed.wait_for(lock, darkPoll);
        if (this->stopping || this->servers[connection.server].generation != connection.generation)
            return false;
    }
    std::string rest = line;
    const std::string word = takeWord(rest);
    if (word == "START")
        return this->handleStart(connection, rest, out);
    if (word != "QUERY" || !connection.started)
        return false;
    const std::string id = takeWord(rest);
    return this->handleQuery(connection, id, rest, out);
}

bool LineGroup::handleStart(Connection& connection, const std::string& rest, std::string& out)
{
    std::string fields = rest;
    const std::string service = takeWord(fields);
    connection.organisation = takeWord(fields);
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (service != this->serviceName || (!fields.empty() && fields != this->servers[connection.server].id)) {
        out = "ERROR MISROUTED " + this->servers[connection.server].id + "\r\n";
        return false;
    }
    connection.started = true;
    this->ready(connection, out);
    return true;
}

size_t LineGroup::appliedCount(const Server& server) const
{
    if (server.isPrimary)
        return server.log.size();
    const auto now = Clock::now();
    size_t count = 0;
    while (count < server.log.size() && server.receivedAt[count] + server.lag <= now)
        ++count;
    return count;
}

void LineGroup::ready(Connection& connection, std::string& out)
{
    const Server& server = this->servers[connection.server];
    out += std::string("READY ") + connection.state + " " + std::to_string(server.term) + "." + std::to_string(this->appliedCount(server))
        + "\r\n";
}

std::string LineGroup::statusRow(const Server& server) const
{
    std::ostringstream out;
    out << "ROW " << (server.isPrimary ? "primary" : "replica") << " " << server.term << " " << server.term << "." << server.log.size()
        << " " << server.pausedFor << " 0 0 " << server.connections << "\r\nDONE -\r\n";
    return out.str();
}

void LineGroup::record(Connection& connection, const std::string& id, const std::string& text)
{
    if (id != "-")
        this->observer({ this->servers[connection.server].id, connection.organisation, id, text, connection.values });
}

std::string LineGroup::newDigest(const Server& server, const std::string& id)
{
    return server.id + "." + id + "." + std::to_string(this->random());
}

void LineGroup::replicate()
{
    const Server* primary = nullptr;
    for (const Server& server : this->servers) {
        if (server.isPrimary && server.running && (!primary || primary->term < server.term))
            primary = &server;
    }
    if (!primary)
        return;
    for (Server& replica : this->servers) {
        if (&replica == primary || !replica.running || replica.deaf || replica.pausedFor > 0
            || (replica.isPrimary && replica.term >= primary->term))
            continue;
        if (replica.isPrimary)
            continue;
        // What the replica holds beyond the primary's log is rolled back.
        size_t common = 0;
        while (common < replica.log.size() && common < primary->log.size() && replica.log[common].id == primary->log[common].id
            && replica.log[common].item == primary->log[common].item)
            ++common;
        replica.log.resize(common);
        replica.receivedAt.resize(common);
        replica.term = primary->term;
        for (size_t index = common; index < primary->log.size(); ++index) {
            replica.log.push_back(primary->log[index]);
            replica.receivedAt.push_back(Clock::now());
        }
    }
}

void LineGroup::runRead(Connection& connection, const std::string& id, const std::string& text, const std::string& item, std::string& out)
{
    const Server& server = this->servers[connection.server];
    this->record(connection, id, text);
    std::string data = "0";
    const size_t applied = this->appliedCount(server);
    for (size_t index = 0; index < applied; ++index) {
        if (server.log[index].item == item)
            data = server.log[index].data;
    }
    for (const LogEntry& entry : connection.pending) {
        if (entry.item == item)
            data = entry.data;
    }
    out += "ROW " + data + "\r\nDONE " + this->newDigest(server, id) + "\r\n";
}

bool LineGroup::runWrites(Connection& connection, const std::string& id, std::vector<LogEntry> writes, std::string& out)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    Server& server = this->servers[connection.server];
    for (LogEntry& entry : writes) {
        entry.term = server.term;
        entry.number = server.log.size() + 1;
        server.log.push_back(entry);
        server.receivedAt.push_back(Clock::now());
    }
    const size_t end = server.log.size();
    const uint64_t term = server.term;
    const auto deadline = Clock::now() + commitWait;
    // Acknowledged once one replica has received it.
    while (!this->stopping && Clock::now() < deadline && !writes.empty()) {
        this->replicate();
        const bool held = std::any_of(this->servers.begin(), this->servers.end(), [&](const Server& replica) {
            return &replica != &server && replica.running && replica.term == term && replica.log.size() >= end && replica.pausedFor == 0;
        });
        if (held)
            break;
        if (!server.isPrimary || server.term != term || server.generation != connection.generation)
            return false;
        this->changed.wait_for(lock, darkPoll);
    }
    if (Clock::now() >= deadline)
        return false;
    if (std::uniform_real_distribution<double>(0, 1)(this->random) < this->lostShare)
        return false;
    out += "DONE " + this->newDigest(server, id) + "\r\n";
    connection.pending.clear();
    connection.state = 'I';
    this->ready(connection, out);
    return true;
}

bool LineGroup::handleQuery(Connection& connection, const std::string& id, std::string text, std::string& out)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    Server& server = this->servers[connection.server];
    this->replicate();
    const std::string whole = text;
    std::string word = takeWord(text);
    const auto refuse = [&](const std::string& code) {
        if (connection.state == 'T')
            connection.state = 'E';
        out += "ERROR " + code + " " + server.id + "\r\n";
        this->ready(connection, out);
        return true;
    };
    const auto done = [&] {
        out += "DONE -\r\n";
        this->ready(connection, out);
        return true;
    };
    std::string unprefixed = whole;
    if (word == "AFTER") {
        const std::string position = takeWord(text);
        const size_t dot = position.find('.');
        const uint64_t term = std::stoull(position.substr(0, dot));
        if (server.term < term || (server.term == term && this->appliedCount(server) < std::stoull(position.substr(dot + 1))))
            return refuse("LAGGING");
        unprefixed = text;
        word = takeWord(text);
    }
    if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "DEMOTE") {
        const uint64_t term = text.empty() ? 0 : std::stoull(text);
        if (word == "PAUSE" && !server.isPrimary && term > server.term)
            server.pausedFor = term;
        if (word == "RESUME")
            server.pausedFor = 0;
        if (word == "DEMOTE" && server.isPrimary && server.term < term)
            server.isPrimary = false;
        this->changed.notify_all();
        out += this->statusRow(server);
        this->ready(connection, out);
        return true;
    }
    if (word == "RESET") {
        connection.values.clear();
        connection.prepared.clear();
        return done();
    }
    if (word == "SET") {
        const std::string name = takeWord(text);
        connection.values[name] = text;
        return done();
    }
    if (word == "PREPARE") {
        const std::string name = takeWord(text);
        const bool writes = takeWord(text) == "WRITE";
        connection.prepared[name] = { writes, text };
        return done();
    }
    if (word == "ROLLBACK") {
        connection.state = 'I';
        connection.pending.clear();
        return done();
    }
    if (word == "BEGIN") {
        connection.readOnly = text == "READ";
        if (!connection.readOnly && !server.isPrimary)
            return refuse("READONLY");
        connection.state = 'T';
        connection.transactionTerm = server.term;
        return done();
    }
    if (connection.state == 'E')
        return refuse("MALFORMED");
    if (connection.state == 'T' && !connection.readOnly && (!server.isPrimary || server.term != connection.transactionTerm))
        return refuse("READONLY");
    bool writes = word == "WRITE";
    std::string shape;
    if (word == "EXECUTE") {
        const std::string name = takeWord(text);
        const auto found = connection.prepared.find(name);
        if (found == connection.prepared.end())
            return refuse("NOSTMT");
        writes = found->second.first;
        shape = found->second.second;
        unprefixed = "EXECUTE " + shape + " " + text;
    }
    if (word == "COMMIT") {
        this->record(connection, id, "COMMIT");
        std::vector<LogEntry> pending = connection.pending;
        lock.unlock();
        return this->runWrites(connection, id, std::move(pending), out);
    }
    const std::string item = takeWord(text);
    if (!writes) {
        this->runRead(connection, id, unprefixed, item, out);
        if (std::uniform_real_distribution<double>(0, 1)(this->random) < this->lostShare)
            return false;
        this->ready(connection, out);
        return true;
    }
    if (!server.isPrimary || connection.readOnly)
        return refuse("READONLY");
    this->record(connection, id, unprefixed);
    const LogEntry entry { server.term, 0, id, item, text };
    if (connection.state == 'T') {
        connection.pending.push_back(entry);
        out += "DONE " + this->newDigest(server, id) + "\r\n";
        this->ready(connection, out);
        return true;
    }
    lock.unlock();
    return this->runWrites(connection, id, { entry }, out);
}

}

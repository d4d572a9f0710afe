#include "standins/platform/LineProtocolGroup.h"

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <sstream>

namespace foxtail::standins {

namespace {

    // How long a commit waits for a replica to receive it.
    constexpr std::chrono::seconds commitTimeout { 5 };
    constexpr std::chrono::milliseconds pollInterval { 20 };
    // The time from the promotion order until the server is the primary.
    constexpr std::chrono::milliseconds promotionDelay { 100 };
    constexpr size_t maxConnections = 40;

    std::string takeWord(std::string& text)
    {
        const size_t blank = text.find(' ');
        std::string word = text.substr(0, blank);
        text = blank == std::string::npos ? "" : text.substr(blank + 1);
        return word;
    }

}

struct LineProtocolGroup::Connection {
    size_t serverIndex = 0;
    uint64_t generation = 0;
    bool isStarted = false;
    std::string organisation;
    std::map<std::string, std::string> sessionValues;
    // Maps a name to whether the statement writes and to its template.
    std::map<std::string, std::pair<bool, std::string>> preparedStatements;
    char transactionState = 'I';
    bool isReadOnly = false;
    uint64_t transactionTerm = 0;
    std::vector<CommittedWrite> pendingWrites;
};

LineProtocolGroup::LineProtocolGroup(std::string service, StatementListener onStatement)
    : serviceName(std::move(service))
    , statementListener(std::move(onStatement))
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

LineProtocolGroup::~LineProtocolGroup()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->isStopping = true;
    }
    this->stateCondition.notify_all();
    for (Server& server : this->servers) {
        if (server.listener)
            server.listener->stop();
    }
}

std::string LineProtocolGroup::serverId(size_t server) const { return this->serviceName + "-" + std::to_string(server); }

std::string LineProtocolGroup::registrationEntry(size_t index, uint16_t port)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const Server& server = this->servers[index];
    std::ostringstream out;
    out << R"({"service":")" << this->serviceName << R"(","addr":"127.0.0.1:)" << (port == 0 ? server.port : port)
        << R"(","zone":"zone-a","version":"v1","slots":8,"state":")" << (server.isDraining ? "draining" : "ready")
        << R"(","cold_left_ms":0,"seq":1,"born":1700000000000,"db_role":")" << (server.isPrimary ? "primary" : "replica") << "\"}";
    return out.str();
}

unsigned LineProtocolGroup::promote(const std::string& id)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    const auto found = std::find_if(this->servers.begin(), this->servers.end(), [&](const Server& server) { return server.id == id; });
    if (found == this->servers.end() || !found->isRunning)
        return 409;
    if (found->isPrimary
        && std::all_of(this->servers.begin(), this->servers.end(), [&](const Server& server) { return server.term <= found->term; }))
        return 200;
    lock.unlock();
    std::this_thread::sleep_for(promotionDelay);
    lock.lock();
    uint64_t newestTerm = 0;
    for (const Server& server : this->servers)
        newestTerm = std::max(newestTerm, server.term);
    found->isPrimary = true;
    found->term = newestTerm + 1;
    found->pausedForTerm = 0;
    this->stateCondition.notify_all();
    return 200;
}

void LineProtocolGroup::crash(size_t index)
{
    std::unique_ptr<TcpListener> stoppedListener;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->servers[index].isRunning = false;
        ++this->servers[index].generation;
        stoppedListener = std::move(this->servers[index].listener);
        this->stateCondition.notify_all();
    }
    if (stoppedListener)
        stoppedListener->stop();
}

void LineProtocolGroup::restart(size_t index)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    Server& server = this->servers[index];
    if (server.isRunning)
        return;
    server.isRunning = true;
    server.pausedForTerm = 0;
    // A crashed primary restarts as a replica if another server has been promoted.
    for (const Server& other : this->servers) {
        if (other.term > server.term)
            server.isPrimary = false;
    }
    server.listener
        = std::make_unique<TcpListener>(server.port, [this, index](boost::asio::ip::tcp::socket& socket) { this->serve(index, socket); });
}

void LineProtocolGroup::setUnresponsive(size_t server, bool isSilent)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->servers[server].isUnresponsive = isSilent;
    this->stateCondition.notify_all();
}

void LineProtocolGroup::setDraining(size_t server, bool isDraining)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->servers[server].isDraining = isDraining;
}

void LineProtocolGroup::setApplyDelay(size_t server, std::chrono::milliseconds delay)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->servers[server].applyDelay = delay;
}

void LineProtocolGroup::setReplicationBlocked(size_t server, bool isBlocked)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->servers[server].isReplicationBlocked = isBlocked;
    this->stateCondition.notify_all();
}

void LineProtocolGroup::setLostReplyShare(double share)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->lostReplyShare = share;
}

std::optional<size_t> LineProtocolGroup::primary()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::optional<size_t> newest;
    for (size_t index = 0; index < this->servers.size(); ++index) {
        const Server& server = this->servers[index];
        if (server.isPrimary && server.isRunning && (!newest || this->servers[*newest].term < server.term))
            newest = index;
    }
    return newest;
}

std::vector<CommittedWrite> LineProtocolGroup::primaryLog()
{
    const std::optional<size_t> index = this->primary();
    const std::lock_guard<std::mutex> lock(this->mutex);
    return index ? this->servers[*index].log : std::vector<CommittedWrite> {};
}

size_t LineProtocolGroup::connectionCount(size_t server)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->servers[server].connectionCount;
}

std::string LineProtocolGroup::receivedBytes()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->receivedData;
}

void LineProtocolGroup::serve(size_t index, boost::asio::ip::tcp::socket& socket)
{
    Connection connection;
    connection.serverIndex = index;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        Server& server = this->servers[index];
        if (server.connectionCount >= maxConnections)
            return;
        ++server.connectionCount;
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
        const bool mayContinue = this->handleLine(connection, line, out);
        if (!out.empty())
            boost::asio::write(socket, boost::asio::buffer(out), code);
        if (!mayContinue || code)
            break;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    --this->servers[index].connectionCount;
}

bool LineProtocolGroup::handleLine(Connection& connection, const std::string& line, std::string& out)
{
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->receivedData += line + "\n";
        while (this->servers[connection.serverIndex].isUnresponsive && !this->isStopping)
            this->stateCondition.wait_for(lock, pollInterval);
        if (this->isStopping || this->servers[connection.serverIndex].generation != connection.generation)
            return false;
    }
    std::string rest = line;
    const std::string word = takeWord(rest);
    if (word == "START")
        return this->handleStart(connection, rest, out);
    if (word != "QUERY" || !connection.isStarted)
        return false;
    const std::string id = takeWord(rest);
    return this->handleQuery(connection, id, rest, out);
}

bool LineProtocolGroup::handleStart(Connection& connection, const std::string& rest, std::string& out)
{
    std::string fields = rest;
    const std::string service = takeWord(fields);
    connection.organisation = takeWord(fields);
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (service != this->serviceName || (!fields.empty() && fields != this->servers[connection.serverIndex].id)) {
        out = "ERROR MISROUTED " + this->servers[connection.serverIndex].id + "\r\n";
        return false;
    }
    connection.isStarted = true;
    this->writeReady(connection, out);
    return true;
}

size_t LineProtocolGroup::appliedCount(const Server& server) const
{
    if (server.isPrimary)
        return server.log.size();
    const auto now = Clock::now();
    size_t count = 0;
    while (count < server.log.size() && server.receivedAt[count] + server.applyDelay <= now)
        ++count;
    return count;
}

void LineProtocolGroup::writeReady(Connection& connection, std::string& out)
{
    const Server& server = this->servers[connection.serverIndex];
    out += std::string("READY ") + connection.transactionState + " " + std::to_string(server.term) + "."
        + std::to_string(this->appliedCount(server)) + "\r\n";
}

std::string LineProtocolGroup::statusRow(const Server& server) const
{
    std::ostringstream out;
    out << "ROW " << (server.isPrimary ? "primary" : "replica") << " " << server.term << " " << server.term << "." << server.log.size()
        << " " << server.pausedForTerm << " 0 0 " << server.connectionCount << "\r\nDONE -\r\n";
    return out.str();
}

void LineProtocolGroup::recordStatement(Connection& connection, const std::string& id, const std::string& text)
{
    if (id != "-")
        this->statementListener({ this->servers[connection.serverIndex].id, connection.organisation, id, text, connection.sessionValues,
            std::chrono::steady_clock::now() });
}

std::string LineProtocolGroup::newDigest(const Server& server, const std::string& id)
{
    return server.id + "." + id + "." + std::to_string(this->random());
}

void LineProtocolGroup::replicate()
{
    const Server* primary = nullptr;
    for (const Server& server : this->servers) {
        if (server.isPrimary && server.isRunning && (!primary || primary->term < server.term))
            primary = &server;
    }
    if (!primary)
        return;
    for (Server& replica : this->servers) {
        if (&replica == primary || !replica.isRunning || replica.isReplicationBlocked || replica.pausedForTerm > 0
            || (replica.isPrimary && replica.term >= primary->term))
            continue;
        if (replica.isPrimary)
            continue;
        // Rolls back the entries of the replica that diverge from the primary's log.
        size_t common = 0;
        while (common < replica.log.size() && common < primary->log.size()
            && replica.log[common].requestId == primary->log[common].requestId && replica.log[common].item == primary->log[common].item)
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

void LineProtocolGroup::runRead(
    Connection& connection, const std::string& id, const std::string& text, const std::string& item, std::string& out)
{
    const Server& server = this->servers[connection.serverIndex];
    this->recordStatement(connection, id, text);
    std::string data = "0";
    const size_t applied = this->appliedCount(server);
    for (size_t index = 0; index < applied; ++index) {
        if (server.log[index].item == item)
            data = server.log[index].data;
    }
    for (const CommittedWrite& entry : connection.pendingWrites) {
        if (entry.item == item)
            data = entry.data;
    }
    out += "ROW " + data + "\r\nDONE " + this->newDigest(server, id) + "\r\n";
}

bool LineProtocolGroup::commitWrites(Connection& connection, const std::string& id, std::vector<CommittedWrite> writes, std::string& out)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    Server& server = this->servers[connection.serverIndex];
    for (CommittedWrite& entry : writes) {
        entry.term = server.term;
        entry.position = server.log.size() + 1;
        server.log.push_back(entry);
        server.receivedAt.push_back(Clock::now());
    }
    const size_t end = server.log.size();
    const uint64_t term = server.term;
    const auto deadline = Clock::now() + commitTimeout;
    // A commit is acknowledged once one replica has received it.
    while (!this->isStopping && Clock::now() < deadline && !writes.empty()) {
        this->replicate();
        const bool isReplicated = std::any_of(this->servers.begin(), this->servers.end(), [&](const Server& replica) {
            return &replica != &server && replica.isRunning && replica.term == term && replica.log.size() >= end
                && replica.pausedForTerm == 0;
        });
        if (isReplicated)
            break;
        if (!server.isPrimary || server.term != term || server.generation != connection.generation)
            return false;
        this->stateCondition.wait_for(lock, pollInterval);
    }
    if (Clock::now() >= deadline)
        return false;
    if (std::uniform_real_distribution<double>(0, 1)(this->random) < this->lostReplyShare)
        return false;
    out += "DONE " + this->newDigest(server, id) + "\r\n";
    connection.pendingWrites.clear();
    connection.transactionState = 'I';
    this->writeReady(connection, out);
    return true;
}

bool LineProtocolGroup::handleQuery(Connection& connection, const std::string& id, std::string text, std::string& out)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    Server& server = this->servers[connection.serverIndex];
    this->replicate();
    const std::string fullText = text;
    std::string word = takeWord(text);
    const auto refuse = [&](const std::string& code) {
        if (connection.transactionState == 'T')
            connection.transactionState = 'E';
        out += "ERROR " + code + " " + server.id + "\r\n";
        this->writeReady(connection, out);
        return true;
    };
    const auto replyDone = [&] {
        out += "DONE -\r\n";
        this->writeReady(connection, out);
        return true;
    };
    std::string statementText = fullText;
    if (word == "AFTER") {
        const std::string position = takeWord(text);
        const size_t dot = position.find('.');
        const uint64_t term = std::stoull(position.substr(0, dot));
        if (server.term < term || (server.term == term && this->appliedCount(server) < std::stoull(position.substr(dot + 1))))
            return refuse("LAGGING");
        statementText = text;
        word = takeWord(text);
    }
    if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "DEMOTE") {
        const uint64_t term = text.empty() ? 0 : std::stoull(text);
        if (word == "PAUSE" && !server.isPrimary && term > server.term)
            server.pausedForTerm = term;
        if (word == "RESUME")
            server.pausedForTerm = 0;
        if (word == "DEMOTE" && server.isPrimary && server.term < term)
            server.isPrimary = false;
        this->stateCondition.notify_all();
        out += this->statusRow(server);
        this->writeReady(connection, out);
        return true;
    }
    if (word == "RESET") {
        connection.sessionValues.clear();
        connection.preparedStatements.clear();
        return replyDone();
    }
    if (word == "SET") {
        const std::string name = takeWord(text);
        connection.sessionValues[name] = text;
        return replyDone();
    }
    if (word == "PREPARE") {
        const std::string name = takeWord(text);
        const bool writes = takeWord(text) == "WRITE";
        connection.preparedStatements[name] = { writes, text };
        return replyDone();
    }
    if (word == "ROLLBACK") {
        connection.transactionState = 'I';
        connection.pendingWrites.clear();
        return replyDone();
    }
    if (word == "BEGIN") {
        connection.isReadOnly = text == "READ";
        if (!connection.isReadOnly && !server.isPrimary)
            return refuse("READONLY");
        connection.transactionState = 'T';
        connection.transactionTerm = server.term;
        return replyDone();
    }
    if (connection.transactionState == 'E')
        return refuse("MALFORMED");
    if (connection.transactionState == 'T' && !connection.isReadOnly && (!server.isPrimary || server.term != connection.transactionTerm))
        return refuse("READONLY");
    bool writes = word == "WRITE";
    std::string statementTemplate;
    if (word == "EXECUTE") {
        const std::string name = takeWord(text);
        const auto found = connection.preparedStatements.find(name);
        if (found == connection.preparedStatements.end())
            return refuse("NOSTMT");
        writes = found->second.first;
        statementTemplate = found->second.second;
        statementText = "EXECUTE " + statementTemplate + " " + text;
    }
    if (word == "COMMIT") {
        this->recordStatement(connection, id, "COMMIT");
        std::vector<CommittedWrite> pending = connection.pendingWrites;
        lock.unlock();
        return this->commitWrites(connection, id, std::move(pending), out);
    }
    const std::string item = takeWord(text);
    if (!writes) {
        this->runRead(connection, id, statementText, item, out);
        if (std::uniform_real_distribution<double>(0, 1)(this->random) < this->lostReplyShare)
            return false;
        this->writeReady(connection, out);
        return true;
    }
    if (!server.isPrimary || connection.isReadOnly)
        return refuse("READONLY");
    this->recordStatement(connection, id, statementText);
    const CommittedWrite entry { server.term, 0, id, item, text };
    if (connection.transactionState == 'T') {
        connection.pendingWrites.push_back(entry);
        out += "DONE " + this->newDigest(server, id) + "\r\n";
        this->writeReady(connection, out);
        return true;
    }
    lock.unlock();
    return this->commitWrites(connection, id, { entry }, out);
}

}

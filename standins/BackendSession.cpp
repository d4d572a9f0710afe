#include "standins/BackendSession.h"

#include "standins/BackendStandin.h"
#include "standins/PlatformFunctions.h"

#include <array>
#include <boost/algorithm/string.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

namespace foxtail::standins {

namespace {

    // Codes in the start-up packet: protocol version 3.0 (3 << 16), CancelRequest, SSLRequest and GSSENCRequest.
    constexpr uint32_t protocolVersion3 = 196608;
    constexpr uint32_t cancelRequest = 80877102;
    constexpr uint32_t sslRequest = 80877103;
    constexpr uint32_t gssEncryptionRequest = 80877104;
    constexpr uint32_t textTypeOid = 25;
    constexpr uint32_t nullLength = 0xffffffff;
    constexpr std::chrono::milliseconds pollInterval { 5 };

    constexpr std::array<std::array<const char*, 2>, 5> serverParameters { {
        { "server_version", "15.0" },
        { "server_encoding", "UTF8" },
        { "client_encoding", "UTF8" },
        { "standard_conforming_strings", "on" },
        { "DateStyle", "ISO, MDY" },
    } };

    std::string firstWord(const std::string& sql)
    {
        const size_t start = std::min(sql.find_first_not_of(" \t\r\n"), sql.size());
        const size_t stop = std::min(sql.find_first_of(" \t\r\n;(", start), sql.size());
        return boost::algorithm::to_upper_copy(sql.substr(start, stop - start));
    }

    std::string commandTag(const std::string& keyword, const StatementOutcome& outcome)
    {
        if (keyword == "INSERT" || keyword == "REPLACE")
            return "INSERT 0 " + std::to_string(outcome.changedRows);
        if (keyword == "UPDATE" || keyword == "DELETE")
            return keyword + " " + std::to_string(outcome.changedRows);
        return outcome.columns.empty() ? keyword : "SELECT " + std::to_string(outcome.rows.size());
    }

    StatementOutcome tagOnly(const char* tag) { return { {}, {}, 0, tag }; }

}

BackendSession::BackendSession(BackendStandin& standin, boost::asio::ip::tcp::socket& clientSocket)
    : server(standin)
    , socket(clientSocket)
{
}

BackendSession::~BackendSession()
{
    if (this->isRegistered)
        this->server.unregisterSession(*this);
    this->server.replicatedDatabase().endSession(this->sqlTransaction);
}

void BackendSession::serve()
{
    try {
        if (!this->startUp())
            return;
        while (!this->isClosing) {
            const auto message = readMessage(this->socket);
            // Data that was received before the connection ended can still be read, so hasEnded is checked too.
            if (!message || this->hasEnded || message->type == 'X')
                return;
            this->handleMessage(*message);
        }
    } catch (const ProtocolError& protocolError) {
        this->writeError("FATAL", "08P01", protocolError.what());
        this->sendOutput();
    }
}

void BackendSession::end()
{
    this->hasEnded = true;
    this->server.replicatedDatabase().endSession(this->sqlTransaction);
    ::shutdown(this->socket.native_handle(), SHUT_RDWR);
}

void BackendSession::sleep(std::chrono::milliseconds duration)
{
    const auto deadline = std::chrono::steady_clock::now() + duration;
    while (!this->hasEnded && std::chrono::steady_clock::now() < deadline && !this->hasPeerDisconnected())
        std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(pollInterval, deadline - std::chrono::steady_clock::now()));
}

bool BackendSession::startUp()
{
    while (const auto packet = readStartupPacket(this->socket)) {
        WireReader reader(packet->body);
        const uint32_t code = reader.int32();
        if (code == sslRequest || code == gssEncryptionRequest) {
            this->output.byte('N');
            this->sendOutput();
            continue;
        }
        if (code == cancelRequest)
            return false;
        if (code != protocolVersion3)
            throw ProtocolError("unsupported protocol version " + std::to_string(code));
        this->readStartupParameters(reader);
        try {
            this->server.registerSession(*this);
            this->isRegistered = true;
        } catch (const SqlError& refusal) {
            this->writeError("FATAL", refusal.state(), refusal.what());
            this->sendOutput();
            return false;
        }
        this->sendStartupResponse();
        return true;
    }
    return false;
}

void BackendSession::readStartupParameters(WireReader& reader)
{
    for (std::string name = reader.text(); !name.empty(); name = reader.text()) {
        const std::string value = reader.text();
        if (name == "application_name")
            this->applicationName = value;
    }
    std::vector<std::string> parts;
    boost::algorithm::split(parts, this->applicationName, [](char character) { return character == '/'; });
    if (parts[0] != "foxtail" || parts.size() < 2)
        return;
    this->vmName = parts[1];
    if (parts.size() < 3)
        return;
    uint64_t number = 0;
    const char* last = parts[2].data() + parts[2].size();
    const auto parsed = std::from_chars(parts[2].data(), last, number);
    if (parsed.ec != std::errc() || parsed.ptr != last)
        throw ProtocolError("the epoch in application_name is not a number");
    this->claimEpoch = number;
}

void BackendSession::sendStartupResponse()
{
    this->output.begin('R').int32(0).end();
    for (const auto& [name, value] : serverParameters)
        this->output.begin('S').text(name).text(value).end();
    this->output.begin('K').int32(1).int32(1).end();
    this->writeReadyForQuery();
    this->sendOutput();
}

void BackendSession::handleMessage(const WireMessage& message)
{
    static constexpr std::array<MessageHandlerEntry, 8> table { {
        { 'Q', &BackendSession::simpleQuery },
        { 'P', &BackendSession::parse },
        { 'B', &BackendSession::bind },
        { 'D', &BackendSession::describe },
        { 'E', &BackendSession::execute },
        { 'C', &BackendSession::closeStatementOrPortal },
        { 'S', &BackendSession::sync },
        { 'H', &BackendSession::flush },
    } };
    if (this->isSkippingUntilSync && message.type != 'S')
        return;
    for (const MessageHandlerEntry& row : table) {
        if (row.type != message.type)
            continue;
        WireReader reader(message.body);
        try {
            (this->*row.handler)(reader);
        } catch (const SqlError& error) {
            this->server.replicatedDatabase().abort(this->sqlTransaction);
            this->writeError("ERROR", error.state(), error.what());
            this->isSkippingUntilSync = message.type != 'Q';
            if (message.type == 'Q') {
                this->writeReadyForQuery();
                this->sendOutput();
            }
        }
        return;
    }
    throw ProtocolError("unknown message type");
}

void BackendSession::simpleQuery(WireReader& reader)
{
    Portal portal { reader.text(), {}, std::nullopt };
    if (portal.sql.find_first_not_of(" \t\r\n;") == std::string::npos) {
        this->output.emptyMessage('I');
    } else {
        const StatementOutcome& outcome = this->runPortal(portal);
        if (!outcome.columns.empty())
            this->writeRowDescription(outcome);
        this->writeRows(outcome);
    }
    this->writeReadyForQuery();
    this->sendOutput();
}

void BackendSession::parse(WireReader& reader)
{
    const std::string name = reader.text();
    this->statements[name] = reader.text();
    this->output.emptyMessage('1');
}

void BackendSession::bind(WireReader& reader)
{
    const std::string portalName = reader.text();
    const std::string statementName = reader.text();
    const auto statement = this->statements.find(statementName);
    if (statement == this->statements.end())
        throw SqlError("26000", "there is no prepared statement of this name");
    bool isText = true;
    for (uint16_t count = reader.int16(); count; --count)
        isText = !reader.int16() && isText;
    Portal portal { statement->second, {}, std::nullopt };
    for (uint16_t count = reader.int16(); count; --count) {
        const uint32_t length = reader.int32();
        portal.parameters.push_back(length == nullLength ? SqlValue() : SqlValue(reader.bytes(length)));
    }
    for (uint16_t count = reader.int16(); count; --count)
        isText = !reader.int16() && isText;
    if (!isText)
        throw SqlError("0A000", "only the text format is supported");
    this->portals[portalName] = std::move(portal);
    this->output.emptyMessage('2');
}

void BackendSession::describe(WireReader& reader)
{
    const bool isPortal = reader.bytes(1) == "P";
    const auto portal = this->portals.find(reader.text());
    if (!isPortal || portal == this->portals.end())
        throw SqlError("0A000", "only existing portals can be described");
    // The columns of a statement are known only after it has run.
    const StatementOutcome& outcome = this->runPortal(portal->second);
    if (outcome.columns.empty())
        return this->output.emptyMessage('n');
    this->writeRowDescription(outcome);
}

void BackendSession::execute(WireReader& reader)
{
    const auto portal = this->portals.find(reader.text());
    if (portal == this->portals.end())
        throw SqlError("34000", "there is no portal of this name");
    this->writeRows(this->runPortal(portal->second));
    this->portals.erase(portal);
}

void BackendSession::closeStatementOrPortal(WireReader& reader)
{
    const bool isPortal = reader.bytes(1) == "P";
    const std::string name = reader.text();
    isPortal ? this->portals.erase(name) : this->statements.erase(name);
    this->output.emptyMessage('3');
}

void BackendSession::sync(WireReader&)
{
    this->isSkippingUntilSync = false;
    this->portals.clear();
    this->writeReadyForQuery();
    this->sendOutput();
}

void BackendSession::flush(WireReader&) { this->sendOutput(); }

const StatementOutcome& BackendSession::runPortal(Portal& portal)
{
    if (!portal.outcome)
        portal.outcome = this->runStatement(portal.sql, portal.parameters);
    return *portal.outcome;
}

StatementOutcome BackendSession::runStatement(const std::string& sql, const std::vector<SqlValue>& parameters)
{
    const std::string keyword = firstWord(sql);
    if (auto outcome = this->runControlStatement(keyword, sql))
        return std::move(*outcome);
    this->server.replicatedDatabase().checkCanRun(this->sqlTransaction);
    std::optional<StatementOutcome> called = callPlatformFunction(*this, sql, parameters);
    StatementOutcome outcome = called ? std::move(*called) : this->runOnTables(sql, parameters);
    outcome.tag = commandTag(keyword, outcome);
    return outcome;
}

std::optional<StatementOutcome> BackendSession::runControlStatement(const std::string& keyword, const std::string& sql)
{
    ReplicatedDatabase& database = this->server.replicatedDatabase();
    if (keyword == "BEGIN" || keyword == "START") {
        database.begin(this->sqlTransaction, boost::algorithm::icontains(sql, "READ ONLY"));
        return tagOnly("BEGIN");
    }
    if (keyword == "COMMIT" || keyword == "END") {
        const bool hasCommitted = database.commit(this->sqlTransaction);
        this->applyDeferredDelay();
        if (hasCommitted && this->server.shouldLoseCommit())
            this->end();
        return tagOnly(hasCommitted ? "COMMIT" : "ROLLBACK");
    }
    if (keyword == "ROLLBACK" || keyword == "ABORT") {
        database.rollback(this->sqlTransaction);
        this->applyDeferredDelay();
        return tagOnly("ROLLBACK");
    }
    // Session settings are accepted and ignored.
    if (keyword == "SET")
        return tagOnly("SET");
    return std::nullopt;
}

StatementOutcome BackendSession::runOnTables(const std::string& sql, const std::vector<SqlValue>& parameters)
{
    // The delay simulates work that does not lock the whole database, so a transaction with the write lock applies it after its end.
    const std::chrono::milliseconds delay = this->server.statementDelay();
    if (this->server.replicatedDatabase().holdsWriteLock(this->sqlTransaction)) {
        this->deferredDelay += delay;
    } else {
        this->sleep(delay);
    }
    return this->server.replicatedDatabase().execute(this->sqlTransaction, sql, parameters);
}

void BackendSession::applyDeferredDelay()
{
    this->sleep(this->deferredDelay);
    this->deferredDelay = std::chrono::milliseconds(0);
}

void BackendSession::writeRowDescription(const StatementOutcome& outcome)
{
    this->output.begin('T').int16(static_cast<uint16_t>(outcome.columns.size()));
    for (const std::string& column : outcome.columns)
        this->output.text(column).int32(0).int16(0).int32(textTypeOid).int16(0xffff).int32(nullLength).int16(0);
    this->output.end();
}

void BackendSession::writeRows(const StatementOutcome& outcome)
{
    for (const auto& row : outcome.rows) {
        this->output.begin('D').int16(static_cast<uint16_t>(row.size()));
        for (const SqlValue& value : row) {
            this->output.int32(value ? static_cast<uint32_t>(value->size()) : nullLength).bytes(value.value_or(""));
        }
        this->output.end();
    }
    this->output.begin('C').text(outcome.tag).end();
}

void BackendSession::writeError(const std::string& severity, const std::string& state, const std::string& message)
{
    this->output.begin('E')
        .byte('S')
        .text(severity)
        .byte('V')
        .text(severity)
        .byte('C')
        .text(state)
        .byte('M')
        .text(message)
        .byte('\0')
        .end();
}

void BackendSession::writeReadyForQuery()
{
    this->output.begin('Z').byte(this->server.replicatedDatabase().statusLetter(this->sqlTransaction)).end();
}

void BackendSession::sendOutput()
{
    while (!this->hasEnded && this->server.isSilentFor(*this)) {
        if (this->hasPeerDisconnected()) {
            this->isClosing = true;
            return;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    const std::string bytes = this->output.takeBuffer();
    boost::system::error_code error;
    if (!this->hasEnded)
        boost::asio::write(this->socket, boost::asio::buffer(bytes), error);
    this->isClosing = this->isClosing || error || this->hasEnded;
}

bool BackendSession::hasPeerDisconnected()
{
    pollfd descriptor { this->socket.native_handle(), POLLRDHUP, 0 };
    return poll(&descriptor, 1, 0) > 0;
}

}

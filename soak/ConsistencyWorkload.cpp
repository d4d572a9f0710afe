#include "soak/ConsistencyWorkload.h"

#include <algorithm>
#include <array>

namespace foxtail::soak {

namespace {

    constexpr std::array<const char*, 3> databases { "strict", "own", "bounded" };
    constexpr std::chrono::milliseconds boundedStaleness { 1500 };
    constexpr std::chrono::milliseconds failureRetryDelay { 30 };
    constexpr size_t statementsPerSession = 40;

    // Returns whether the error code guarantees that the statement had no effect.
    bool guaranteesNoEffect(const std::string& error)
    {
        constexpr std::array<const char*, 8> codes { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY", "NOAUTH", "NODB" };
        return std::find(codes.begin(), codes.end(), error) != codes.end();
    }

}

struct ConsistencyWorkload::Session {
    std::mt19937 random;
    size_t callerIndex = 0;
    size_t openedCount = 0;
    size_t statementCount = 0;
    std::string idPrefix;
    std::string database;
    std::unique_ptr<fleet::Caller> connection;
    Item item;
    // The highest number whose write was acknowledged to this session.
    uint64_t lastAcknowledgedNumber = 0;
};

ConsistencyWorkload::ConsistencyWorkload(fleet::Fleet& fleet, size_t callers, uint32_t seed)
    : fleet(fleet)
{
    for (size_t index = 0; index < callers; ++index)
        this->threads.emplace_back([this, index, seed] { this->runCaller(index, seed); });
}

ConsistencyWorkload::~ConsistencyWorkload() { this->stop(); }

void ConsistencyWorkload::stop()
{
    this->isStopping = true;
    for (std::thread& thread : this->threads)
        thread.join();
    this->threads.clear();
}

void ConsistencyWorkload::recordViolation(const std::string& text)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->recordedViolations.push_back(text);
}

std::vector<std::string> ConsistencyWorkload::violations()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->recordedViolations;
}

std::string ConsistencyWorkload::newRequestId(Session& session)
{
    return session.idPrefix + "-" + std::to_string(++session.statementCount);
}

void ConsistencyWorkload::runCaller(size_t index, uint32_t seed)
{
    Session session;
    session.random.seed(seed * 1000 + static_cast<uint32_t>(index));
    session.callerIndex = index;
    while (!this->isStopping) {
        if (!session.connection || session.statementCount > statementsPerSession)
            this->openSession(session);
        if (session.connection)
            this->runNextOperation(session);
        else
            std::this_thread::sleep_for(failureRetryDelay);
    }
}

void ConsistencyWorkload::openSession(Session& session)
{
    session.connection.reset();
    session.idPrefix = "c" + std::to_string(session.callerIndex) + "s" + std::to_string(++session.openedCount);
    session.statementCount = 0;
    session.lastAcknowledgedNumber = 0;
    session.database = databases[session.random() % databases.size()];
    session.item = Item { "i" + session.idPrefix, 1, {} };
    auto connection = std::make_unique<fleet::Caller>(this->fleet.callerPort(session.random() % this->fleet.vmCount()));
    if (!connection->isConnected() || !connection->start(session.database, "key-of-orga").succeeded())
        return;
    const std::map<std::string, std::string> values { { "session", session.idPrefix } };
    {
        // Recorded before the statement is sent: a server may use the values before the reply arrives.
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sessionValues[session.idPrefix] = values;
    }
    if (connection->query(this->newRequestId(session), "SET session " + session.idPrefix).succeeded()
        && connection->query(this->newRequestId(session), "PREPARE s WRITE shape" + session.idPrefix).succeeded())
        session.connection = std::move(connection);
}

void ConsistencyWorkload::runNextOperation(Session& session)
{
    const uint32_t choice = session.random() % 10;
    if (choice < 4)
        this->write(session);
    else if (choice < 8)
        this->read(session);
    else
        this->runTransaction(session);
}

void ConsistencyWorkload::recordWriteOutcome(
    Session& session, const fleet::Reply& reply, const std::vector<std::string>& ids, uint64_t number)
{
    const auto now = Clock::now();
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (reply.succeeded()) {
        ++this->succeededCount;
        this->acknowledgedIds.insert(ids.begin(), ids.end());
        session.item.acknowledgedWrites.push_back({ now, number });
        session.lastAcknowledgedNumber = number;
        return;
    }
    ++this->failedCount;
    if (!reply.isConnectionLost && guaranteesNoEffect(reply.error))
        this->idsWithoutEffect.insert(ids.begin(), ids.end());
    else
        // The write may take effect after a later one, so the session ends and its item is not written again.
        session.statementCount = statementsPerSession + 1;
}

void ConsistencyWorkload::write(Session& session)
{
    const uint64_t number = session.item.nextNumber++;
    const std::string id = this->newRequestId(session);
    const bool usesPreparedStatement = session.random() % 2 == 0;
    const std::string arguments = session.item.name + " " + std::to_string(number);
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sentTexts[id] = (usesPreparedStatement ? "EXECUTE shape" + session.idPrefix : "WRITE") + " " + arguments;
    }
    const fleet::Reply reply = session.connection->query(id, (usesPreparedStatement ? "EXECUTE s " : "WRITE ") + arguments);
    this->recordWriteOutcome(session, reply, { id }, number);
    if (reply.isConnectionLost)
        session.connection.reset();
    else if (!reply.succeeded())
        std::this_thread::sleep_for(failureRetryDelay);
}

void ConsistencyWorkload::read(Session& session)
{
    const auto startedAt = Clock::now();
    uint64_t minimumNumber = 0;
    for (const AcknowledgedWrite& each : session.item.acknowledgedWrites) {
        if (session.database != "bounded" || each.acknowledgedAt + boundedStaleness < startedAt)
            minimumNumber = std::max(minimumNumber, each.number);
    }
    const std::string id = this->newRequestId(session);
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sentTexts[id] = "READ " + session.item.name;
    }
    const fleet::Reply reply = session.connection->query(id, "READ " + session.item.name);
    if (reply.isConnectionLost) {
        session.connection.reset();
        return;
    }
    if (!reply.succeeded()) {
        ++this->failedCount;
        std::this_thread::sleep_for(failureRetryDelay);
        return;
    }
    ++this->succeededCount;
    if (reply.rows.size() != 1 || reply.digest == "-" || reply.digest.find(id) == std::string::npos)
        this->recordViolation("mixed: " + id + " received the reply of another statement: " + reply.digest);
    else if (std::stoull(reply.rows.front()) < minimumNumber)
        this->recordViolation("stale: " + id + " on " + session.database + " returned " + reply.rows.front() + "; expected at least "
            + std::to_string(minimumNumber));
}

void ConsistencyWorkload::runTransaction(Session& session)
{
    fleet::Caller& caller = *session.connection;
    if (!caller.query(this->newRequestId(session), "BEGIN").succeeded()) {
        session.connection.reset();
        return;
    }
    const uint64_t number = session.item.nextNumber++;
    std::vector<std::string> ids;
    bool hasSucceeded = true;
    for (int count = 0; count < 2 && hasSucceeded; ++count) {
        const std::string id = this->newRequestId(session);
        const std::string text = "WRITE " + session.item.name + (count == 0 ? "x " : " ") + std::to_string(number);
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->sentTexts[id] = text;
        }
        const fleet::Reply reply = caller.query(id, text);
        hasSucceeded = reply.succeeded();
        ids.push_back(id);
        if (!hasSucceeded)
            this->recordWriteOutcome(session, reply, ids, number);
    }
    if (!hasSucceeded || session.random() % 4 == 0) {
        // A transaction that was rolled back must have no effect.
        const fleet::Reply rollbackReply = caller.query(this->newRequestId(session), "ROLLBACK");
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (rollbackReply.succeeded())
            this->idsWithoutEffect.insert(ids.begin(), ids.end());
        if (rollbackReply.isConnectionLost)
            session.connection.reset();
        return;
    }
    const std::string id = this->newRequestId(session);
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sentTexts[id] = "COMMIT";
    }
    const fleet::Reply reply = caller.query(id, "COMMIT");
    this->recordWriteOutcome(session, reply, ids, number);
    if (reply.isConnectionLost)
        session.connection.reset();
}

void ConsistencyWorkload::checkHistory()
{
    // Every statement that a server ran must be one that a caller sent, unchanged, for its organisation and with its session's values.
    for (const standins::StatementRecord& record : this->fleet.records()) {
        // The reads of the recovery check belong to no session.
        if (record.requestId == recoveryRequestId)
            continue;
        const std::string prefix = record.requestId.substr(0, record.requestId.find('-'));
        const auto sent = this->sentTexts.find(record.requestId);
        if (sent == this->sentTexts.end() || sent->second != record.text)
            this->recordViolation("unasked: " + record.requestId + " ran as \"" + record.text + "\"");
        if (record.organisation != "orga")
            this->recordViolation("unasked: " + record.requestId + " ran for " + record.organisation);
        if (record.sessionValues != this->sessionValues[prefix])
            this->recordViolation("pinned: " + record.requestId + " ran with session values that are not its own");
    }
    // Counts how often each write took effect in the log of the primary.
    std::map<std::string, size_t> effectCounts;
    for (const standins::CommittedWrite& entry : this->fleet.group().primaryLog())
        ++effectCounts[entry.requestId];
    for (const auto& [id, count] : effectCounts) {
        if (count > 1)
            this->recordViolation("twice: " + id + " took effect " + std::to_string(count) + " times");
        if (this->idsWithoutEffect.count(id) > 0)
            this->recordViolation("refused: " + id + " took effect although its error guaranteed that it had not run");
    }
    for (const std::string& id : this->acknowledgedIds) {
        if (effectCounts.count(id) == 0)
            this->recordViolation("lost: " + id + " was acknowledged but is missing from the log");
    }
    // Fencing tokens of promotion orders must not decrease, and each token must belong to one holder.
    uint64_t highestToken = 0;
    std::map<uint64_t, std::string> holderByToken;
    for (const standins::PromotionOrder& order : this->fleet.store().promotionOrders()) {
        if (order.fencingToken < highestToken || holderByToken.emplace(order.fencingToken, order.holder).first->second != order.holder)
            this->recordViolation("one: " + order.holder + " sent a promotion order with the fencing token "
                + std::to_string(order.fencingToken) + " after " + std::to_string(highestToken));
        highestToken = std::max(highestToken, order.fencingToken);
    }
    if (this->fleet.group().receivedBytes().find("key-of") != std::string::npos)
        this->recordViolation("key: a backend server received a caller's key");
    if (this->fleet.logs().find("key-of") != std::string::npos)
        this->recordViolation("key: a log line contains a caller's key");
}

}

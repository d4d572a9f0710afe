#include "soak/ConsistencyWorkload.h"

#include <algorithm>
#include <array>

namespace foxtail::soak {

namespace {

    constexpr std::array<const char*, 3> databases { "strict", "own", "bounded" };
    constexpr std::chrono::milliseconds boundedStaleness { 1500 };
    constexpr std::chrono::milliseconds failureRetryDelay { 30 };
    constexpr size_t statementsPerSession = 40;

    // Words with which a VM promises that nothing is kept.
    bool guaranteesNoEffect(const std::string& error)
    {
        constexpr std::array<const char*, 8> words { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY", "NOAUTH", "NODB" };
        return std::find(words.begin(), words.end(), error) != words.end();
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
    // The newest number that this session was told of.
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
        // Known before the statement, as the values count once they are acknowledged.
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
        // The number may come into force later than the next one, so the item is left.
        session.statementCount = statementsPerSession + 1;
}

void ConsistencyWorkload::write(Session& session)
{
    const uint64_t number = session.item.nextNumber++;
    const std::string id = this->newRequestId(session);
    const bool executes = session.random() % 2 == 0;
    const std::string arguments = session.item.name + " " + std::to_string(number);
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sentTexts[id] = (executes ? "EXECUTE shape" + session.idPrefix : "WRITE") + " " + arguments;
    }
    const fleet::Reply reply = session.connection->query(id, (executes ? "EXECUTE s " : "WRITE ") + arguments);
    this->recordWriteOutcome(session, reply, { id }, number);
    if (reply.isConnectionLost)
        session.connection.reset();
    else if (!reply.succeeded())
        std::this_thread::sleep_for(failureRetryDelay);
}

void ConsistencyWorkload::read(Session& session)
{
    const auto begun = Clock::now();
    uint64_t least = 0;
    for (const AcknowledgedWrite& each : session.item.acknowledgedWrites) {
        if (session.database != "bounded" || each.acknowledgedAt + boundedStaleness < begun)
            least = std::max(least, each.number);
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
        this->recordViolation("mixed: " + id + " got the answer of another statement: " + reply.digest);
    else if (std::stoull(reply.rows.front()) < least)
        this->recordViolation(
            "stale: " + id + " on " + session.database + " read " + reply.rows.front() + " after " + std::to_string(least));
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
    bool intact = true;
    for (int count = 0; count < 2 && intact; ++count) {
        const std::string id = this->newRequestId(session);
        const std::string text = "WRITE " + session.item.name + (count == 0 ? "x " : " ") + std::to_string(number);
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->sentTexts[id] = text;
        }
        const fleet::Reply reply = caller.query(id, text);
        intact = reply.succeeded();
        ids.push_back(id);
        if (!intact)
            this->recordWriteOutcome(session, reply, ids, number);
    }
    if (!intact || session.random() % 4 == 0) {
        // Rolled back: nothing of it may be kept.
        const fleet::Reply ended = caller.query(this->newRequestId(session), "ROLLBACK");
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (ended.succeeded())
            this->idsWithoutEffect.insert(ids.begin(), ids.end());
        if (ended.isConnectionLost)
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
    // What the servers ran: only what a caller sent, unchanged, for its organisation, with its session's values.
    for (const standins::StatementRecord& record : this->fleet.records()) {
        // The probes after the faults belong to no session.
        if (record.requestId == recoveryRequestId)
            continue;
        const std::string prefix = record.requestId.substr(0, record.requestId.find('-'));
        const auto sent = this->sentTexts.find(record.requestId);
        if (sent == this->sentTexts.end() || sent->second != record.text)
            this->recordViolation("unasked: " + record.requestId + " ran as \"" + record.text + "\"");
        if (record.organisation != "orga")
            this->recordViolation("unasked: " + record.requestId + " ran for " + record.organisation);
        if (record.sessionValues != this->sessionValues[prefix])
            this->recordViolation("pinned: " + record.requestId + " ran with the values of another session");
    }
    // What the group holds.
    std::map<std::string, size_t> held;
    for (const standins::CommittedWrite& entry : this->fleet.group().primaryLog())
        ++held[entry.requestId];
    for (const auto& [id, count] : held) {
        if (count > 1)
            this->recordViolation("twice: " + id + " took effect " + std::to_string(count) + " times");
        if (this->idsWithoutEffect.count(id) > 0)
            this->recordViolation("refused: " + id + " took effect although its caller was told that it had not run");
    }
    for (const std::string& id : this->acknowledgedIds) {
        if (held.count(id) == 0)
            this->recordViolation("lost: " + id + " was acknowledged and is not in the log");
    }
    // Orders of promotion.
    uint64_t newest = 0;
    std::map<uint64_t, std::string> holders;
    for (const standins::PromotionOrder& order : this->fleet.store().promotionOrders()) {
        if (order.fencingToken < newest || holders.emplace(order.fencingToken, order.holder).first->second != order.holder)
            this->recordViolation("one: an order of " + order.holder + " with the number " + std::to_string(order.fencingToken) + " after "
                + std::to_string(newest));
        newest = std::max(newest, order.fencingToken);
    }
    if (this->fleet.group().receivedBytes().find("key-of") != std::string::npos)
        this->recordViolation("key: a backend server has received a caller's key");
    if (this->fleet.logs().find("key-of") != std::string::npos)
        this->recordViolation("key: a log line holds a caller's key");
}

}

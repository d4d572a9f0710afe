#include "soak/Promises.h"

#include <algorithm>
#include <array>

namespace foxtail::soak {

namespace {

    constexpr std::array<const char*, 3> databases { "strict", "own", "bounded" };
    constexpr std::chrono::milliseconds boundedStaleness { 1500 };
    constexpr std::chrono::milliseconds pauseAfterRefusal { 30 };
    constexpr size_t statementsPerSession = 40;

    // Words with which a VM promises that nothing is kept.
    bool promisesNothingKept(const std::string& error)
    {
        constexpr std::array<const char*, 8> words { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY", "NOAUTH", "NODB" };
        return std::find(words.begin(), words.end(), error) != words.end();
    }

}

struct Promises::Session {
    std::mt19937 random;
    size_t caller = 0;
    size_t opened = 0;
    size_t statements = 0;
    std::string prefix;
    std::string database;
    std::unique_ptr<fleet::Caller> connection;
    Item item;
    // The newest number that this session was told of.
    uint64_t ownNumber = 0;
};

Promises::Promises(fleet::Fleet& fleet, size_t callers, uint32_t seed)
    : fleet(fleet)
{
    for (size_t index = 0; index < callers; ++index)
        this->threads.emplace_back([this, index, seed] { this->run(index, seed); });
}

Promises::~Promises() { this->stop(); }

void Promises::stop()
{
    this->stopping = true;
    for (std::thread& thread : this->threads)
        thread.join();
    this->threads.clear();
}

void Promises::report(const std::string& text)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->brokenPromises.push_back(text);
}

std::vector<std::string> Promises::broken()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->brokenPromises;
}

std::string Promises::newId(Session& session) { return session.prefix + "-" + std::to_string(++session.statements); }

void Promises::run(size_t index, uint32_t seed)
{
    Session session;
    session.random.seed(seed * 1000 + static_cast<uint32_t>(index));
    session.caller = index;
    while (!this->stopping) {
        if (!session.connection || session.statements > statementsPerSession)
            this->openSession(session);
        if (session.connection)
            this->step(session);
        else
            std::this_thread::sleep_for(pauseAfterRefusal);
    }
}

void Promises::openSession(Session& session)
{
    session.connection.reset();
    session.prefix = "c" + std::to_string(session.caller) + "s" + std::to_string(++session.opened);
    session.statements = 0;
    session.ownNumber = 0;
    session.database = databases[session.random() % databases.size()];
    session.item = Item { "i" + session.prefix, 1, {} };
    auto connection = std::make_unique<fleet::Caller>(this->fleet.callerPort(session.random() % this->fleet.vmCount()));
    if (!connection->isConnected() || !connection->start(session.database, "key-of-orga").succeeded())
        return;
    const std::map<std::string, std::string> values { { "session", session.prefix } };
    {
        // Known before the statement, as the values count once they are acknowledged.
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sessionValues[session.prefix] = values;
    }
    if (connection->query(this->newId(session), "SET session " + session.prefix).succeeded()
        && connection->query(this->newId(session), "PREPARE s WRITE shape" + session.prefix).succeeded())
        session.connection = std::move(connection);
}

void Promises::step(Session& session)
{
    const uint32_t choice = session.random() % 10;
    if (choice < 4)
        this->write(session);
    else if (choice < 8)
        this->read(session);
    else
        this->transact(session);
}

void Promises::noteWrite(Session& session, const fleet::Reply& reply, const std::vector<std::string>& ids, uint64_t number)
{
    const auto now = Clock::now();
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (reply.succeeded()) {
        ++this->servedCount;
        this->acknowledgedIds.insert(ids.begin(), ids.end());
        session.item.acknowledged.push_back({ now, number });
        session.ownNumber = number;
        return;
    }
    ++this->refusedCount;
    if (!reply.broken && promisesNothingKept(reply.error))
        this->refusedIds.insert(ids.begin(), ids.end());
    else
        // The number may come into force later than the next one, so the item is left.
        session.statements = statementsPerSession + 1;
}

void Promises::write(Session& session)
{
    const uint64_t number = session.item.next++;
    const std::string id = this->newId(session);
    const bool executes = session.random() % 2 == 0;
    const std::string arguments = session.item.name + " " + std::to_string(number);
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sentTexts[id] = (executes ? "EXECUTE shape" + session.prefix : "WRITE") + " " + arguments;
    }
    const fleet::Reply reply = session.connection->query(id, (executes ? "EXECUTE s " : "WRITE ") + arguments);
    this->noteWrite(session, reply, { id }, number);
    if (reply.broken)
        session.connection.reset();
    else if (!reply.succeeded())
        std::this_thread::sleep_for(pauseAfterRefusal);
}

void Promises::read(Session& session)
{
    const auto begun = Clock::now();
    uint64_t least = 0;
    for (const Acknowledged& each : session.item.acknowledged) {
        if (session.database != "bounded" || each.at + boundedStaleness < begun)
            least = std::max(least, each.number);
    }
    const std::string id = this->newId(session);
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sentTexts[id] = "READ " + session.item.name;
    }
    const fleet::Reply reply = session.connection->query(id, "READ " + session.item.name);
    if (reply.broken) {
        session.connection.reset();
        return;
    }
    if (!reply.succeeded()) {
        ++this->refusedCount;
        std::this_thread::sleep_for(pauseAfterRefusal);
        return;
    }
    ++this->servedCount;
    if (reply.rows.size() != 1 || reply.digest == "-" || reply.digest.find(id) == std::string::npos)
        this->report("mixed: " + id + " got the answer of another statement: " + reply.digest);
    else if (std::stoull(reply.rows.front()) < least)
        this->report("stale: " + id + " on " + session.database + " read " + reply.rows.front() + " after " + std::to_string(least));
}

void Promises::transact(Session& session)
{
    fleet::Caller& caller = *session.connection;
    if (!caller.query(this->newId(session), "BEGIN").succeeded()) {
        session.connection.reset();
        return;
    }
    const uint64_t number = session.item.next++;
    std::vector<std::string> ids;
    bool intact = true;
    for (int count = 0; count < 2 && intact; ++count) {
        const std::string id = this->newId(session);
        const std::string text = "WRITE " + session.item.name + (count == 0 ? "x " : " ") + std::to_string(number);
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->sentTexts[id] = text;
        }
        const fleet::Reply reply = caller.query(id, text);
        intact = reply.succeeded();
        ids.push_back(id);
        if (!intact)
            this->noteWrite(session, reply, ids, number);
    }
    if (!intact || session.random() % 4 == 0) {
        // Rolled back: nothing of it may be kept.
        const fleet::Reply ended = caller.query(this->newId(session), "ROLLBACK");
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (ended.succeeded())
            this->refusedIds.insert(ids.begin(), ids.end());
        if (ended.broken)
            session.connection.reset();
        return;
    }
    const std::string id = this->newId(session);
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sentTexts[id] = "COMMIT";
    }
    const fleet::Reply reply = caller.query(id, "COMMIT");
    this->noteWrite(session, reply, ids, number);
    if (reply.broken)
        session.connection.reset();
}

void Promises::checkHistory()
{
    // What the servers ran: only what a caller sent, unchanged, for its organisation, with its session's values.
    for (const standins::StatementRecord& record : this->fleet.records()) {
        // The probes after the faults belong to no session.
        if (record.id == recoveryId)
            continue;
        const std::string prefix = record.id.substr(0, record.id.find('-'));
        const auto sent = this->sentTexts.find(record.id);
        if (sent == this->sentTexts.end() || sent->second != record.text)
            this->report("unasked: " + record.id + " ran as \"" + record.text + "\"");
        if (record.organisation != "orga")
            this->report("unasked: " + record.id + " ran for " + record.organisation);
        if (record.values != this->sessionValues[prefix])
            this->report("pinned: " + record.id + " ran with the values of another session");
    }
    // What the group holds.
    std::map<std::string, size_t> held;
    for (const standins::LogEntry& entry : this->fleet.group().primaryLog())
        ++held[entry.id];
    for (const auto& [id, count] : held) {
        if (count > 1)
            this->report("twice: " + id + " took effect " + std::to_string(count) + " times");
        if (this->refusedIds.count(id) > 0)
            this->report("refused: " + id + " took effect although its caller was told that it had not run");
    }
    for (const std::string& id : this->acknowledgedIds) {
        if (held.count(id) == 0)
            this->report("lost: " + id + " was acknowledged and is not in the log");
    }
    // Orders of promotion.
    uint64_t newest = 0;
    std::map<uint64_t, std::string> holders;
    for (const standins::PromotionOrder& order : this->fleet.store().orders()) {
        if (order.fence < newest || holders.emplace(order.fence, order.holder).first->second != order.holder)
            this->report("one: an order of " + order.holder + " with the number " + std::to_string(order.fence) + " after "
                + std::to_string(newest));
        newest = std::max(newest, order.fence);
    }
    if (this->fleet.group().receivedBytes().find("key-of") != std::string::npos)
        this->report("key: a backend server has received a caller's key");
    if (this->fleet.logs().find("key-of") != std::string::npos)
        this->report("key: a log line holds a caller's key");
}

}

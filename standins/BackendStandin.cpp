#include "standins/BackendStandin.h"

#include "standins/BackendSession.h"

#include <boost/algorithm/string.hpp>
#include <charconv>
#include <utility>
#include <vector>

namespace foxtail::standins {

namespace {

    uint64_t parseWholeNumber(const std::string& value)
    {
        uint64_t number = 0;
        const char* last = value.data() + value.size();
        const auto parsed = std::from_chars(value.data(), last, number);
        if (parsed.ec != std::errc() || parsed.ptr != last)
            throw SqlError("22023", "the value of this fault must be a whole number");
        return number;
    }

}

BackendStandin::BackendStandin(BackendStandinSettings standinSettings)
    : settings(std::move(standinSettings))
    , database(ReplicatedDatabase::Settings { this->settings.schema, this->settings.role, this->settings.primaryAddress })
    , puller(this->database, this->settings.serverId, this->settings.applyDelay)
    , listener(this->settings.port, [this](boost::asio::ip::tcp::socket& socket) { BackendSession(*this, socket).serve(); })
{
}

BackendStandin::~BackendStandin() { this->stop(); }

void BackendStandin::stop()
{
    {
        // Wakes sessions that wait for a fault to be cleared, a lock or the end of a sleep.
        const std::lock_guard lock(this->mutex);
        for (BackendSession* session : this->sessions)
            session->end();
    }
    this->listener.stop();
    this->puller.stop();
}

void BackendStandin::setFault(const std::string& name, const std::string& value)
{
    const std::lock_guard lock(this->mutex);
    if (name == "silent") {
        std::vector<std::string> peers;
        boost::algorithm::split(peers, value, [](char character) { return character == ','; });
        for (const std::string& peer : peers) {
            if (peer != "none" && peer != "all" && peer != "clients" && peer != "replicas" && !peer.starts_with("vm:"))
                throw SqlError("22023", "silent takes none, all, clients, replicas or vm:<id>");
        }
        this->silentPeers = { peers.begin(), peers.end() };
    } else if (name == "statementDelayMs") {
        this->settings.statementDelay = std::chrono::milliseconds(parseWholeNumber(value));
    } else if (name == "lagMs") {
        this->puller.setApplyDelay(std::chrono::milliseconds(parseWholeNumber(value)));
    } else if (name == "loseCommits") {
        this->commitsToLose = parseWholeNumber(value);
    } else if (name == "leaving") {
        this->database.setLeaving(value == "on");
    } else {
        throw SqlError("22023", "unknown fault " + name);
    }
}

bool BackendStandin::isSilentFor(const BackendSession& session)
{
    const std::lock_guard lock(this->mutex);
    if (session.isFaultControl())
        return false;
    return this->silentPeers.contains("all") || this->silentPeers.contains(session.isReplica() ? "replicas" : "clients")
        || (!session.vm().empty() && this->silentPeers.contains("vm:" + session.vm()));
}

std::chrono::milliseconds BackendStandin::statementDelay()
{
    const std::lock_guard lock(this->mutex);
    return this->settings.statementDelay;
}

bool BackendStandin::shouldLoseCommit()
{
    const std::lock_guard lock(this->mutex);
    if (!this->commitsToLose)
        return false;
    --this->commitsToLose;
    return true;
}

void BackendStandin::registerSession(BackendSession& session)
{
    const std::lock_guard lock(this->mutex);
    if (session.epoch() && (*session.epoch() != this->currentEpoch || session.vm() != this->currentHome))
        throw SqlError("FT004", "the claim of this connection is not the current one");
    if (!session.isReplica() && !session.isFaultControl()) {
        size_t clientCount = 0;
        for (const BackendSession* other : this->sessions)
            clientCount += !other->isReplica() && !other->isFaultControl() ? 1 : 0;
        if (clientCount >= this->settings.maxConnections)
            throw SqlError("53300", "too many connections");
    }
    this->sessions.insert(&session);
}

void BackendStandin::unregisterSession(BackendSession& session)
{
    const std::lock_guard lock(this->mutex);
    this->sessions.erase(&session);
}

void BackendStandin::claim(const std::string& vm, uint64_t epoch)
{
    const std::lock_guard lock(this->mutex);
    if (epoch == this->currentEpoch && vm == this->currentHome)
        return;
    if (epoch != this->currentEpoch + 1)
        throw SqlError("FT004", "epoch " + std::to_string(epoch) + " does not follow " + std::to_string(this->currentEpoch));
    this->currentHome = vm;
    this->currentEpoch = epoch;
    for (BackendSession* session : this->sessions) {
        if (session->epoch() && *session->epoch() < epoch)
            session->end();
    }
}

std::string BackendStandin::homeVm()
{
    const std::lock_guard lock(this->mutex);
    return this->currentHome;
}

uint64_t BackendStandin::homeEpoch()
{
    const std::lock_guard lock(this->mutex);
    return this->currentEpoch;
}

}

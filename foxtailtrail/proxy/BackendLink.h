#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/proxy/BackendCodec.h"
#include "foxtailtrail/proxy/Stream.h"
#include "foxtailtrail/replication/ServerDirectory.h"
#include "foxtailtrail/session/LinkState.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace foxtail {

// The whole answer to one statement.
struct LinkReply {
    std::vector<std::string> rows;
    // The backend server's digest; empty when it refused.
    std::string digest;
    BackendRefusal refusal = BackendRefusal::None;
    // The text of the refusal.
    std::string text;
    TransactionState state = TransactionState::None;
    std::optional<LogPoint> position;
    // When the statement was sent.
    TimePoint sentAt {};

    bool succeeded() const { return this->refusal == BackendRefusal::None; }
};

// How the opening of a connection ended.
enum class LinkOpening : uint8_t {
    Opened,
    // The machine refused the connection: no process listens.
    Refused,
    // No connection in time, or it broke.
    Unreachable,
    // The server has its maximum of connections.
    TooMany,
    // The address belongs to another server now.
    Misrouted,
};

// Whoever uses a link is told of its replies and its loss.
class LinkUser {
public:
    virtual ~LinkUser() = default;
    virtual void linkReplied(LinkReply&&) = 0;
    virtual void linkLost() = 0;
};

// A connection to a backend server for one organisation. It is used by one session at a time.
class BackendLink final : public Stream {
public:
    using OpenCallback = std::function<void(LinkOpening, std::shared_ptr<BackendLink>)>;

    // Connects and introduces the organisation. The callback is not called before open() returns.
    static std::shared_ptr<BackendLink> open(
        boost::asio::io_context&, const BackendCodec&, const ServerEntry&, const std::string& organisation, OpenCallback);

    const BackendServerId& server() const { return this->entry.id; }
    const ServiceName& service() const { return this->entry.service; }
    const std::string& organisation() const { return this->organisationName; }
    LinkState& state() { return this->linkState; }

    // Sets who is told of replies and loss; null for nobody.
    void setUser(LinkUser* linkUser) { this->user = linkUser; }
    // Sends bytes that hold the given number of statements.
    void sendStatements(std::string_view bytes, size_t count);
    // Statements without an answer yet.
    size_t outstanding() const { return this->sentTimes.size(); }
    // Ends an opening that takes too long; the callback gets Unreachable.
    void abandonOpening();
    // Whether the last answer left the connection outside of a transaction.
    bool isClean() const { return this->sentTimes.empty() && this->lastState == TransactionState::None && this->isOpen(); }

    // When the link was last given back.
    TimePoint idleSince {};

private:
    BackendLink(boost::asio::io_context&, const BackendCodec&, ServerEntry, std::string organisation, OpenCallback);
    void connect();
    void finishOpening(LinkOpening);
    size_t received(std::string_view bytes) override;
    void disconnected() override;
    // Handles one message. Returns false when the link must not go on.
    bool handle(const BackendMessage&);

    const BackendCodec& codec;
    ServerEntry entry;
    std::string organisationName;
    OpenCallback openCallback;
    LinkUser* user = nullptr;
    LinkState linkState;
    // The answer that is being received.
    LinkReply reply;
    std::deque<TimePoint> sentTimes;
    TransactionState lastState = TransactionState::None;
};

}

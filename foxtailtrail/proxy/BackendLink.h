#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/proxy/BackendCodec.h"
#include "foxtailtrail/replication/ServerDirectory.h"
#include "foxtailtrail/session/LinkState.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

// The whole answer to one statement.
struct LinkReply {
    std::vector<std::string> rows;
    // The backend server's digest; empty when it refused.
    std::string digest;
    BackendErrorCode errorCode = BackendErrorCode::None;
    // The text of the refusal.
    std::string errorText;
    TransactionState transactionState = TransactionState::None;
    std::optional<LogPoint> position;
    // When the statement was sent.
    TimePoint sentAt {};

    bool succeeded() const { return this->errorCode == BackendErrorCode::None; }
};

// How a request for a connection ended.
enum class AcquireOutcome : uint8_t {
    Acquired,
    Refused,
    Unreachable,
    // All connections that this VM may hold, or the server accepts, are in use.
    Exhausted,
    // The address belongs to another server, or this one is gone.
    Gone,
};

// Whoever uses a link is told of its replies and its loss.
class LinkListener {
public:
    virtual ~LinkListener() = default;
    virtual void linkReplied(LinkReply&&) = 0;
    virtual void linkLost() = 0;
    // No connection could be had for the link's statements, so none of them was sent to the server.
    virtual void linkDenied(AcquireOutcome) { this->linkLost(); }
    // Takes the bytes of each message of an answer, before linkReplied().
    virtual void linkMessageReceived(std::string_view) { }
};

// A connection to a backend server for one organisation, used by one session at a time. The implementations carry the bytes.
class BackendLink {
public:
    BackendLink(const BackendCodec&, ServerEntry, std::string organisation);
    virtual ~BackendLink() = default;
    BackendLink(const BackendLink&) = delete;
    BackendLink& operator=(const BackendLink&) = delete;

    const BackendServerId& server() const { return this->entry.id; }
    const std::string& organisation() const { return this->organisationName; }
    LinkState& state() { return this->linkState; }

    // Sets who is told of replies and loss; null for nobody.
    void setListener(LinkListener* linkUser) { this->linkListener = linkUser; }
    // Sends bytes that hold the given number of statements.
    void sendStatements(std::string_view bytes, size_t count);
    // Statements without an answer yet.
    size_t outstandingStatements() const { return this->sentTimes.size(); }
    // Whether the last answer left the connection outside of a transaction.
    bool isReusable() const { return this->sentTimes.empty() && this->lastTransactionState == TransactionState::None && this->isUsable(); }

    virtual bool isUsable() const = 0;
    // Ends the connection at once, so that the server rolls back. The user is not told.
    virtual void abort() = 0;
    // Whether the loss of the link is a sign of trouble at the server, and not of what lies between.
    virtual bool lossIndicatesServerFailure() const { return true; }
    // Until when the statements may wait for a connection before they are sent; in the past when the connection is there.
    virtual TimePoint startsBy() const { return TimePoint {}; }

    // When the link was last given back.
    TimePoint becameIdleAt {};

protected:
    virtual void write(std::string_view bytes, size_t statements) = 0;
    // Handles the whole messages at the front of the bytes. Returns how many bytes they took, or nothing when the link must not go on.
    std::optional<size_t> processMessages(std::string_view bytes);
    // Handles an error that the answer to the opening consists of.
    virtual void handleOpeningError(BackendErrorCode) { }
    // Takes the answer to a statement, or to the opening. Returns whether it was one to the opening.
    virtual bool handleOpeningReply() { return false; }
    // Tells the user that the link is lost, once.
    void notifyLost();
    LinkListener* listener() const { return this->linkListener; }

    const BackendCodec& codec;
    ServerEntry entry;

private:
    // Handles one message.
    void handleMessage(const BackendMessage&);

    std::string organisationName;
    LinkListener* linkListener = nullptr;
    LinkState linkState;
    // The answer that is being received.
    LinkReply reply;
    std::deque<TimePoint> sentTimes;
    TransactionState lastTransactionState = TransactionState::None;
};

}

#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/proxy/BackendCodec.h"
#include "foxtailtrail/replication/ServerDirectory.h"
#include "foxtailtrail/session/LinkState.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

// The complete reply to one statement.
struct LinkReply {
    std::vector<std::string> rows;
    // The backend server's digest; empty when the reply is an error.
    std::string digest;
    BackendErrorCode errorCode = BackendErrorCode::None;
    // The text of the error; empty on success.
    std::string errorText;
    TransactionState transactionState = TransactionState::None;
    std::optional<LogPoint> position;
    TimePoint sentAt {};

    bool succeeded() const { return this->errorCode == BackendErrorCode::None; }
};

// The outcome of a request for a connection.
enum class AcquireOutcome : uint8_t {
    Acquired,
    Refused,
    Unreachable,
    // All connections that this VM may open, or that the server accepts, are in use.
    Exhausted,
    // The address belongs to another server, or the server has been removed.
    Gone,
};

// Listener for the replies on a link and for its loss.
class LinkListener {
public:
    virtual ~LinkListener() = default;
    virtual void linkReplied(LinkReply&&) = 0;
    virtual void linkLost() = 0;
    // Called when no connection for the link's statements could be acquired, so that none of them was sent to the server.
    virtual void linkDenied(AcquireOutcome) { this->linkLost(); }
    // Receives the bytes of each message of a reply, before linkReplied().
    virtual void linkMessageReceived(std::string_view) { }
};

// A connection to a backend server for one organisation, used by one session at a time. Derived classes implement the transport.
class BackendLink {
public:
    BackendLink(const BackendCodec&, ServerEntry, std::string organisation);
    virtual ~BackendLink() = default;
    BackendLink(const BackendLink&) = delete;
    BackendLink& operator=(const BackendLink&) = delete;

    const BackendServerId& server() const { return this->entry.id; }
    const std::string& organisation() const { return this->organisationName; }
    LinkState& state() { return this->linkState; }

    // Sets the listener for replies and loss; null removes it.
    void setListener(LinkListener* newListener) { this->linkListener = newListener; }
    // Sends bytes that contain the given number of statements.
    void sendStatements(std::string_view bytes, size_t count);
    // Returns the number of statements without a reply.
    size_t outstandingStatements() const { return this->sentTimes.size(); }
    // Returns when the oldest statement without a reply was sent. There must be one.
    TimePoint oldestSentAt() const { return this->sentTimes.front(); }
    // Returns when the oldest statement without a reply was sent.
    std::optional<TimePoint> oldestUnansweredAt() const
    {
        return this->sentTimes.empty() ? std::nullopt : std::optional(this->sentTimes.front());
    }
    // Returns whether the link is usable, every statement has a reply and the last one left the connection outside of a
    // transaction.
    bool isReusable() const { return this->sentTimes.empty() && this->lastTransactionState == TransactionState::None && this->isUsable(); }

    virtual bool isUsable() const = 0;
    // Closes the connection immediately, so that the server rolls back. The listener is not notified.
    virtual void abort() = 0;
    // Returns whether the loss of the link indicates a failure of the server rather than of a relay or the network in between.
    virtual bool lossIndicatesServerFailure() const { return true; }
    // Returns the time until which the statements may wait for a connection before they are sent; a time in the past when the
    // connection is already open.
    virtual TimePoint startsBy() const { return TimePoint {}; }
    // Returns when a request that was denied as exhausted may return, if that is known.
    virtual std::optional<TimePoint> returnAt() const { return std::nullopt; }

    // The time at which the link was last returned to its pool.
    TimePoint becameIdleAt {};

protected:
    virtual void write(std::string_view bytes, size_t statements) = 0;
    // Handles the complete messages at the front of the bytes. Returns the number of bytes consumed, or std::nullopt when the link
    // must be closed.
    std::optional<size_t> processMessages(std::string_view bytes);
    // Handles an error that may belong to the opening of the connection.
    virtual void handleOpeningError(BackendErrorCode) { }
    // Handles a reply that may belong to the opening of the connection. Returns whether it did.
    virtual bool handleOpeningReply() { return false; }
    // Notifies the listener, once, that the link is lost.
    void notifyLost();
    LinkListener* listener() const { return this->linkListener; }

    const BackendCodec& codec;
    ServerEntry entry;

private:
    void handleMessage(const BackendMessage&);

    std::string organisationName;
    LinkListener* linkListener = nullptr;
    LinkState linkState;
    // The reply that is being received.
    LinkReply reply;
    std::deque<TimePoint> sentTimes;
    TransactionState lastTransactionState = TransactionState::None;
};

}

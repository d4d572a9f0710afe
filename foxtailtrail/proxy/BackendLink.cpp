#include "foxtailtrail/proxy/BackendLink.h"

#include "foxtailtrail/proxy/BootClock.h"

#include <utility>

namespace foxtail {

BackendLink::BackendLink(const BackendCodec& codec, ServerEntry entry, std::string organisation)
    : codec(codec)
    , entry(std::move(entry))
    , organisationName(std::move(organisation))
{
}

void BackendLink::sendStatements(std::string_view bytes, size_t count)
{
    const TimePoint now = bootNow();
    for (size_t index = 0; index < count; ++index)
        this->sentTimes.push_back(now);
    this->write(bytes, count);
}

std::optional<size_t> BackendLink::processMessages(std::string_view bytes)
{
    std::string_view rest = bytes;
    while (this->isUsable()) {
        const std::string_view unparsed = rest;
        const std::optional<BackendMessage> message = this->codec.parseMessage(rest);
        if (!message)
            break;
        // An unsolicited message would be mistaken for the reply to the next statement.
        if (this->sentTimes.empty() || message->kind == BackendMessageKind::Malformed)
            return std::nullopt;
        if (this->linkListener)
            this->linkListener->linkMessageReceived(unparsed.substr(0, unparsed.size() - rest.size()));
        this->handleMessage(*message);
    }
    return bytes.size() - rest.size();
}

void BackendLink::handleMessage(const BackendMessage& message)
{
    switch (message.kind) {
    case BackendMessageKind::Row:
        this->reply.rows.emplace_back(message.text);
        return;
    case BackendMessageKind::Done:
        this->reply.digest = message.text;
        return;
    case BackendMessageKind::Error:
        this->reply.errorCode = message.errorCode;
        this->reply.errorText = message.text;
        this->handleOpeningError(message.errorCode);
        return;
    default:
        break;
    }
    LinkReply completeReply = std::exchange(this->reply, LinkReply {});
    completeReply.transactionState = message.transactionState;
    completeReply.position = message.position;
    completeReply.sentAt = this->sentTimes.front();
    this->sentTimes.pop_front();
    this->lastTransactionState = message.transactionState;
    if (this->handleOpeningReply())
        return;
    if (this->linkListener)
        this->linkListener->linkReplied(std::move(completeReply));
}

void BackendLink::notifyLost()
{
    if (this->linkListener)
        std::exchange(this->linkListener, nullptr)->linkLost();
}

}

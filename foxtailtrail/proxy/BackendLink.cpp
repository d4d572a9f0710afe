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

std::optional<size_t> BackendLink::takeMessages(std::string_view bytes)
{
    std::string_view rest = bytes;
    while (this->isUsable()) {
        const std::string_view before = rest;
        const std::optional<BackendMessage> message = this->codec.take(rest);
        if (!message)
            break;
        // Bytes that nothing was asked for would be taken for the answer to the next statement.
        if (this->sentTimes.empty() || message->kind == BackendMessageKind::Malformed)
            return std::nullopt;
        if (this->user)
            this->user->linkMessage(before.substr(0, before.size() - rest.size()));
        this->handle(*message);
    }
    return bytes.size() - rest.size();
}

void BackendLink::handle(const BackendMessage& message)
{
    switch (message.kind) {
    case BackendMessageKind::Row:
        this->reply.rows.emplace_back(message.text);
        return;
    case BackendMessageKind::Done:
        this->reply.digest = message.text;
        return;
    case BackendMessageKind::Refused:
        this->reply.refusal = message.refusal;
        this->reply.text = message.text;
        this->openingRefused(message.refusal);
        return;
    default:
        break;
    }
    LinkReply finished = std::exchange(this->reply, LinkReply {});
    finished.state = message.state;
    finished.position = message.position;
    finished.sentAt = this->sentTimes.front();
    this->sentTimes.pop_front();
    this->lastState = message.state;
    if (this->openingAnswered())
        return;
    if (this->user)
        this->user->linkReplied(std::move(finished));
}

void BackendLink::tellLost()
{
    if (this->user)
        std::exchange(this->user, nullptr)->linkLost();
}

}

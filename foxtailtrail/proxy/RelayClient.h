#pragma once

#include "foxtailtrail/net/HttpClient.h"
#include "foxtailtrail/proxy/RelayFrame.h"
#include "foxtailtrail/proxy/Stream.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace foxtail {

class RelayedLink;

// A connection to a VM that holds connections to backend servers for this one. Many channels share it.
class RelayStream final : public Stream {
public:
    static std::shared_ptr<RelayStream> open(boost::asio::io_context&, const Endpoint&);

    // Whether channels may be opened. True while the connection is being made.
    bool isUsable() const { return !this->failed && !this->leaving; }
    // Whether the other VM has said that it stops.
    bool isLeaving() const { return this->leaving; }
    bool isConnected() const { return this->connected && !this->failed; }
    // Adds a channel for the link and returns its number.
    uint32_t add(const std::shared_ptr<RelayedLink>&);
    // Forgets a channel. Answers that still come are skipped.
    void remove(uint32_t channel) { this->channels.erase(channel); }
    void sendFrame(std::string_view);
    // Notices a VM that cannot be reached or has gone silent.
    void sweep(TimePoint now);
    // Ends the connection; every channel is lost.
    void abandon();

private:
    explicit RelayStream(boost::asio::io_context&);
    void connect(const Endpoint&);
    size_t received(std::string_view bytes) override;
    void disconnected() override;
    void handle(const RelayFrame&);
    bool isAnswerDue() const;

    std::map<uint32_t, std::weak_ptr<RelayedLink>> channels;
    uint32_t nextChannel = 1;
    // Frames that wait for the connection.
    std::string unsent;
    bool connected = false;
    bool failed = false;
    bool leaving = false;
    TimePoint connectBy {};
    // When the other VM was last heard, or this one last had nothing to wait for.
    TimePoint heardAt {};
    // Set while a sign of life is waited for.
    TimePoint signDueBy {};
};

// A link whose connection to the backend server is held by another VM.
class RelayedLink final : public BackendLink, public std::enable_shared_from_this<RelayedLink> {
public:
    // The first statements ask the other VM for a connection, which they wait for until the given time.
    static std::shared_ptr<RelayedLink> create(const BackendCodec&, const ServerEntry&, const std::string& organisation, uint32_t priority,
        TimePoint giveUpAt, std::shared_ptr<RelayStream>);

    // Gives the connection back to the other VM.
    void giveBack();

    bool isUsable() const override { return !this->ended; }
    void shut() override;
    bool lossConcernsServer() const override { return this->serverLost; }
    TimePoint startsBy() const override { return this->answered ? TimePoint {} : this->giveUpAt; }

    // The connection to the VM that holds this link's.
    const std::shared_ptr<RelayStream>& relay() const { return this->stream; }
    // Whether that VM could not reach the server.
    bool wasUnreachable() const { return this->unreachable; }

    // What comes from the other VM.
    void takeAnswer(std::string_view bytes);
    void takeDenial(Acquisition);
    void takeLoss();
    // The other VM is lost. Statements that were still here have not run.
    void takeStreamLoss(bool wereSent);

private:
    RelayedLink(const BackendCodec&, const ServerEntry&, const std::string& organisation, uint32_t priority, TimePoint giveUpAt,
        std::shared_ptr<RelayStream>);
    void write(std::string_view bytes, size_t statements) override;
    void end();

    std::shared_ptr<RelayStream> stream;
    uint32_t channel = 0;
    uint32_t priority = 0;
    TimePoint giveUpAt {};
    // The channel has been opened; its server has answered; it is over.
    bool opened = false;
    bool answered = false;
    bool ended = false;
    bool serverLost = false;
    bool unreachable = false;
};

}

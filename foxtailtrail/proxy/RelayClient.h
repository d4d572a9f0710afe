#pragma once

#include "foxtailtrail/net/HttpClient.h"
#include "foxtailtrail/proxy/RelayFrame.h"
#include "foxtailtrail/proxy/TcpStream.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace foxtail {

class RelayedLink;

// A connection to a VM that holds connections to backend servers for this one. Many channels share it.
class RelayStream final : public TcpStream {
public:
    static std::shared_ptr<RelayStream> open(boost::asio::io_context&, const Endpoint&);

    // Whether channels may be opened. True while the connection is being made.
    bool isUsable() const { return !this->hasFailed && !this->isPeerLeaving; }
    // Whether the other VM has said that it stops.
    bool isLeaving() const { return this->isPeerLeaving; }
    bool isConnected() const { return this->hasConnected && !this->hasFailed; }
    // Adds a channel for the link and returns its number.
    uint32_t addChannel(const std::shared_ptr<RelayedLink>&);
    // Forgets a channel. Answers that still come are skipped.
    void removeChannel(uint32_t channel) { this->channels.erase(channel); }
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
    bool hasOutstandingStatements() const;

    std::map<uint32_t, std::weak_ptr<RelayedLink>> channels;
    uint32_t nextChannel = 1;
    // Frames that wait for the connection.
    std::string unsentFrames;
    bool hasConnected = false;
    bool hasFailed = false;
    bool isPeerLeaving = false;
    TimePoint connectBy {};
    // When the other VM was last heard, or this one last had nothing to wait for.
    TimePoint lastActivityAt {};
    // Set while a sign of life is waited for.
    TimePoint pongDueBy {};
};

// A link whose connection to the backend server is held by another VM.
class RelayedLink final : public BackendLink, public std::enable_shared_from_this<RelayedLink> {
public:
    // The first statements ask the other VM for a connection, which they wait for until the given time.
    static std::shared_ptr<RelayedLink> create(const BackendCodec&, const ServerEntry&, const std::string& organisation, uint32_t priority,
        TimePoint giveUpAt, std::shared_ptr<RelayStream>);

    // Gives the connection back to the other VM.
    void releaseChannel();

    bool isUsable() const override { return !this->hasChannelEnded; }
    void abort() override;
    bool lossIndicatesServerFailure() const override { return this->isServerLost; }
    TimePoint startsBy() const override { return this->hasServerAnswered ? TimePoint {} : this->giveUpAt; }

    // The connection to the VM that holds this link's.
    const std::shared_ptr<RelayStream>& relayStream() const { return this->stream; }
    // Whether that VM could not reach the server.
    bool wasServerUnreachable() const { return this->isServerUnreachable; }

    // What comes from the other VM.
    void handleAnswer(std::string_view bytes);
    void handleDenial(AcquireOutcome);
    void handleServerLoss();
    // The other VM is lost. Statements that were still here have not run.
    void handleStreamLoss(bool wereSent);

private:
    RelayedLink(const BackendCodec&, const ServerEntry&, const std::string& organisation, uint32_t priority, TimePoint giveUpAt,
        std::shared_ptr<RelayStream>);
    void write(std::string_view bytes, size_t statements) override;
    void endChannel();

    std::shared_ptr<RelayStream> stream;
    uint32_t channel = 0;
    uint32_t priority = 0;
    TimePoint giveUpAt {};
    // The channel has been opened; its server has answered; it is over.
    bool isChannelOpened = false;
    bool hasServerAnswered = false;
    bool hasChannelEnded = false;
    bool isServerLost = false;
    bool isServerUnreachable = false;
};

}

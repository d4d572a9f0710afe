#pragma once

#include "foxtailtrail/net/HttpClient.h"
#include "foxtailtrail/proxy/LinkPool.h"
#include "foxtailtrail/proxy/LoadExchange.h"
#include "foxtailtrail/proxy/RelayFrame.h"
#include "foxtailtrail/proxy/TcpStream.h"
#include "foxtailtrail/replication/LoadRecord.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace foxtail {

class RelayedLink;

// A connection to a VM that relays statements over its connections to backend servers. Many channels share it.
class RelayStream final : public TcpStream {
public:
    static std::shared_ptr<RelayStream> open(boost::asio::io_context&, const Endpoint&);
    // Starts a connection that sends a ping first, to find out whether the other VM answers.
    static std::shared_ptr<RelayStream> openForTrial(boost::asio::io_context&, const Endpoint&);

    // Returns true when channels may be opened, which includes the time while the connection is being established.
    bool isUsable() const { return !this->hasFailed && !this->isPeerLeaving; }
    // Returns true when the other VM has announced its stop.
    bool isLeaving() const { return this->isPeerLeaving; }
    // Returns true when the other VM has sent something on this connection.
    bool hasAnswered() const { return this->hasReceived && !this->hasFailed; }
    // Adds a channel for the link and returns its number.
    uint32_t addChannel(const std::shared_ptr<RelayedLink>&);
    // Removes a channel. Frames that arrive for it later are ignored.
    void removeChannel(uint32_t channel) { this->channels.erase(channel); }
    void sendFrame(std::string_view);
    // Sends a ping when the other VM is silent, and closes the connection when that VM cannot be reached or does not respond.
    void sweep(TimePoint now);
    // Closes the connection; all channels are lost.
    void abandon();

private:
    explicit RelayStream(boost::asio::io_context&);
    void connect(const Endpoint&);
    size_t received(std::string_view bytes) override;
    void disconnected() override;
    void handle(const RelayFrame&);
    bool hasOutstandingStatements() const;
    void sendPing(TimePoint now);

    std::map<uint32_t, std::weak_ptr<RelayedLink>> channels;
    uint32_t nextChannel = 1;
    // Frames to send once the connection is established.
    std::string unsentFrames;
    bool hasConnected = false;
    bool hasFailed = false;
    bool hasReceived = false;
    bool isTrial = false;
    bool isPeerLeaving = false;
    TimePoint connectBy {};
    // When bytes were last received from the other VM, or when a frame was last sent while no reply was outstanding.
    TimePoint lastActivityAt {};
    // The deadline for a pong; set while a ping is unanswered.
    TimePoint pongDueBy {};
};

// Where a link records the reports of load that it receives, and where those come from that it sends.
struct LinkLoad {
    std::shared_ptr<LoadRecord> record;
    // Null when this VM exchanges no reports.
    LoadExchange* exchange = nullptr;
};

// A link whose connection to the backend server is held by another VM.
class RelayedLink final : public BackendLink, public std::enable_shared_from_this<RelayedLink> {
public:
    // Creates a link and its channel. The first statements pass the request for a connection on to the other VM.
    static std::shared_ptr<RelayedLink> create(
        const BackendCodec&, const ServerEntry&, const LinkRequest&, std::shared_ptr<RelayStream>, LinkLoad);

    // Releases the connection, so that the other VM can reuse it.
    void releaseChannel();

    bool isUsable() const override { return !this->hasChannelEnded; }
    void abort() override;
    bool lossIndicatesServerFailure() const override { return this->isServerLost; }
    TimePoint startsBy() const override { return this->hasServerAnswered ? TimePoint {} : this->request.giveUpAt; }
    std::optional<TimePoint> returnAt() const override { return this->denialReturnAt; }

    // Returns the connection to the VM that holds this link's server connection.
    const std::shared_ptr<RelayStream>& relayStream() const { return this->stream; }
    // Returns true when that VM could not reach the server.
    bool wasServerUnreachable() const { return this->isServerUnreachable; }

    // Handlers of frames from the other VM.
    void handleLoad(const ServerLoad&);
    void handleReports(const std::vector<LoadReport>&);
    void handleAnswer(std::string_view bytes);
    void handleDenial(AcquireOutcome, std::optional<uint32_t> returnAfterMs);
    void handleServerLoss();
    // Handles the loss of the connection to the other VM. Statements that had not been sent have not run.
    void handleStreamLoss(bool wereSent);

private:
    RelayedLink(const BackendCodec&, const ServerEntry&, const LinkRequest&, std::shared_ptr<RelayStream>, LinkLoad);
    void write(std::string_view bytes, size_t statements) override;
    void endChannel();

    std::shared_ptr<RelayStream> stream;
    LinkLoad linkLoad;
    uint32_t channel = 0;
    LinkRequest request;
    TimePoint lastSentAt {};
    // Whether the open frame has been written, whether the server has replied, and whether the channel has ended.
    bool isChannelOpened = false;
    bool hasServerAnswered = false;
    bool hasChannelEnded = false;
    bool isServerLost = false;
    bool isServerUnreachable = false;
    // When the request may return, from the denial.
    std::optional<TimePoint> denialReturnAt;
};

}

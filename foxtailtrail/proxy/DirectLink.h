#pragma once

#include "foxtailtrail/proxy/BackendLink.h"
#include "foxtailtrail/proxy/TcpStream.h"

#include <functional>
#include <memory>
#include <string>

namespace foxtail {

// The outcome of opening a connection.
enum class LinkOpenOutcome : uint8_t {
    Opened,
    // The host refused the connection: no process listens on the port.
    Refused,
    // The connection could not be established or opened in time, or the server rejected the opening with another error.
    Unreachable,
    // The server has reached its maximum number of connections or is busy, or the connection was closed during the opening.
    TooManyConnections,
    // The address belongs to another server now.
    Misrouted,
};

// A link over this VM's own TCP connection to the backend server.
class DirectLink final : public TcpStream, public BackendLink {
public:
    using OpenCallback = std::function<void(LinkOpenOutcome, std::shared_ptr<DirectLink>)>;

    // Connects and sends the start message with the organisation. The callback is never called before open() returns.
    static std::shared_ptr<DirectLink> open(
        boost::asio::io_context&, const BackendCodec&, const ServerEntry&, const std::string& organisation, OpenCallback);

    // Cancels an opening that has timed out; the callback receives Unreachable.
    void cancelOpening();
    // Sends the server a terminate message and closes the connection.
    void closeGracefully();

    bool isUsable() const override { return this->isOpen(); }
    void abort() override { this->close(); }

private:
    DirectLink(boost::asio::io_context&, const BackendCodec&, const ServerEntry&, const std::string& organisation, OpenCallback);
    void connect();
    void finishOpening(LinkOpenOutcome);
    void write(std::string_view bytes, size_t statements) override;
    void handleOpeningError(BackendErrorCode) override;
    bool handleOpeningReply() override;
    size_t received(std::string_view bytes) override;
    void disconnected() override;

    OpenCallback openCallback;
};

}

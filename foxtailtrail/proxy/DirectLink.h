#pragma once

#include "foxtailtrail/proxy/BackendLink.h"
#include "foxtailtrail/proxy/TcpStream.h"

#include <functional>
#include <memory>
#include <string>

namespace foxtail {

// How the opening of a connection ended.
enum class LinkOpenOutcome : uint8_t {
    Opened,
    // The machine refused the connection: no process listens.
    Refused,
    // No connection in time, or it broke.
    Unreachable,
    // The server has its maximum of connections.
    TooManyConnections,
    // The address belongs to another server now.
    Misrouted,
};

// A link over a connection of its own from this VM to the backend server.
class DirectLink final : public TcpStream, public BackendLink {
public:
    using OpenCallback = std::function<void(LinkOpenOutcome, std::shared_ptr<DirectLink>)>;

    // Connects and introduces the organisation. The callback is not called before open() returns.
    static std::shared_ptr<DirectLink> open(
        boost::asio::io_context&, const BackendCodec&, const ServerEntry&, const std::string& organisation, OpenCallback);

    // Ends an opening that takes too long; the callback gets Unreachable.
    void cancelOpening();
    // Tells the server that the session ends, and closes.
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

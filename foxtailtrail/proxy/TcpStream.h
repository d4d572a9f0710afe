#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace foxtail {

// A TCP connection whose bytes are handed over as they arrive. While nothing arrives it holds no buffer. Used on one thread.
class TcpStream : public std::enable_shared_from_this<TcpStream> {
public:
    virtual ~TcpStream() = default;
    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    // Sends the bytes in order, without blocking.
    void send(std::string_view bytes);
    // Closes the connection at once. disconnected() is not called.
    void close();
    // Closes the connection once everything has been sent.
    void closeAfterSending();
    bool isOpen() const { return this->socket.is_open() && !this->closing; }

protected:
    explicit TcpStream(boost::asio::io_context&);
    explicit TcpStream(boost::asio::ip::tcp::socket);

    // Sets the options of a connected socket and starts to wait for bytes.
    void startReading();

    // Handles new bytes. Returns how many were used; the others are given again with those that follow.
    virtual size_t received(std::string_view bytes) = 0;
    // The other side closed the connection or it broke.
    virtual void disconnected() = 0;

    boost::asio::ip::tcp::socket socket;

private:
    void waitForBytes();
    void readAvailable();
    void writePending();
    void fail();

    // Received bytes that did not make up a whole message yet.
    std::string receiveBuffer;
    std::string sendBuffer;
    bool writing = false;
    bool closing = false;
};

}

#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace foxtail {

// A TCP connection that passes received bytes to the derived class as they arrive. It holds no buffer while no data arrives. Used
// on one thread.
class TcpStream : public std::enable_shared_from_this<TcpStream> {
public:
    virtual ~TcpStream() = default;
    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    // Sends the bytes in order, without blocking.
    void send(std::string_view bytes);
    // Closes the connection immediately. disconnected() is not called.
    void close();
    // Closes the connection and drops what the peer has not received yet.
    void closeWithReset();
    // Closes the connection after all pending bytes have been sent.
    void closeAfterSending();
    bool isOpen() const { return this->socket.is_open() && !this->isClosing; }

protected:
    explicit TcpStream(boost::asio::io_context&);
    explicit TcpStream(boost::asio::ip::tcp::socket);

    // Sets the socket options of a connected socket and starts waiting for data.
    void startReading();

    // Handles new bytes. Returns the number of bytes consumed; the rest is passed again together with the bytes that follow.
    virtual size_t received(std::string_view bytes) = 0;
    // Passes the bytes that were not consumed to received() again, until it consumes nothing. To be called when it can consume more.
    void processBufferedBytes();
    bool hasBufferedBytes() const { return !this->receiveBuffer.empty(); }
    // Returns the number of unconsumed bytes at which reading pauses. Called before each read.
    virtual size_t receiveLimit();
    // Continues reading if it was paused and the receive limit has grown.
    void resumeReading();
    // Called when the number of buffered bytes may have changed.
    virtual void bufferedBytesChanged() { }
    // Called when bytes of the send buffer were sent.
    virtual void unsentBytesSent() { }
    size_t unconsumedBytes() const { return this->receiveBuffer.size(); }
    size_t unsentBytes() const { return this->sendBuffer.size() - this->sentOffset; }
    // Return the memory that the buffers occupy.
    size_t receiveBufferMemory() const { return this->receiveBuffer.empty() ? 0 : this->receiveBuffer.capacity(); }
    size_t sendBufferMemory() const { return this->sendBuffer.empty() ? 0 : this->sendBuffer.capacity(); }
    // Frees the buffers of a closed connection.
    void freeBuffers();
    // Called when the peer has closed the connection or the connection has failed.
    virtual void disconnected() = 0;

    boost::asio::ip::tcp::socket socket;

private:
    void waitForBytes();
    void readAvailable();
    void waitToWrite();
    void writeSendBuffer();
    void failConnection();

    // Received bytes that were not consumed yet.
    std::string receiveBuffer;
    // Whether reading waits until bytes of a full receive buffer are consumed.
    bool isReadingPaused = false;
    // Bytes that were not sent yet, after those that were.
    std::string sendBuffer;
    size_t sentOffset = 0;
    bool isWriting = false;
    bool isClosing = false;
};

}

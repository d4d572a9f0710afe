#include "foxtailtrail/proxy/TcpStream.h"

#include "foxtailtrail/net/SocketOptions.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <utility>

namespace foxtail {

using Tcp = boost::asio::ip::tcp;

namespace {

    constexpr size_t readChunkBytes = size_t { 32 } * 1024;
    // The maximum number of bytes buffered for a peer that does not read; beyond it the connection is closed.
    constexpr size_t maxSendBufferBytes = size_t { 4 } << 20;
    // Reading pauses while this many received bytes are not consumed. Larger than two messages of the maximum size.
    constexpr size_t maxReceiveBufferBytes = size_t { 3 } << 20;

    // An empty receive buffer keeps no more memory than this.
    constexpr size_t maxIdleBufferBytes = size_t { 1 } * 1024;

    // Returns the read buffer that all connections of the thread share. Each read is handled before the next one starts.
    std::array<char, readChunkBytes>& sharedReadBuffer()
    {
        thread_local std::array<char, readChunkBytes> buffer {};
        return buffer;
    }

}

TcpStream::TcpStream(boost::asio::io_context& context)
    : socket(context)
{
}

TcpStream::TcpStream(Tcp::socket connectedSocket)
    : socket(std::move(connectedSocket))
{
}

void TcpStream::startReading()
{
    boost::system::error_code ignored;
    this->socket.non_blocking(true, ignored);
    configureSocket(this->socket.native_handle());
    this->waitForBytes();
}

void TcpStream::waitForBytes()
{
    this->socket.async_wait(Tcp::socket::wait_read, [self = this->shared_from_this()](const boost::system::error_code& code) {
        if (code == boost::asio::error::operation_aborted || !self->socket.is_open())
            return;
        self->readAvailable();
    });
}

void TcpStream::readAvailable()
{
    while (this->socket.is_open()) {
        const size_t limit = this->receiveLimit();
        this->isReadingPaused = this->receiveBuffer.size() >= limit;
        if (this->isReadingPaused)
            break;
        boost::system::error_code code;
        auto& buffer = sharedReadBuffer();
        const size_t maxCount = std::min(readChunkBytes, limit - this->receiveBuffer.size());
        const size_t count = this->socket.read_some(boost::asio::buffer(buffer.data(), maxCount), code);
        if (code == boost::asio::error::would_block)
            break;
        if (code) {
            this->failConnection();
            return;
        }
        const std::string_view newBytes(buffer.data(), count);
        if (this->receiveBuffer.empty()) {
            const size_t consumed = this->received(newBytes);
            this->receiveBuffer.assign(newBytes.substr(consumed));
            if (consumed > 0)
                this->processBufferedBytes();
        } else {
            this->receiveBuffer.append(newBytes);
            this->processBufferedBytes();
        }
        if (this->receiveBuffer.empty() && this->receiveBuffer.capacity() > maxIdleBufferBytes)
            this->receiveBuffer.shrink_to_fit();
        if (count < maxCount)
            break;
    }
    this->bufferedBytesChanged();
    if (this->socket.is_open() && !this->isReadingPaused)
        this->waitForBytes();
}

size_t TcpStream::receiveLimit() { return maxReceiveBufferBytes; }

void TcpStream::processBufferedBytes()
{
    size_t consumed = 1;
    while (consumed > 0 && this->socket.is_open() && !this->receiveBuffer.empty()) {
        // The handler may close this connection, so the bytes are moved out of the member while it runs.
        std::string bytes = std::exchange(this->receiveBuffer, {});
        consumed = this->received(bytes);
        if (consumed == 0)
            this->receiveBuffer = std::move(bytes);
        else
            this->receiveBuffer.assign(bytes, consumed);
    }
    this->bufferedBytesChanged();
    this->resumeReading();
}

void TcpStream::resumeReading()
{
    if (this->isReadingPaused && this->socket.is_open() && this->receiveBuffer.size() < this->receiveLimit()) {
        this->isReadingPaused = false;
        this->waitForBytes();
    }
}

void TcpStream::send(std::string_view bytes)
{
    if (!this->socket.is_open() || this->isClosing)
        return;
    if (this->isWriting) {
        this->sendBuffer.append(bytes);
        if (this->unsentBytes() > maxSendBufferBytes)
            boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->failConnection(); });
        this->bufferedBytesChanged();
        return;
    }
    boost::system::error_code code;
    const size_t sent = this->socket.write_some(boost::asio::buffer(bytes.data(), bytes.size()), code);
    if (code && code != boost::asio::error::would_block) {
        // The read handler reports the loss, so that a connection is never destroyed inside a call to send().
        return;
    }
    if (sent < bytes.size()) {
        this->sendBuffer.append(bytes.substr(sent));
        this->isWriting = true;
        this->waitToWrite();
        this->bufferedBytesChanged();
    }
}

void TcpStream::waitToWrite()
{
    this->socket.async_wait(Tcp::socket::wait_write, [self = this->shared_from_this()](const boost::system::error_code& code) {
        if (code || !self->socket.is_open())
            self->isWriting = false;
        else
            self->writeSendBuffer();
    });
}

void TcpStream::writeSendBuffer()
{
    boost::system::error_code code;
    const size_t sent = this->socket.write_some(boost::asio::buffer(this->sendBuffer.data() + this->sentOffset, this->unsentBytes()), code);
    if (code && code != boost::asio::error::would_block) {
        this->isWriting = false;
        std::exchange(this->sendBuffer, {});
        this->sentOffset = 0;
        // The read handler reports the loss after it has read what the peer has sent before, unless reading is paused.
        if (this->isClosing)
            this->close();
        else if (this->isReadingPaused)
            this->failConnection();
        return;
    }
    this->sentOffset += sent;
    this->isWriting = this->unsentBytes() > 0;
    // Frees what was sent, at a cost that is bounded by the bytes sent.
    if (this->sentOffset >= this->sendBuffer.size() / 2) {
        const std::string previous = std::exchange(this->sendBuffer, {});
        this->sendBuffer.assign(previous, this->sentOffset);
        this->sentOffset = 0;
    }
    if (this->isWriting)
        this->waitToWrite();
    else if (this->isClosing)
        this->close();
    this->bufferedBytesChanged();
    if (sent > 0)
        this->unsentBytesSent();
}

void TcpStream::freeBuffers()
{
    std::exchange(this->receiveBuffer, {});
    std::exchange(this->sendBuffer, {});
    this->sentOffset = 0;
}

void TcpStream::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

void TcpStream::closeWithReset()
{
    boost::system::error_code ignored;
    this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    this->close();
}

void TcpStream::closeAfterSending()
{
    if (this->isWriting)
        this->isClosing = true;
    else
        this->close();
}

void TcpStream::failConnection()
{
    if (!this->socket.is_open())
        return;
    this->close();
    this->disconnected();
}

}

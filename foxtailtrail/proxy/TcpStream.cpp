#include "foxtailtrail/proxy/TcpStream.h"

#include "foxtailtrail/net/SocketOptions.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace foxtail {

using Tcp = boost::asio::ip::tcp;

namespace {

    constexpr size_t readChunk = size_t { 32 } * 1024;
    // An answer that the other side does not take is kept up to this size.
    constexpr size_t maxPendingBytes = size_t { 4 } << 20;

    // Shared by all connections of the thread, as a read is handled before the next one starts.
    std::array<char, readChunk>& scratch()
    {
        thread_local std::array<char, readChunk> buffer {};
        return buffer;
    }

}

TcpStream::TcpStream(boost::asio::io_context& context)
    : socket(context)
{
}

TcpStream::TcpStream(Tcp::socket connected)
    : socket(std::move(connected))
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
        boost::system::error_code code;
        auto& buffer = scratch();
        const size_t count = this->socket.read_some(boost::asio::buffer(buffer), code);
        if (code == boost::asio::error::would_block)
            break;
        if (code) {
            this->fail();
            return;
        }
        const std::string_view fresh(buffer.data(), count);
        if (this->receiveBuffer.empty()) {
            const size_t used = this->received(fresh);
            this->receiveBuffer.assign(fresh.substr(used));
        } else {
            this->receiveBuffer.append(fresh);
            // The handler may close this connection, so the bytes are moved out while it runs.
            std::string bytes = std::move(this->receiveBuffer);
            this->receiveBuffer.clear();
            const size_t used = this->received(bytes);
            this->receiveBuffer.assign(bytes, used);
        }
        if (this->receiveBuffer.empty() && this->receiveBuffer.capacity() > readChunk)
            this->receiveBuffer.shrink_to_fit();
        if (count < readChunk)
            break;
    }
    if (this->socket.is_open())
        this->waitForBytes();
}

void TcpStream::send(std::string_view bytes)
{
    if (!this->socket.is_open() || this->closing)
        return;
    if (this->writing) {
        this->sendBuffer.append(bytes);
        if (this->sendBuffer.size() > maxPendingBytes)
            boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->fail(); });
        return;
    }
    boost::system::error_code code;
    const size_t sent = this->socket.write_some(boost::asio::buffer(bytes.data(), bytes.size()), code);
    if (code && code != boost::asio::error::would_block) {
        // The read side reports the loss, so that a sender never sees its connection vanish inside a call.
        return;
    }
    if (sent < bytes.size()) {
        this->sendBuffer.append(bytes.substr(sent));
        this->writePending();
    }
}

void TcpStream::writePending()
{
    this->writing = true;
    auto chunk = std::make_shared<std::string>(std::move(this->sendBuffer));
    this->sendBuffer.clear();
    boost::asio::async_write(
        this->socket, boost::asio::buffer(*chunk), [self = this->shared_from_this(), chunk](const boost::system::error_code& code, size_t) {
            self->writing = false;
            if (code || !self->socket.is_open())
                return;
            if (!self->sendBuffer.empty())
                self->writePending();
            else if (self->closing)
                self->close();
        });
}

void TcpStream::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

void TcpStream::closeAfterSending()
{
    if (this->writing)
        this->closing = true;
    else
        this->close();
}

void TcpStream::fail()
{
    if (!this->socket.is_open())
        return;
    this->close();
    this->disconnected();
}

}

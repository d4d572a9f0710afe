#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace foxtail::standins {

// The error for bytes that are not a message of the PostgreSQL protocol, version 3. The connection must be closed.
class ProtocolError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// A message from the client: its type byte and its body without the length field. The type is 0 for the start-up packet.
struct WireMessage {
    char type = 0;
    std::string body;
};

// Reads the start-up packet, which has no type byte. Returns std::nullopt when the peer closed the connection.
std::optional<WireMessage> readStartupPacket(boost::asio::ip::tcp::socket&);

// Reads one message. Returns std::nullopt when the peer closed the connection, also in the middle of a message.
std::optional<WireMessage> readMessage(boost::asio::ip::tcp::socket&);

// Reads the fields of a message body in order. Throws ProtocolError when the body is too short.
class WireReader {
public:
    explicit WireReader(std::string_view messageBody)
        : rest(messageBody)
    {
    }

    bool isAtEnd() const { return this->rest.empty(); }
    uint16_t int16();
    uint32_t int32();
    // Reads a string that is terminated by a zero byte.
    std::string text();
    std::string bytes(size_t count);

private:
    std::string_view rest;
};

// Encodes messages for the client into a buffer.
class WireWriter {
public:
    // Starts a message. end() fills in its length.
    WireWriter& begin(char type);
    WireWriter& byte(char);
    WireWriter& int16(uint16_t);
    WireWriter& int32(uint32_t);
    WireWriter& text(std::string_view);
    WireWriter& bytes(std::string_view);
    void end();

    // Writes a message without a body.
    void emptyMessage(char type);

    // Returns the encoded messages and clears the buffer.
    std::string takeBuffer();

private:
    std::string buffer;
    size_t lengthOffset = 0;
};

}

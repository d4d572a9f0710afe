#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace foxtail::standins {

// The peer sent bytes that are no message of the PostgreSQL protocol, version 3. The connection cannot go on.
class ProtocolError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// One message of the client: its type byte and its body without the length. The type is 0 for the start-up packet.
struct WireMessage {
    char type = 0;
    std::string body;
};

// Reads the start-up packet, which has no type byte. Empty when the peer closed the connection.
std::optional<WireMessage> readStartupPacket(boost::asio::ip::tcp::socket&);

// Reads one message. Empty when the peer closed the connection between messages or inside one.
std::optional<WireMessage> readMessage(boost::asio::ip::tcp::socket&);

// Takes fields off the front of a message body. Throws ProtocolError when the body ends early.
class WireReader {
public:
    explicit WireReader(std::string_view messageBody)
        : rest(messageBody)
    {
    }

    bool isAtEnd() const { return this->rest.empty(); }
    uint16_t int16();
    uint32_t int32();
    // A text that ends with a zero byte.
    std::string text();
    std::string bytes(size_t count);

private:
    std::string_view rest;
};

// Collects messages for the client.
class WireWriter {
public:
    // Starts a message; end() fills in its length.
    WireWriter& begin(char type);
    WireWriter& byte(char);
    WireWriter& int16(uint16_t);
    WireWriter& int32(uint32_t);
    WireWriter& text(std::string_view);
    WireWriter& bytes(std::string_view);
    void end();

    // A message without a body.
    void emptyMessage(char type);

    // Hands over what was collected.
    std::string takeBuffer();

private:
    std::string buffer;
    size_t lengthOffset = 0;
};

}

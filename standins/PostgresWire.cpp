#include "standins/PostgresWire.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <utility>

namespace foxtail::standins {

namespace {

    constexpr uint32_t lengthFieldBytes = 4;
    constexpr uint32_t maxStartupPacketBytes = 10 * 1024;
    constexpr uint32_t maxMessageBytes = 64U * 1024 * 1024;

    uint32_t parseBigEndian(std::string_view bytes)
    {
        uint32_t value = 0;
        for (const char byte : bytes)
            value = (value << 8U) | static_cast<unsigned char>(byte);
        return value;
    }

    bool readExactly(boost::asio::ip::tcp::socket& socket, std::string& bytes)
    {
        boost::system::error_code error;
        boost::asio::read(socket, boost::asio::buffer(bytes), error);
        return !error;
    }

    std::optional<WireMessage> readLengthAndBody(boost::asio::ip::tcp::socket& socket, char type, uint32_t limit)
    {
        std::string length(lengthFieldBytes, '\0');
        if (!readExactly(socket, length))
            return std::nullopt;
        const uint32_t size = parseBigEndian(length);
        if (size < lengthFieldBytes || size > limit)
            throw ProtocolError("message length " + std::to_string(size) + " is out of range");
        WireMessage message { type, std::string(size - lengthFieldBytes, '\0') };
        if (!readExactly(socket, message.body))
            return std::nullopt;
        return message;
    }

}

std::optional<WireMessage> readStartupPacket(boost::asio::ip::tcp::socket& socket)
{
    return readLengthAndBody(socket, 0, maxStartupPacketBytes);
}

std::optional<WireMessage> readMessage(boost::asio::ip::tcp::socket& socket)
{
    std::string type(1, '\0');
    if (!readExactly(socket, type))
        return std::nullopt;
    return readLengthAndBody(socket, type[0], maxMessageBytes);
}

uint16_t WireReader::int16() { return static_cast<uint16_t>(parseBigEndian(this->bytes(2))); }

uint32_t WireReader::int32() { return parseBigEndian(this->bytes(4)); }

std::string WireReader::text()
{
    const size_t size = this->rest.find('\0');
    if (size == std::string_view::npos)
        throw ProtocolError("a string is not terminated");
    std::string value(this->rest.substr(0, size));
    this->rest.remove_prefix(size + 1);
    return value;
}

std::string WireReader::bytes(size_t count)
{
    if (count > this->rest.size())
        throw ProtocolError("a message is too short for its fields");
    std::string value(this->rest.substr(0, count));
    this->rest.remove_prefix(count);
    return value;
}

WireWriter& WireWriter::begin(char type)
{
    this->buffer.push_back(type);
    this->lengthOffset = this->buffer.size();
    return this->int32(0);
}

WireWriter& WireWriter::byte(char value)
{
    this->buffer.push_back(value);
    return *this;
}

WireWriter& WireWriter::int16(uint16_t value) { return this->byte(static_cast<char>(value >> 8U)).byte(static_cast<char>(value)); }

WireWriter& WireWriter::int32(uint32_t value)
{
    return this->int16(static_cast<uint16_t>(value >> 16U)).int16(static_cast<uint16_t>(value));
}

WireWriter& WireWriter::text(std::string_view value) { return this->bytes(value).byte('\0'); }

WireWriter& WireWriter::bytes(std::string_view value)
{
    this->buffer.append(value);
    return *this;
}

void WireWriter::end()
{
    const size_t length = this->buffer.size() - this->lengthOffset;
    for (size_t index = 0; index < lengthFieldBytes; ++index)
        this->buffer[this->lengthOffset + index] = static_cast<char>(length >> (8 * (lengthFieldBytes - 1 - index)));
}

void WireWriter::emptyMessage(char type)
{
    this->begin(type);
    this->end();
}

std::string WireWriter::takeBuffer() { return std::exchange(this->buffer, {}); }

}

#pragma once

#include <array>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

// A seeded generator of malformed messages: mutations of valid ones, and random bytes.
class Mutator {
public:
    Mutator(uint32_t seed, std::vector<std::string> validMessages)
        : random(seed)
        , validMessages(std::move(validMessages))
    {
    }

    std::string next()
    {
        if (this->below(20) == 0)
            return this->randomBytes(this->below(64));
        std::string text = this->validMessages[this->below(this->validMessages.size())];
        const size_t mutations = 1 + this->below(4);
        for (size_t index = 0; index < mutations; ++index)
            this->mutate(text);
        return text;
    }

    size_t below(size_t bound) { return std::uniform_int_distribution<size_t>(0, bound - 1)(this->random); }

private:
    // Values at the limits of the types into which messages are decoded.
    static constexpr std::array<std::string_view, 24> boundaryValues { "0", "-1", "1", "255", "65535", "65536", "2147483648", "4294967295",
        "4294967296", "9223372036854775807", "9223372036854775808", "-9223372036854775808", "18446744073709551615", "18446744073709551616",
        "1e400", "-1e300", "1.5", "null", "true", "[]", "{}", "\"\"", "\"\\u0000\"", "\"x\"" };

    std::string randomBytes(size_t size)
    {
        std::string bytes(size, '\0');
        for (char& each : bytes)
            each = static_cast<char>(this->below(256));
        return bytes;
    }

    static bool isTokenCharacter(char character)
    {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || character == '-' || character == '.' || character == '"' || character == '_';
    }

    void mutate(std::string& text)
    {
        if (text.empty()) {
            text = this->randomBytes(1 + this->below(8));
            return;
        }
        const size_t position = this->below(text.size());
        const size_t length = 1 + this->below(std::min<size_t>(text.size() - position, 16));
        switch (this->below(8)) {
        case 0:
            text[position] = static_cast<char>(this->below(256));
            break;
        case 1:
            text.erase(position, length);
            break;
        case 2:
            text.insert(position, text.substr(position, length));
            break;
        case 3:
            text.insert(position, this->randomBytes(length));
            break;
        case 4:
            text.resize(position);
            break;
        case 5: {
            const std::string& other = this->validMessages[this->below(this->validMessages.size())];
            text = text.substr(0, position) + other.substr(this->below(other.size() + 1));
            break;
        }
        default: {
            // Replaces the token at the position with a boundary value.
            size_t begin = position;
            while (begin > 0 && isTokenCharacter(text[begin - 1]))
                --begin;
            size_t end = position;
            while (end < text.size() && isTokenCharacter(text[end]))
                ++end;
            text.replace(begin, end - begin, boundaryValues[this->below(boundaryValues.size())]);
            break;
        }
        }
    }

    std::mt19937 random;
    std::vector<std::string> validMessages;
};

}

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <streambuf>
#include <string>
#include <string_view>

namespace foxtail {

// Collects log lines and writes them to a descriptor without ever blocking: what a reader does not take in time is left out and
// counted.
class LogOutput : public std::streambuf {
public:
    explicit LogOutput(int descriptor)
        : descriptor(descriptor)
    {
    }

    // Writes what the descriptor takes now.
    void flush();
    // Lines that did not fit since the last call.
    uint64_t takeDroppedLineCount();

protected:
    std::streamsize xsputn(const char* text, std::streamsize count) override;
    int_type overflow(int_type letter) override;

private:
    int descriptor;
    std::string buffer;
    uint64_t droppedLineCount = 0;
};

// Bounds the number of log lines of each event.
class LogRateLimiter {
public:
    // Whether a line of the event may be written in the given second. Counts it otherwise.
    bool admit(std::string_view event, int64_t second);
    // The events whose lines were left out since the last call, with their numbers.
    std::map<std::string, uint64_t, std::less<>> takeDroppedLineCounts();

private:
    struct EventWindow {
        int64_t second = 0;
        uint32_t lineCount = 0;
    };
    std::map<std::string, EventWindow, std::less<>> eventWindows;
    std::map<std::string, uint64_t, std::less<>> droppedLineCounts;
};

}

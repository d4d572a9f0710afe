#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <streambuf>
#include <string>
#include <string_view>

namespace foxtail {

// A buffer of log lines that writes to a descriptor without ever blocking. Lines that do not fit because the reader is slow are dropped and
// counted.
class LogOutput : public std::streambuf {
public:
    explicit LogOutput(int descriptor)
        : descriptor(descriptor)
    {
    }

    // Writes as much as the descriptor accepts without blocking.
    void flush();
    // Returns the number of lines dropped since the last call.
    uint64_t takeDroppedLineCount();

protected:
    std::streamsize xsputn(const char* text, std::streamsize count) override;
    int_type overflow(int_type character) override;

private:
    int descriptor;
    std::string buffer;
    uint64_t droppedLineCount = 0;
};

// Limiter of the number of log lines per event and second.
class LogRateLimiter {
public:
    // Returns whether a line of the event may be written in the given second. Counts a refused line as dropped.
    bool admit(std::string_view event, int64_t second);
    // Returns the number of lines dropped since the last call, by event.
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

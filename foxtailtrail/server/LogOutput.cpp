#include "foxtailtrail/server/LogOutput.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace foxtail {

namespace {

    // Bounds the memory of lines that wait for the reader.
    constexpr size_t maxBufferedBytes = size_t { 256 } * 1024;
    // A pipe that is ready for writing accepts this many bytes without blocking.
    constexpr size_t atomicWriteBytes = 4096;
    constexpr uint32_t maxLinesPerEventPerSecond = 100;

}

std::streamsize LogOutput::xsputn(const char* text, std::streamsize count)
{
    const auto size = static_cast<size_t>(count);
    if (this->buffer.size() + size > maxBufferedBytes)
        this->droppedLineCount += static_cast<uint64_t>(std::count(text, text + count, '\n'));
    else
        this->buffer.append(text, size);
    return count;
}

LogOutput::int_type LogOutput::overflow(int_type character)
{
    const char text = traits_type::to_char_type(character);
    this->xsputn(&text, 1);
    return character;
}

void LogOutput::flush()
{
    size_t written = 0;
    while (written < this->buffer.size()) {
        pollfd target { this->descriptor, POLLOUT, 0 };
        if (poll(&target, 1, 0) != 1 || (target.revents & POLLOUT) == 0)
            break;
        const size_t chunk = std::min(atomicWriteBytes, this->buffer.size() - written);
        const ssize_t count = write(this->descriptor, this->buffer.data() + written, chunk);
        if (count <= 0)
            break;
        written += static_cast<size_t>(count);
    }
    this->buffer.erase(0, written);
}

uint64_t LogOutput::takeDroppedLineCount() { return std::exchange(this->droppedLineCount, 0); }

bool LogRateLimiter::admit(std::string_view event, int64_t second)
{
    auto window = this->eventWindows.find(event);
    if (window == this->eventWindows.end())
        window = this->eventWindows.emplace(std::string(event), EventWindow {}).first;
    if (window->second.second != second)
        window->second = EventWindow { second, 0 };
    if (++window->second.lineCount <= maxLinesPerEventPerSecond)
        return true;
    ++this->droppedLineCounts[window->first];
    return false;
}

std::map<std::string, uint64_t, std::less<>> LogRateLimiter::takeDroppedLineCounts() { return std::exchange(this->droppedLineCounts, {}); }

}

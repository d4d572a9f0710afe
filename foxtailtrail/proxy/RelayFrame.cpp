#include "foxtailtrail/proxy/RelayFrame.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>
#include <array>
#include <boost/endian/conversion.hpp>
#include <limits>

namespace foxtail {

namespace {

    // The largest message of callers and servers is 1 MiB; an answer may contain several messages.
    constexpr size_t maxFrameBytes = size_t { 4 } << 20;
    constexpr int32_t noObjective = INT32_MAX;
    constexpr uint32_t noReturnTime = UINT32_MAX;
    constexpr auto lastFrameKind = static_cast<uint8_t>(RelayFrameKind::Loads);
    constexpr auto lastAcquireOutcome = static_cast<uint8_t>(AcquireOutcome::Gone);

    template <typename Number> void append(std::string& out, Number number)
    {
        std::array<unsigned char, sizeof(Number)> bytes {};
        boost::endian::endian_store<Number, sizeof(Number), boost::endian::order::big>(bytes.data(), number);
        out.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    }

    // Reads the fields of a frame in order. A missing field makes the whole frame malformed.
    class FieldReader {
    public:
        explicit FieldReader(std::string_view bytes)
            : rest(bytes)
        {
        }

        template <typename Number> Number number()
        {
            const std::string_view field = this->text(sizeof(Number));
            if (field.size() < sizeof(Number))
                return 0;
            return boost::endian::endian_load<Number, sizeof(Number), boost::endian::order::big>(
                reinterpret_cast<const unsigned char*>(field.data()));
        }

        std::string_view text(size_t size)
        {
            this->isComplete = this->isComplete && size <= this->rest.size();
            const std::string_view field = this->rest.substr(0, std::min(size, this->rest.size()));
            this->rest.remove_prefix(field.size());
            return field;
        }

        std::string_view remaining() const { return this->rest; }
        bool hasAllFields() const { return this->isComplete; }

    private:
        std::string_view rest;
        bool isComplete = true;
    };

    // Writes a frame: its length excluding the length field, the kind, the channel, and the fields that the function appends.
    template <typename Fields> void writeFrame(std::string& out, RelayFrameKind kind, uint32_t channel, const Fields& fields)
    {
        const size_t begin = out.size();
        append<uint32_t>(out, 0);
        append<uint8_t>(out, static_cast<uint8_t>(kind));
        append<uint32_t>(out, channel);
        fields();
        std::string length;
        append<uint32_t>(length, static_cast<uint32_t>(out.size() - begin - sizeof(uint32_t)));
        out.replace(begin, length.size(), length);
    }

    // The unit of service times in a report, which bounds them to 6.5 s.
    constexpr Duration serviceTimeUnit = std::chrono::microseconds(100);

    template <typename Number> void appendCapped(std::string& out, int64_t number)
    {
        append<Number>(out, static_cast<Number>(std::clamp<int64_t>(number, 0, std::numeric_limits<Number>::max())));
    }

    void appendLoad(std::string& out, const ServerLoad& load)
    {
        appendCapped<uint8_t>(out, load.running);
        appendCapped<uint16_t>(out, load.waiting);
        appendCapped<uint8_t>(out, load.slots);
        appendCapped<uint16_t>(out, load.meanServiceTime / serviceTimeUnit);
    }

    ServerLoad readLoad(FieldReader& reader)
    {
        ServerLoad load;
        load.running = reader.number<uint8_t>();
        load.waiting = reader.number<uint16_t>();
        load.slots = std::max<uint32_t>(1, reader.number<uint8_t>());
        load.meanServiceTime = reader.number<uint16_t>() * serviceTimeUnit;
        return load;
    }

    void readReports(FieldReader& reader, std::vector<LoadReport>& reports)
    {
        while (!reader.remaining().empty() && reader.hasAllFields()) {
            LoadReport report;
            report.serverKey = reader.number<uint32_t>();
            report.age = std::chrono::milliseconds(reader.number<uint16_t>());
            report.load = readLoad(reader);
            reports.push_back(report);
        }
    }

    void readOpen(FieldReader& reader, RelayFrame& frame)
    {
        frame.statementCount = reader.number<uint8_t>();
        frame.request.priority = reader.number<uint32_t>();
        frame.request.maxWaitMs = reader.number<uint32_t>();
        const auto objectiveInMs = reader.number<int32_t>();
        if (objectiveInMs != noObjective)
            frame.request.objectiveInMs = objectiveInMs;
        frame.request.isControl = reader.number<uint8_t>() != 0;
        frame.request.server = BackendServerId(std::string(reader.text(reader.number<uint16_t>())));
        frame.request.organisation = reader.text(reader.number<uint16_t>());
        frame.bytes = reader.remaining();
    }

}

void writeRelayOpen(std::string& out, uint32_t channel, const RelayRequest& request, uint8_t statements, std::string_view bytes)
{
    writeFrame(out, RelayFrameKind::Open, channel, [&] {
        append<uint8_t>(out, statements);
        append<uint32_t>(out, request.priority);
        append<uint32_t>(out, static_cast<uint32_t>(std::clamp<int64_t>(request.maxWaitMs, 0, UINT32_MAX)));
        append<int32_t>(
            out, static_cast<int32_t>(std::clamp<int64_t>(request.objectiveInMs.value_or(noObjective), INT32_MIN, noObjective)));
        append<uint8_t>(out, request.isControl ? 1 : 0);
        append<uint16_t>(out, static_cast<uint16_t>(request.server.value.size()));
        out += request.server.value;
        append<uint16_t>(out, static_cast<uint16_t>(request.organisation.size()));
        out += request.organisation;
        out += bytes;
    });
}

void writeRelayStatements(std::string& out, uint32_t channel, uint8_t statements, std::string_view bytes)
{
    writeFrame(out, RelayFrameKind::Statements, channel, [&] {
        append<uint8_t>(out, statements);
        out += bytes;
    });
}

void writeRelayRelease(std::string& out, uint32_t channel, bool leavesState)
{
    writeFrame(out, RelayFrameKind::Release, channel, [&] { append<uint8_t>(out, leavesState ? 1 : 0); });
}

void writeRelayDenied(
    std::string& out, uint32_t channel, AcquireOutcome denial, std::optional<uint32_t> returnAfterMs, const std::optional<ServerLoad>& load)
{
    writeFrame(out, load ? RelayFrameKind::DeniedWithLoad : RelayFrameKind::Denied, channel, [&] {
        if (load)
            appendLoad(out, *load);
        append<uint8_t>(out, static_cast<uint8_t>(denial));
        append<uint32_t>(out, returnAfterMs.value_or(noReturnTime));
    });
}

void writeRelayAnswer(std::string& out, uint32_t channel, std::string_view bytes, const std::optional<ServerLoad>& load)
{
    writeFrame(out, load ? RelayFrameKind::AnswerWithLoad : RelayFrameKind::Answer, channel, [&] {
        if (load)
            appendLoad(out, *load);
        out += bytes;
    });
}

void writeRelayLoads(std::string& out, uint32_t channel, const std::vector<LoadReport>& reports)
{
    writeFrame(out, RelayFrameKind::Loads, channel, [&] {
        for (const LoadReport& report : reports) {
            append<uint32_t>(out, report.serverKey);
            appendCapped<uint16_t>(out, toMilliseconds(report.age));
            appendLoad(out, report.load);
        }
    });
}

uint32_t loadReportKey(const BackendServerId& id) { return static_cast<uint32_t>(stableHash(id.value)); }

void writeRelaySignal(std::string& out, RelayFrameKind kind, uint32_t channel)
{
    writeFrame(out, kind, channel, [] {});
}

RelayReadResult readRelayFrame(std::string_view& bytes, RelayFrame& frame)
{
    FieldReader lengthReader(bytes);
    const auto length = lengthReader.number<uint32_t>();
    if (!lengthReader.hasAllFields())
        return RelayReadResult::Incomplete;
    if (length > maxFrameBytes)
        return RelayReadResult::Malformed;
    if (lengthReader.remaining().size() < length)
        return RelayReadResult::Incomplete;
    FieldReader reader(lengthReader.text(length));
    bytes = lengthReader.remaining();

    const auto kind = reader.number<uint8_t>();
    if (kind > lastFrameKind)
        return RelayReadResult::Malformed;
    frame = RelayFrame {};
    frame.kind = static_cast<RelayFrameKind>(kind);
    frame.channel = reader.number<uint32_t>();
    if (frame.kind == RelayFrameKind::DeniedWithLoad || frame.kind == RelayFrameKind::AnswerWithLoad) {
        frame.kind = frame.kind == RelayFrameKind::DeniedWithLoad ? RelayFrameKind::Denied : RelayFrameKind::Answer;
        frame.load = readLoad(reader);
    }
    switch (frame.kind) {
    case RelayFrameKind::Open:
        readOpen(reader, frame);
        break;
    case RelayFrameKind::Statements:
        frame.statementCount = reader.number<uint8_t>();
        frame.bytes = reader.remaining();
        break;
    case RelayFrameKind::Release:
        frame.leavesState = reader.number<uint8_t>() != 0;
        break;
    case RelayFrameKind::Denied: {
        const auto denial = reader.number<uint8_t>();
        if (denial > lastAcquireOutcome || denial == static_cast<uint8_t>(AcquireOutcome::Acquired))
            return RelayReadResult::Malformed;
        frame.denial = static_cast<AcquireOutcome>(denial);
        const auto returnAfterMs = reader.number<uint32_t>();
        if (returnAfterMs != noReturnTime)
            frame.returnAfterMs = returnAfterMs;
        break;
    }
    case RelayFrameKind::Loads:
        readReports(reader, frame.reports);
        break;
    case RelayFrameKind::Answer:
        frame.bytes = reader.remaining();
        break;
    default:
        break;
    }
    return reader.hasAllFields() ? RelayReadResult::Complete : RelayReadResult::Malformed;
}

}

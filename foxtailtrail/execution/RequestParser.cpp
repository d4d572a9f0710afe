#include "foxtailtrail/execution/RequestParser.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace foxtail {

namespace {

    using namespace std::chrono_literals;

    constexpr size_t maxRequestIdLength = 128;
    constexpr size_t maxTokenLength = 1024;
    constexpr size_t maxKeyLength = 256;
    constexpr Duration maxStalenessLimit = 24h;
    constexpr std::string_view bearerScheme = "bearer ";
    constexpr std::string_view proxyHeaderPrefix = "foxtail-";

    auto malformed(std::string detail) { return fail(ErrorKind::MalformedRequest, std::move(detail)); }

    std::string lowerCase(std::string_view text)
    {
        std::string result(text);
        std::transform(
            result.begin(), result.end(), result.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
        return result;
    }

    Result<Duration> parseMilliseconds(std::string_view text, Duration minimum, Duration maximum, std::string_view name)
    {
        uint64_t value = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool isWholeNumber = code == std::errc() && end == text.data() + text.size();
        const auto maxValue = static_cast<uint64_t>(toMilliseconds(maximum));
        const auto minValue = static_cast<uint64_t>(toMilliseconds(minimum));
        if (!isWholeNumber || value < minValue || value > maxValue) {
            return malformed(std::string(name) + " must be a whole number of milliseconds from " + std::to_string(minValue) + " to "
                + std::to_string(maxValue));
        }
        return Duration(std::chrono::milliseconds(value));
    }

    using Settings = RequestParserSettings;

    Result<void> readKey(RequestHeaders& headers, std::string_view value, const Settings&, TimePoint)
    {
        const bool isBearer = lowerCase(value.substr(0, bearerScheme.size())) == bearerScheme;
        const std::string_view key = isBearer ? value.substr(bearerScheme.size()) : std::string_view();
        if (key.empty() || key.size() > maxKeyLength || key.find_first_of(" \t") != std::string_view::npos)
            return fail(ErrorKind::KeyMissing, "Authorization must be \"Bearer\" followed by one key");
        headers.key = key;
        return succeed();
    }

    Result<void> readToken(RequestHeaders& headers, std::string_view value, const Settings&, TimePoint)
    {
        if (value.size() > maxTokenLength)
            return fail(ErrorKind::TokenInvalid, "the token is too long");
        headers.token = value;
        return succeed();
    }

    Result<void> readRequestId(RequestHeaders& headers, std::string_view value, const Settings&, TimePoint)
    {
        BOOST_OUTCOME_TRY(headers.requestId, parseRequestId(value));
        return succeed();
    }

    Result<void> readMaxStaleness(RequestHeaders& headers, std::string_view value, const Settings&, TimePoint)
    {
        BOOST_OUTCOME_TRY(const Duration staleness, parseMilliseconds(value, 0ms, maxStalenessLimit, "Foxtail-Max-Staleness"));
        headers.maxStaleness = staleness;
        return succeed();
    }

    Result<void> readDeadline(RequestHeaders& headers, std::string_view value, const Settings& settings, TimePoint now)
    {
        BOOST_OUTCOME_TRY(const Duration remaining, parseMilliseconds(value, 1ms, settings.maxTimeout, "Foxtail-Deadline"));
        headers.deadline = now + remaining;
        return succeed();
    }

    // A header that this parser handles, by its name in lower case.
    struct HeaderRow {
        std::string_view name;
        Result<void> (*read)(RequestHeaders&, std::string_view value, const Settings&, TimePoint now);
    };

    constexpr std::array headerTable {
        HeaderRow { "authorization", readKey },
        HeaderRow { "foxtail-token", readToken },
        HeaderRow { "foxtail-request-id", readRequestId },
        HeaderRow { "foxtail-max-staleness", readMaxStaleness },
        HeaderRow { "foxtail-deadline", readDeadline },
    };

}

Result<RequestId> parseRequestId(std::string_view text)
{
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == ':' || c == '-';
    };
    if (text.empty() || text.size() > maxRequestIdLength || !std::all_of(text.begin(), text.end(), isAllowed))
        return malformed("a request id must be 1 to 128 letters, digits, '.', '_', ':' or '-'");
    return RequestId(std::string(text));
}

Result<RequestHeaders> parseRequestHeaders(std::span<const HeaderField> fields, const RequestParserSettings& settings, TimePoint now)
{
    RequestHeaders headers;
    headers.deadline = now + settings.defaultTimeout;
    std::array<bool, headerTable.size()> presentHeaders {};
    for (const HeaderField& field : fields) {
        const std::string name = lowerCase(field.name);
        const auto row = std::find_if(headerTable.begin(), headerTable.end(), [&](const HeaderRow& each) { return each.name == name; });
        if (row == headerTable.end()) {
            if (name.starts_with(proxyHeaderPrefix))
                return malformed("unknown header " + name);
            continue;
        }
        bool& isPresent = presentHeaders[static_cast<size_t>(row - headerTable.begin())];
        if (isPresent)
            return malformed("header " + name + " is repeated");
        isPresent = true;
        BOOST_OUTCOME_TRY(row->read(headers, field.value, settings, now));
    }
    return headers;
}

}

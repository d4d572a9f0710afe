#pragma once

#include "foxtailtrail/execution/Transaction.h"

#include <span>

namespace foxtail {

// One header of a request as received.
struct HeaderField {
    std::string_view name;
    std::string_view value;
};

// Bounds on the values of the request headers.
struct RequestParserSettings {
    Duration defaultTimeout = std::chrono::seconds(5);
    Duration maxTimeout = std::chrono::seconds(60);
};

// The parsed headers of a request.
struct RequestHeaders {
    // The API key after "Bearer". Empty if the request has no key.
    std::string key;
    // The consistency token as received, not yet verified. Empty if the request has none.
    std::string token;
    // Empty if the caller sent none; the entry VM then generates one.
    RequestId requestId;
    std::optional<Duration> maxStaleness;
    TimePoint deadline;
};

// Parses Authorization and the Foxtail-* headers; Foxtail-Deadline counts from now. Fails with MalformedRequest if one of them is
// repeated, unknown or out of range, and with KeyMissing if Authorization holds no bearer key.
Result<RequestHeaders> parseRequestHeaders(std::span<const HeaderField>, const RequestParserSettings&, TimePoint now);

// Checks a request id: 1 to 128 letters, digits, '.', '_', ':' or '-'. Fails with MalformedRequest.
Result<RequestId> parseRequestId(std::string_view text);

}

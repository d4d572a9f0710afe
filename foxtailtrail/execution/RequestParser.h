#pragma once

#include "foxtailtrail/execution/Transaction.h"

#include <span>

namespace foxtail {

// One header of a request as received.
struct HeaderField {
    std::string_view name;
    std::string_view value;
};

// Bounds on what the headers of a request may ask for.
struct RequestParserSettings {
    Duration defaultTimeout = std::chrono::seconds(5);
    Duration maxTimeout = std::chrono::seconds(60);
};

// What the headers of a request say.
struct RequestHeaders {
    // The text after "Bearer". Empty when the request carries no key.
    std::string key;
    // The consistency token as received, not yet verified. Empty when there is none.
    std::string token;
    // Empty when the caller gave none; the entry VM then generates one.
    RequestId requestId;
    std::optional<Duration> maxStaleness;
    TimePoint deadline;
};

// Reads Authorization and the Foxtail-* headers; the deadline counts from now. Fails with MalformedRequest when one is
// repeated, unknown or out of range, and with KeyMissing when the key is not a bearer key.
Result<RequestHeaders> parseRequestHeaders(std::span<const HeaderField>, const RequestParserSettings&, TimePoint now);

// Checks a request id: 1 to 128 letters, digits, '.', '_', ':' or '-'. Fails with MalformedRequest.
Result<RequestId> parseRequestId(std::string_view text);

}

#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Result.h"

#include <string>
#include <string_view>

namespace foxtail {

// The log point up to which a session has observed one database. The token travels with the caller; no VM stores it.
struct ConsistencyToken {
    DatabaseId database;
    LogPoint logPoint;

    // Returns the text form: base64url of a short JSON object, a dot, base64url of its HMAC-SHA256 under the fleet's
    // secret.
    std::string encode(std::string_view secret) const;

    // Parses the text form. Fails with TokenInvalid when the text is malformed or was not signed with the secret.
    static Result<ConsistencyToken> decode(std::string_view text, std::string_view secret);

    bool operator==(const ConsistencyToken&) const = default;
};

}

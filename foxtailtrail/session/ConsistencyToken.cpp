#include "foxtailtrail/session/ConsistencyToken.h"

#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/base/Json.h"

namespace foxtail {

namespace {

    // Longer texts are rejected before they are decoded.
    constexpr size_t maxTokenBytes = 1024;

    // The prefix prevents a signature that was made for another purpose with the same secret from being accepted as that of
    // a token.
    std::string signature(std::string_view payload, std::string_view secret)
    {
        return hmacSha256(secret, "foxtail-token:" + std::string(payload));
    }

    Result<ConsistencyToken> parsePayload(std::string_view payload)
    {
        BOOST_OUTCOME_TRY(const auto object, parseJsonObject(payload));
        BOOST_OUTCOME_TRY(const auto database, stringMember(object, "d"));
        BOOST_OUTCOME_TRY(const auto term, unsignedMember(object, "t"));
        BOOST_OUTCOME_TRY(const auto position, unsignedMember(object, "p"));
        return ConsistencyToken { DatabaseId(database), { Term { term }, Position { position } } };
    }

}

std::string ConsistencyToken::encode(std::string_view secret) const
{
    json::object object;
    object["d"] = this->database.value;
    object["t"] = this->logPoint.term.value;
    object["p"] = this->logPoint.position.value;
    const std::string payload = json::serialize(object);
    return base64UrlEncode(payload) + "." + base64UrlEncode(signature(payload, secret));
}

Result<ConsistencyToken> ConsistencyToken::decode(std::string_view text, std::string_view secret)
{
    if (text.size() > maxTokenBytes)
        return fail(ErrorKind::TokenInvalid, "the token is longer than 1024 bytes");
    const size_t dot = text.find('.');
    if (dot == std::string_view::npos)
        return fail(ErrorKind::TokenInvalid, "the token has no signature");
    std::string payload;
    std::string tag;
    if (!base64UrlDecode(text.substr(0, dot), payload) || !base64UrlDecode(text.substr(dot + 1), tag))
        return fail(ErrorKind::TokenInvalid, "the token is not base64url");
    if (!equalInConstantTime(tag, signature(payload, secret)))
        return fail(ErrorKind::TokenInvalid, "the token's signature is wrong");
    auto token = parsePayload(payload);
    if (!token)
        return fail(ErrorKind::TokenInvalid, token.error().detail);
    return token;
}

}

#include "foxtailtrail/config/KeyTable.h"

#include "foxtailtrail/base/Hash.h"

namespace foxtail {

namespace {

    constexpr std::string_view keyPrefix = "ftk_";
    // Longer texts are rejected before hashing, so that a client cannot make authentication expensive.
    constexpr size_t maximumKeyLength = 200;
    // Compared with the digest of a presented key whose id is unknown, so that the check takes as long as for a wrong secret.
    constexpr std::string_view placeholderDigest = "0000000000000000000000000000000000000000000000000000000000000000";

    // Returns the id in the text of a key, or an empty view if the text does not have the form of a key.
    std::string_view extractKeyId(std::string_view text)
    {
        if (text.size() > maximumKeyLength || !text.starts_with(keyPrefix))
            return {};
        const size_t end = text.find('_', keyPrefix.size());
        return end == std::string_view::npos ? std::string_view() : text.substr(keyPrefix.size(), end - keyPrefix.size());
    }

}

IssuedKey makeKey(const KeyId& id, const OrganisationId& organisation, const KeySecretBytes& random)
{
    const std::string_view bytes(reinterpret_cast<const char*>(random.data()), random.size());
    std::string text = std::string(keyPrefix) + id.value + "_" + base64UrlEncode(bytes);
    Key key { id, organisation, sha256Hex(text), false };
    return { std::move(key), std::move(text) };
}

KeyTable::KeyTable(const Configuration& configuration)
    : keys(configuration.keys.begin(), configuration.keys.end())
{
}

Result<OrganisationId> KeyTable::authenticate(std::string_view presentedKey) const
{
    if (presentedKey.empty())
        return fail(ErrorKind::KeyMissing);
    const std::string_view id = extractKeyId(presentedKey);
    if (id.empty())
        return fail(ErrorKind::KeyUnknown);
    const auto found = this->keys.find(KeyId(std::string(id)));
    const bool isKnown = found != this->keys.end();
    const bool digestMatches
        = equalInConstantTime(sha256Hex(presentedKey), isKnown ? std::string_view(found->second.digest) : placeholderDigest);
    if (!isKnown || !digestMatches)
        return fail(ErrorKind::KeyUnknown);
    if (found->second.withdrawn)
        return fail(ErrorKind::KeyWithdrawn);
    return found->second.organisation;
}

}

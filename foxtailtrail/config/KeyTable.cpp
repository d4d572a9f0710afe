#include "foxtailtrail/config/KeyTable.h"

#include "foxtailtrail/base/Hash.h"

namespace foxtail {

namespace {

    constexpr std::string_view keyPrefix = "ftk_";
    // Longer texts are refused before hashing, so that a caller can't make the check expensive.
    constexpr size_t maximumKeyLength = 200;
    // An unknown id is compared with this digest, so that it takes as long as a wrong secret.
    constexpr std::string_view absentDigest = "0000000000000000000000000000000000000000000000000000000000000000";

    // The id within a key text, or nothing when the text does not have the form of a key.
    std::string_view idWithin(std::string_view text)
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

Result<OrganisationId> KeyTable::authenticate(std::string_view presented) const
{
    if (presented.empty())
        return fail(ErrorKind::KeyMissing);
    const std::string_view id = idWithin(presented);
    if (id.empty())
        return fail(ErrorKind::KeyUnknown);
    const auto found = this->keys.find(KeyId(std::string(id)));
    const bool known = found != this->keys.end();
    const bool matches = equalInConstantTime(sha256Hex(presented), known ? std::string_view(found->second.digest) : absentDigest);
    if (!known || !matches)
        return fail(ErrorKind::KeyUnknown);
    if (found->second.withdrawn)
        return fail(ErrorKind::KeyWithdrawn);
    return found->second.organisation;
}

}

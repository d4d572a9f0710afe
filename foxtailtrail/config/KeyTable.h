#pragma once

#include "foxtailtrail/config/Configuration.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace foxtail {

// The random bytes of a new key's secret.
using KeySecretBytes = std::array<uint8_t, 32>;

// A new key. The text is shown to the operator once and is not stored.
struct IssuedKey {
    Key key;
    std::string text;
};

// Creates a key of the form ftk_<id>_<secret> from the given random bytes.
IssuedKey makeKey(const KeyId&, const OrganisationId&, const KeySecretBytes&);

// The keys of one configuration version, indexed by id to authenticate every request.
class KeyTable {
public:
    explicit KeyTable(const Configuration&);

    // Returns the organisation of the key. Fails with KeyMissing, KeyUnknown or KeyWithdrawn. No error text contains any part of the
    // key. KeyWithdrawn is reported only for a complete, correct key.
    Result<OrganisationId> authenticate(std::string_view presentedKey) const;

private:
    std::unordered_map<KeyId, Key> keys;
};

}

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

// A new key. The text is shown to the operator once and kept nowhere.
struct IssuedKey {
    Key key;
    std::string text;
};

// Makes a key of the form ftk_<id>_<secret> from random bytes that the caller supplies.
IssuedKey makeKey(const KeyId&, const OrganisationId&, const KeySecretBytes&);

// The keys of one configuration version, indexed for the check of every request.
class KeyTable {
public:
    explicit KeyTable(const Configuration&);

    // The organisation of a presented key text. Fails with KeyMissing, KeyUnknown or KeyWithdrawn. No error text
    // contains any part of the key. Only a holder of the whole key learns that it has been withdrawn.
    Result<OrganisationId> authenticate(std::string_view presented) const;

private:
    std::unordered_map<KeyId, Key> keys;
};

}

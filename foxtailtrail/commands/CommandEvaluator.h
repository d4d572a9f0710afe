#pragma once

#include "foxtailtrail/commands/Command.h"
#include "foxtailtrail/config/KeyTable.h"

#include <string>

namespace foxtail {

// What a change needs beside its command. The random bytes are used at most once.
struct ChangeContext {
    std::string changeId;
    std::string author;
    KeySecretBytes randomBytes {};
};

// A change that is ready to be proposed.
struct EvaluatedChange {
    ConfigurationChange change;
    // The text of a new key, shown once when the change has been stored, else empty.
    std::string keyText;
};

// Turns a command into a change. The configuration is this VM's newest; it decides the id of a new key only, since the
// proposal applies the change to the stored document.
EvaluatedChange evaluateChange(const ChangeCommand&, const Configuration&, const ChangeContext&);

// Adds the nearest existing name to the error of a change that names something that does not exist.
Error withSuggestion(Error, const ChangeCommand&, const Configuration&);

}

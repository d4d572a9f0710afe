#pragma once

#include "foxtailtrail/commands/Command.h"
#include "foxtailtrail/config/KeyTable.h"

#include <string>

namespace foxtail {

// The inputs of a change other than its command. The random bytes are used at most once.
struct ChangeContext {
    std::string changeId;
    std::string author;
    KeySecretBytes randomBytes {};
};

// A change that can be proposed.
struct EvaluatedChange {
    ConfigurationChange change;
    // The text of a newly issued key, which is shown once, after the change has been stored. Empty for other changes.
    std::string keyText;
};

// Converts a command to a change. The configuration is the newest one that this VM has. It determines only the id of a new key, since
// the proposal applies the change to the stored document.
EvaluatedChange evaluateChange(const ChangeCommand&, const Configuration&, const ChangeContext&);

// Adds a suggestion to the error of a change for each name that the change refers to and that does not exist: the nearest existing
// name, if one is near enough.
Error withSuggestion(Error, const ChangeCommand&, const Configuration&);

}

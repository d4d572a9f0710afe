#pragma once

#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/commands/Command.h"

#include <string>
#include <string_view>

namespace foxtail {

// The longest command in bytes.
constexpr size_t maxCommandLength = 4096;

// What is wrong with a command.
struct CommandSyntaxError {
    // The character where it goes wrong, counted from 1.
    size_t column = 1;
    // What the language allows there.
    std::string expected;
    // The allowed word that is nearest to the one found, or an empty text.
    std::string suggestion;

    // For example: column 6: expected databases, keys or servers (did you mean "servers"?).
    std::string message() const;
};

using CommandParseResult = boost::outcome_v2::basic_result<Command, CommandSyntaxError, boost::outcome_v2::policy::terminate>;

// Reads one command of the operators' language.
CommandParseResult parseCommand(std::string_view text);

// One line for each form of command.
std::string commandHelp();

}

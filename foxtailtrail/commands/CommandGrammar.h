#pragma once

#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/commands/Command.h"

#include <string>
#include <string_view>

namespace foxtail {

// The maximum length of a command in bytes.
constexpr size_t maxCommandLength = 4096;

// A syntax error in a command.
struct CommandSyntaxError {
    // The position of the error in characters, counted from 1.
    size_t column = 1;
    // What the grammar allows at this position.
    std::string expected;
    // The allowed word that is nearest to the word at this position. Empty if none is near enough.
    std::string suggestion;

    // Formats the error, for example: column 6: expected databases, keys or servers (did you mean "servers"?).
    std::string message() const;
};

// A command, or the error that prevented its parsing.
using CommandParseResult = boost::outcome_v2::basic_result<Command, CommandSyntaxError, boost::outcome_v2::policy::terminate>;

// Parses one command of the operators' command language.
CommandParseResult parseCommand(std::string_view text);

// Returns the help text, which lists the forms of commands.
std::string commandHelp();

}

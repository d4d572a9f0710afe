#include "foxtailtrail/commands/CommandGrammar.h"

#include <fstream>
#include <gtest/gtest.h>

namespace foxtail {

// One command of the language on a page, with the line of output that follows it.
struct PageExample {
    std::string page;
    size_t line = 0;
    std::string command;
    std::string output;
};

// The command in a line such as: $ foxtailtrail command --json "show vms". Empty when the line has none.
std::string commandOfCall(const std::string& line)
{
    const size_t call = line.find("foxtailtrail command ");
    const size_t open = line.find('"', call);
    if (!line.starts_with("$ ") || call == std::string::npos || open == std::string::npos)
        return "";
    std::string command;
    for (size_t place = open + 1; place < line.size() && line[place] != '"'; ++place) {
        // The shell takes the backslash of a quoted double quote away.
        place += line[place] == '\\' ? 1 : 0;
        command += line[place];
    }
    return command;
}

// The commands in the blocks of a page that are marked "console" (calls after "$ ") or "foxtail" (one command a line).
std::vector<PageExample> examplesOf(const std::string& page)
{
    std::vector<PageExample> examples;
    std::ifstream stream(std::string(FOXTAIL_SOURCE_FOLDER) + "/" + page);
    std::string block;
    std::string line;
    for (size_t number = 1; std::getline(stream, line); ++number) {
        if (line.starts_with("```")) {
            block = line.substr(3);
        } else if (block.starts_with("foxtail")) {
            examples.push_back({ page, number, line, "" });
        } else if (block.starts_with("console")) {
            if (line.starts_with("$ "))
                examples.push_back({ page, number, commandOfCall(line), "" });
            else if (!examples.empty() && examples.back().output.empty())
                examples.back().output = line;
        }
    }
    std::erase_if(examples, [](const PageExample& example) { return example.command.empty(); });
    return examples;
}

std::vector<PageExample> allExamples()
{
    std::vector<PageExample> all;
    for (const char* page : { "README.md", "docs/commands.md", "docs/operations.md" }) {
        const std::vector<PageExample> examples = examplesOf(page);
        all.insert(all.end(), examples.begin(), examples.end());
    }
    return all;
}

// Guards against pages that show operators commands that the grammar refuses, or a mistake that it reports differently. One test
// for all, so that an example added to a page is checked without building the list of tests anew.
TEST(PageExampleTest, EachParsesAsThePageSays)
{
    constexpr std::string_view mistake = "foxtailtrail: CommandInvalid: column ";
    for (const PageExample& example : allExamples()) {
        const testing::ScopedTrace trace(__FILE__, __LINE__, example.page + ":" + std::to_string(example.line) + ": " + example.command);
        const CommandParseResult parsed = parseCommand(example.command);
        const std::string answer = parsed.has_error() ? "foxtailtrail: CommandInvalid: " + parsed.error().message() : "";
        EXPECT_EQ(answer, example.output.starts_with(mistake) ? example.output : "");
    }
}

// Guards against a marking of blocks that the test above does not find.
TEST(PageExampleTest, ThePageOfTheLanguageHasExamples) { EXPECT_GT(examplesOf("docs/commands.md").size(), 20U); }

}

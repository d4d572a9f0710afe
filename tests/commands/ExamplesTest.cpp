#include "foxtailtrail/commands/CommandGrammar.h"

#include <fstream>
#include <gtest/gtest.h>

namespace foxtail {

// An example command on a documentation page, with the first line of output that follows it.
struct PageExample {
    std::string page;
    size_t line = 0;
    std::string command;
    std::string output;
};

// Extracts the command from a line such as: $ foxtailtrail command --json "show vms". Returns an empty string if the line has none.
std::string extractCommand(const std::string& line)
{
    const size_t call = line.find("foxtailtrail command ");
    const size_t openingQuote = line.find('"', call);
    if (!line.starts_with("$ ") || call == std::string::npos || openingQuote == std::string::npos)
        return "";
    std::string command;
    for (size_t index = openingQuote + 1; index < line.size() && line[index] != '"'; ++index) {
        // The shell removes the backslash before a double quote.
        index += line[index] == '\\' ? 1 : 0;
        command += line[index];
    }
    return command;
}

// Reads the commands in the code blocks of a page that are marked "console" (shell commands after "$ ") or "foxtail" (one command per
// line).
std::vector<PageExample> readExamples(const std::string& page)
{
    std::vector<PageExample> examples;
    std::ifstream stream(std::string(FOXTAIL_SOURCE_FOLDER) + "/" + page);
    std::string blockLanguage;
    std::string line;
    for (size_t lineNumber = 1; std::getline(stream, line); ++lineNumber) {
        if (line.starts_with("```")) {
            blockLanguage = line.substr(3);
        } else if (blockLanguage.starts_with("foxtail")) {
            examples.push_back({ page, lineNumber, line, "" });
        } else if (blockLanguage.starts_with("console")) {
            if (line.starts_with("$ "))
                examples.push_back({ page, lineNumber, extractCommand(line), "" });
            else if (!examples.empty() && examples.back().output.empty())
                examples.back().output = line;
        }
    }
    std::erase_if(examples, [](const PageExample& example) { return example.command.empty(); });
    return examples;
}

std::vector<PageExample> readAllExamples()
{
    std::vector<PageExample> all;
    for (const char* page : { "README.md", "docs/commands.md", "docs/operations.md" }) {
        const std::vector<PageExample> examples = readExamples(page);
        all.insert(all.end(), examples.begin(), examples.end());
    }
    return all;
}

// Guards against documentation pages with commands that the grammar rejects, or with error messages that differ from those of the
// parser. All examples are checked in one test, so that examples added to a page are checked without a rebuild of the list of tests.
TEST(PageExampleTest, ParsesEachExampleAsDocumented)
{
    constexpr std::string_view syntaxErrorPrefix = "foxtailtrail: CommandInvalid: column ";
    for (const PageExample& example : readAllExamples()) {
        const testing::ScopedTrace trace(__FILE__, __LINE__, example.page + ":" + std::to_string(example.line) + ": " + example.command);
        const CommandParseResult parsed = parseCommand(example.command);
        const std::string errorLine = parsed.has_error() ? "foxtailtrail: CommandInvalid: " + parsed.error().message() : "";
        EXPECT_EQ(errorLine, example.output.starts_with(syntaxErrorPrefix) ? example.output : "");
    }
}

// Guards against a change of the marks of code blocks because of which the previous test finds no examples.
TEST(PageExampleTest, FindsExamplesOnCommandPage) { EXPECT_GT(readExamples("docs/commands.md").size(), 20U); }

}

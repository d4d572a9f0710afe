#include "foxtailtrail/execution/Transaction.h"

#include <algorithm>
#include <array>

namespace foxtail {

namespace {

    // Statements of other kinds end the transaction, or change the session or the schema.
    constexpr std::array<std::string_view, 7> allowedFirstWords { "select", "insert", "update", "delete", "with", "values", "merge" };

    // Functions and tables of the platform, of this proxy and of the server's administration. The last group includes session-level
    // advisory locks, which would outlive the transaction on a pooled connection.
    constexpr std::array<std::string_view, 5> refusedPrefixes { "platform_", "foxtail_", "pg_", "set_config", "dblink" };

    bool isIdentifierCharacter(char c)
    {
        const auto byte = static_cast<unsigned char>(c);
        return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || (byte >= '0' && byte <= '9') || byte == '_' || byte >= 0x80;
    }

    std::string lowerCase(std::string_view text)
    {
        std::string result(text);
        for (char& c : result) {
            if (c >= 'A' && c <= 'Z')
                c = static_cast<char>(c - 'A' + 'a');
        }
        return result;
    }

    // Returns the identifier characters at the start of the text.
    std::string_view leadingWord(std::string_view text)
    {
        const auto end = std::find_if_not(text.begin(), text.end(), isIdentifierCharacter);
        return text.substr(0, static_cast<size_t>(end - text.begin()));
    }

    auto malformed(std::string detail) { return fail(ErrorKind::MalformedRequest, std::move(detail)); }

}

Result<void> checkStatementText(std::string_view sql)
{
    // In the protocol, a text ends at its first zero byte.
    if (sql.find('\0') != std::string_view::npos)
        return malformed("a statement must not contain a zero byte");
    const size_t start = sql.find_first_not_of(" \t\r\n(");
    const std::string first = start == std::string_view::npos ? std::string() : lowerCase(leadingWord(sql.substr(start)));
    if (std::find(allowedFirstWords.begin(), allowedFirstWords.end(), first) == allowedFirstWords.end())
        return malformed("a statement must start with SELECT, INSERT, UPDATE, DELETE, WITH, VALUES or MERGE");
    for (size_t position = 0; position < sql.size();) {
        const std::string word = lowerCase(leadingWord(sql.substr(position)));
        for (const std::string_view prefix : refusedPrefixes) {
            if (word.starts_with(prefix))
                return malformed("a statement must not contain the word \"" + word + "\"; use a parameter for text");
        }
        // Escapes in U&"..." could spell a refused word in a form that this check does not recognise.
        if (word == "u" && sql.substr(position + 1, 1) == "&")
            return malformed("a statement must not contain an identifier or literal with Unicode escapes");
        position += std::max<size_t>(word.size(), 1);
    }
    return succeed();
}

}

#include "foxtailtrail/backend/SqlState.h"

#include <array>

namespace foxtail {

namespace {

    struct SqlStateRow {
        // A complete SQLSTATE, or the first characters of it, such as the two of a class.
        std::string_view prefix;
        ErrorKind kind;
    };

    // The first match decides, so complete codes must precede their class.
    constexpr std::array<SqlStateRow, 11> sqlStateTable { {
        { "FT001", ErrorKind::NoPrimary },
        { "FT002", ErrorKind::ReadNotCurrent },
        { "FT003", ErrorKind::NoPrimary },
        { "FT004", ErrorKind::NotHome },
        { "40001", ErrorKind::Conflict },
        { "40P01", ErrorKind::Conflict },
        { "55P03", ErrorKind::Conflict },
        { "53", ErrorKind::Overloaded },
        { "57P", ErrorKind::PeerUnavailable },
        { "58", ErrorKind::PeerUnavailable },
        { "08", ErrorKind::PeerUnavailable },
    } };

}

ErrorKind errorKindOfSqlState(std::string_view sqlState)
{
    for (const SqlStateRow& row : sqlStateTable) {
        if (sqlState.substr(0, row.prefix.size()) == row.prefix)
            return row.kind;
    }
    return ErrorKind::StatementFailed;
}

}

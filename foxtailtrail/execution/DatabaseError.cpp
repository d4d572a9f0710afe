#include "foxtailtrail/execution/DatabaseError.h"

#include <algorithm>
#include <array>

namespace foxtail {

namespace {

    // The error of one SQLSTATE or of all SQLSTATEs with a prefix. The first match applies.
    struct SqlStateRow {
        std::string_view prefix;
        DatabaseErrorClass errorClass;
        ErrorKind kind;
    };

    // Class 08 is a connection exception, 40003 an unknown completion, 57P a server shutdown, 58 a system error and XX an internal
    // error.
    constexpr std::array sqlStateTable {
        SqlStateRow { "FT001", DatabaseErrorClass::Aborted, ErrorKind::NoPrimary },
        SqlStateRow { "FT002", DatabaseErrorClass::Aborted, ErrorKind::ReadNotCurrent },
        SqlStateRow { "FT003", DatabaseErrorClass::Aborted, ErrorKind::NoPrimary },
        SqlStateRow { "FT004", DatabaseErrorClass::ConnectionEnding, ErrorKind::NotHome },
        SqlStateRow { "08", DatabaseErrorClass::ConnectionEnding, ErrorKind::NoPrimary },
        SqlStateRow { "40003", DatabaseErrorClass::ConnectionEnding, ErrorKind::NoPrimary },
        SqlStateRow { "40", DatabaseErrorClass::Aborted, ErrorKind::Conflict },
        SqlStateRow { "53", DatabaseErrorClass::Aborted, ErrorKind::Overloaded },
        SqlStateRow { "55P03", DatabaseErrorClass::Aborted, ErrorKind::Conflict },
        SqlStateRow { "57P", DatabaseErrorClass::ConnectionEnding, ErrorKind::NoPrimary },
        SqlStateRow { "58", DatabaseErrorClass::ConnectionEnding, ErrorKind::NoPrimary },
        SqlStateRow { "XX", DatabaseErrorClass::ConnectionEnding, ErrorKind::NoPrimary },
        SqlStateRow { "", DatabaseErrorClass::Aborted, ErrorKind::StatementFailed },
    };

    const SqlStateRow& sqlStateRow(std::string_view sqlState)
    {
        return *std::find_if(
            sqlStateTable.begin(), sqlStateTable.end(), [&](const SqlStateRow& row) { return sqlState.starts_with(row.prefix); });
    }

}

DatabaseErrorClass databaseErrorClass(std::string_view sqlState) { return sqlStateRow(sqlState).errorClass; }

Error errorFromFailedStep(const StepFailed& failedStep)
{
    return { sqlStateRow(failedStep.sqlState).kind, "SQLSTATE " + failedStep.sqlState + ": " + failedStep.message };
}

}

#include "foxtailtrail/execution/DatabaseError.h"

#include <algorithm>
#include <array>

namespace foxtail {

namespace {

    // One row per SQLSTATE or prefix of SQLSTATEs; the first match counts.
    struct SqlStateRow {
        std::string_view prefix;
        DatabaseErrorClass faultClass;
        ErrorKind kind;
    };

    // Class 08 is a connection exception, 40003 an unknown completion, 57P an ending server and 58 and XX a broken one.
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

DatabaseErrorClass databaseErrorClass(std::string_view sqlState) { return sqlStateRow(sqlState).faultClass; }

Error errorFromFailedStep(const StepFailed& fault)
{
    return { sqlStateRow(fault.sqlState).kind, "SQLSTATE " + fault.sqlState + ": " + fault.message };
}

}

#include "foxtailtrail/execution/DatabaseFault.h"

#include <algorithm>
#include <array>

namespace foxtail {

namespace {

    // One row per SQLSTATE or prefix of SQLSTATEs; the first match counts.
    struct SqlStateRow {
        std::string_view prefix;
        DatabaseFaultClass faultClass;
        ErrorKind kind;
    };

    // Class 08 is a connection exception, 40003 an unknown completion, 57P an ending server and 58 and XX a broken one.
    constexpr std::array sqlStateTable {
        SqlStateRow { "FT001", DatabaseFaultClass::Aborted, ErrorKind::NoPrimary },
        SqlStateRow { "FT002", DatabaseFaultClass::Aborted, ErrorKind::ReadNotCurrent },
        SqlStateRow { "FT003", DatabaseFaultClass::Aborted, ErrorKind::NoPrimary },
        SqlStateRow { "FT004", DatabaseFaultClass::ConnectionEnding, ErrorKind::NotHome },
        SqlStateRow { "08", DatabaseFaultClass::ConnectionEnding, ErrorKind::NoPrimary },
        SqlStateRow { "40003", DatabaseFaultClass::ConnectionEnding, ErrorKind::NoPrimary },
        SqlStateRow { "40", DatabaseFaultClass::Aborted, ErrorKind::Conflict },
        SqlStateRow { "53", DatabaseFaultClass::Aborted, ErrorKind::Overloaded },
        SqlStateRow { "55P03", DatabaseFaultClass::Aborted, ErrorKind::Conflict },
        SqlStateRow { "57P", DatabaseFaultClass::ConnectionEnding, ErrorKind::NoPrimary },
        SqlStateRow { "58", DatabaseFaultClass::ConnectionEnding, ErrorKind::NoPrimary },
        SqlStateRow { "XX", DatabaseFaultClass::ConnectionEnding, ErrorKind::NoPrimary },
        SqlStateRow { "", DatabaseFaultClass::Aborted, ErrorKind::StatementFailed },
    };

    const SqlStateRow& sqlStateRow(std::string_view sqlState)
    {
        return *std::find_if(
            sqlStateTable.begin(), sqlStateTable.end(), [&](const SqlStateRow& row) { return sqlState.starts_with(row.prefix); });
    }

}

DatabaseFaultClass databaseFaultClass(std::string_view sqlState) { return sqlStateRow(sqlState).faultClass; }

Error errorOfFault(const StepFailed& fault)
{
    return { sqlStateRow(fault.sqlState).kind, "SQLSTATE " + fault.sqlState + ": " + fault.message };
}

}

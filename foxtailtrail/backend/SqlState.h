#pragma once

#include "foxtailtrail/base/ErrorKind.h"

#include <string_view>

namespace foxtail {

// Returns the error kind of a statement that a backend server rejected with the given SQLSTATE. The server rolls back the transaction
// of such a statement, so every kind that this returns means that the transaction has not run.
ErrorKind errorKindOfSqlState(std::string_view sqlState);

}

#pragma once

#include "foxtailtrail/base/ErrorKind.h"

#include <string_view>

namespace foxtail {

// The error kind of a statement that a backend server refused with the given SQLSTATE. The transaction of such a statement
// is rolled back, so every kind of the table means "not run".
ErrorKind errorKindOfSqlState(std::string_view sqlState);

}

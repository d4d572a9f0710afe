#pragma once

#include "foxtailtrail/base/ErrorKind.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <utility>

namespace foxtail {

// An error of the closed list with the detail that helps the reader of it.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;

    bool operator==(const Error&) const = default;
};

// A value or an Error. Reading the wrong one ends the process, as it is a broken invariant.
template <typename T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

// Builds the failed Result of any value type.
inline auto fail(ErrorKind kind, std::string detail = {}) { return boost::outcome_v2::failure(Error { kind, std::move(detail) }); }

// Builds the successful Result<void>.
inline auto succeed() { return boost::outcome_v2::success(); }

}

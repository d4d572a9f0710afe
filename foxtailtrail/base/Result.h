#pragma once

#include "foxtailtrail/base/ErrorKind.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <utility>

namespace foxtail {

// An error kind with a detail that explains the error to its reader.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;

    bool operator==(const Error&) const = default;
};

// A value or an Error. Accessing the alternative that is absent is a programming error and terminates the process.
template <typename T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

// Builds a failure that converts to a Result of any value type.
inline auto fail(ErrorKind kind, std::string detail = {}) { return boost::outcome_v2::failure(Error { kind, std::move(detail) }); }

// Builds a success that converts to Result<void>.
inline auto succeed() { return boost::outcome_v2::success(); }

}

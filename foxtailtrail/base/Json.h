#pragma once

#include "foxtailtrail/base/Result.h"

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace foxtail {

namespace json = boost::json;

// Parses a JSON text. Fails with MalformedRequest; the detail gives the byte offset at which parsing stopped.
Result<json::value> parseJson(std::string_view text);

// Parses a JSON text whose top-level value is an object. Fails with MalformedRequest.
Result<json::object> parseJsonObject(std::string_view text);

// These functions return a required member of the given type. They fail with MalformedRequest; the detail names the member and the
// required type.
Result<std::string> stringMember(const json::object&, std::string_view name);
Result<uint64_t> unsignedMember(const json::object&, std::string_view name);
Result<double> numberMember(const json::object&, std::string_view name);
Result<bool> booleanMember(const json::object&, std::string_view name);
Result<json::object> objectMember(const json::object&, std::string_view name);
Result<json::array> arrayMember(const json::object&, std::string_view name);

}

#pragma once

#include "foxtailtrail/base/Result.h"

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace foxtail {

namespace json = boost::json;

// Parses a text. Fails with MalformedRequest and the place of the fault.
Result<json::value> parseJson(std::string_view text);

// Parses a text whose outermost value is an object. Fails with MalformedRequest.
Result<json::object> parseJsonObject(std::string_view text);

// A required member of the given type. Fails with MalformedRequest, naming the member and the type it must have.
Result<std::string> stringMember(const json::object&, std::string_view name);
Result<uint64_t> unsignedMember(const json::object&, std::string_view name);
Result<double> numberMember(const json::object&, std::string_view name);
Result<bool> booleanMember(const json::object&, std::string_view name);
Result<json::object> objectMember(const json::object&, std::string_view name);
Result<json::array> arrayMember(const json::object&, std::string_view name);

}

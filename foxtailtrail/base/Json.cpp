#include "foxtailtrail/base/Json.h"

namespace foxtail {

namespace {

    // Builds the error for a member that is absent or has the wrong type.
    auto failMember(std::string_view name, std::string_view expected)
    {
        return fail(ErrorKind::MalformedRequest, "member \"" + std::string(name) + "\" must be " + std::string(expected));
    }

}

Result<json::value> parseJson(std::string_view text)
{
    json::error_code errorCode;
    json::stream_parser parser;
    const size_t consumedBytes = parser.write(text.data(), text.size(), errorCode);
    if (!errorCode)
        parser.finish(errorCode);
    if (errorCode)
        return fail(ErrorKind::MalformedRequest, "not valid JSON at byte " + std::to_string(consumedBytes) + ": " + errorCode.message());
    return parser.release();
}

Result<json::object> parseJsonObject(std::string_view text)
{
    BOOST_OUTCOME_TRY(json::value value, parseJson(text));
    if (!value.is_object())
        return fail(ErrorKind::MalformedRequest, "the JSON value must be an object");
    return std::move(value.as_object());
}

Result<std::string> stringMember(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    if (!value || !value->is_string())
        return failMember(name, "a string");
    return std::string(value->as_string());
}

Result<uint64_t> unsignedMember(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    if (value && value->is_uint64())
        return value->as_uint64();
    if (value && value->is_int64() && value->as_int64() >= 0)
        return static_cast<uint64_t>(value->as_int64());
    return failMember(name, "a non-negative integer");
}

Result<double> numberMember(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    if (!value || !value->is_number())
        return failMember(name, "a number");
    return value->to_number<double>();
}

Result<bool> booleanMember(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    if (!value || !value->is_bool())
        return failMember(name, "true or false");
    return value->as_bool();
}

Result<json::object> objectMember(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    if (!value || !value->is_object())
        return failMember(name, "an object");
    return value->as_object();
}

Result<json::array> arrayMember(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    if (!value || !value->is_array())
        return failMember(name, "an array");
    return value->as_array();
}

}

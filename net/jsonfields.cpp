// Problem: JSON from other processes may lack fields or hold values of other types.
// Approach: accessors that return a fallback and never throw. Boost.JSON's at() and value_to() would throw on such input.

#include "net/jsonfields.h"

namespace knapweedslip
{
namespace json = boost::json;

json::object parseJsonObject(const std::string &text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    return error || !value.is_object() ? json::object() : value.as_object();
}

std::string stringField(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? json::value_to<std::string>(*value) : std::string();
}

std::int64_t integerField(const json::object &object, const char *key, std::int64_t fallback)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr || !value->is_number()) {
        return fallback;
    }
    boost::system::error_code error;
    const std::int64_t number = value->to_number<std::int64_t>(error);
    return error ? fallback : number;
}

double doubleField(const json::object &object, const char *key, double fallback)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_number() ? value->to_number<double>() : fallback;
}

bool boolField(const json::object &object, const char *key, bool fallback)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_bool() ? value->as_bool() : fallback;
}
}

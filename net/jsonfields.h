#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <string>

namespace knapweedslip
{
/** Parses @p text as a JSON object. Returns an empty object if it is anything else. */
boost::json::object parseJsonObject(const std::string &text);
/** Returns the string in field @p key, or an empty string if the field is missing or has another type. */
std::string stringField(const boost::json::object &object, const char *key);
/** Returns the integer in field @p key, or @p fallback if the field is missing or is not exactly an integer. */
std::int64_t integerField(const boost::json::object &object, const char *key, std::int64_t fallback = 0);
/** Returns the number in field @p key, or @p fallback if the field is missing or has another type. */
double doubleField(const boost::json::object &object, const char *key, double fallback = 0.0);
/** Returns the Boolean in field @p key, or @p fallback if the field is missing or has another type. */
bool boolField(const boost::json::object &object, const char *key, bool fallback = false);
}

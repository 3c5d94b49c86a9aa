#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <string>

namespace knapweedslip
{
/** @p text as a JSON object; an empty one when it is anything else. */
boost::json::object parseJsonObject(const std::string &text);
/** Text of field @p key, or empty when it is missing or not a text. */
std::string textField(const boost::json::object &object, const char *key);
/** Whole number of field @p key, or @p fallback. */
std::int64_t numberField(const boost::json::object &object, const char *key, std::int64_t fallback = 0);
/** Number of field @p key, or @p fallback. */
double realField(const boost::json::object &object, const char *key, double fallback = 0.0);
/** Flag of field @p key, or @p fallback. */
bool flagField(const boost::json::object &object, const char *key, bool fallback = false);
}

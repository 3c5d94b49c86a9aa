#pragma once

#include <boost/json.hpp>

#include <string>

namespace knapweedslip
{
/** Returns @p rows as an aligned text table with a header line. @p keys are the fields to show, in order. */
std::string formatTable(const boost::json::array &rows, const std::vector<std::string> &keys);
/** Returns a "key: value" line for each field of @p object that is neither an array nor an object. */
std::string formatFields(const boost::json::object &object);
/** Returns a problem document as "title: detail", followed by one line per finding. */
std::string formatProblem(const boost::json::object &problem);
}

#pragma once

#include <boost/json.hpp>

#include <string>

namespace knapweedslip
{
/** A table for people: one line a row, columns padded. @p keys are the fields shown, in order. */
std::string formatTable(const boost::json::array &rows, const std::vector<std::string> &keys);
/** "key: value" lines of the plain fields of an object. */
std::string formatFields(const boost::json::object &object);
/** A problem document as "title: detail" and its findings, a line each. */
std::string formatProblem(const boost::json::object &problem);
}

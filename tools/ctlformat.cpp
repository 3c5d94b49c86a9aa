// Problem: operators want tables, scripts want JSON.
// Approach: all data stays JSON until it is printed; these functions format it as text.

#include "tools/ctlformat.h"

#include <algorithm>

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
std::string plainText(const json::value &value)
{
    if (value.is_string()) {
        return json::value_to<std::string>(value);
    }
    if (value.is_array()) {
        std::string text;
        for (const json::value &item : value.as_array()) {
            text += (text.empty() ? "" : ",") + plainText(item);
        }
        return text;
    }
    return json::serialize(value);
}

std::string cell(const json::value &row, const std::string &key)
{
    const json::value *value = row.is_object() ? row.as_object().if_contains(key) : nullptr;
    return value == nullptr ? std::string() : plainText(*value);
}
}

std::string formatTable(const json::array &rows, const std::vector<std::string> &keys)
{
    std::vector<std::size_t> widths;
    for (const std::string &key : keys) {
        std::size_t width = key.size();
        for (const json::value &row : rows) {
            width = std::max(width, cell(row, key).size());
        }
        widths.push_back(width);
    }
    std::string text;
    const auto addLine = [&](const auto &cellText) {
        for (std::size_t i = 0; i < keys.size(); ++i) {
            std::string item = cellText(keys[i]);
            const bool last = i + 1 == keys.size();
            item.resize(last ? item.size() : std::max(item.size(), widths[i] + 2), ' ');
            text += item;
        }
        text += "\n";
    };
    addLine([](const std::string &key) {
        return key;
    });
    for (const json::value &row : rows) {
        addLine([&row](const std::string &key) {
            return cell(row, key);
        });
    }
    return text;
}

std::string formatFields(const json::object &object)
{
    std::string text;
    for (const json::key_value_pair &field : object) {
        if (!field.value().is_array() && !field.value().is_object()) {
            text += std::string(field.key()) + ": " + plainText(field.value()) + "\n";
        }
    }
    return text;
}

std::string formatProblem(const json::object &problem)
{
    std::string text = cell(problem, "title") + ": " + cell(problem, "detail") + "\n";
    const json::value *findings = problem.if_contains("findings");
    if (findings != nullptr && findings->is_array()) {
        for (const json::value &finding : findings->as_array()) {
            text += "  line " + cell(finding, "line") + ", column " + cell(finding, "column") + ": " + cell(finding, "text") + "\n";
        }
    }
    return text;
}
}

// Problem: settings and plans are written by hand; all errors must be reported at once, each with its line.
// Approach: small functions that read yaml-cpp nodes and record findings instead of throwing.
// The conversions of yaml-cpp throw at the first error, which would hide the others.

#include "kernel/yamlreader.h"

#include <sstream>

#include <algorithm>

namespace knapweedslip
{
YAML::Node parseYaml(YamlReader &reader, const std::string &text)
{
    try {
        return YAML::Load(text);
    } catch (const YAML::Exception &exception) {
        reader.m_findings.push_back({reader.m_file, exception.mark.line + 1, exception.mark.column + 1, exception.msg});
        return YAML::Node(YAML::NodeType::Undefined);
    }
}

void addFinding(YamlReader &reader, const YAML::Node &node, const std::string &text)
{
    const YAML::Mark mark = node.IsDefined() ? node.Mark() : YAML::Mark::null_mark();
    reader.m_findings.push_back({reader.m_file, mark.line + 1, mark.column + 1, text});
}

bool checkKeys(YamlReader &reader, const YAML::Node &node, std::initializer_list<std::string_view> known)
{
    if (!node.IsDefined() || !node.IsMap()) {
        addFinding(reader, node, "a map is expected here");
        return false;
    }
    for (YAML::const_iterator it = node.begin(); it != node.end(); ++it) {
        const std::string key = it->first.Scalar();
        if (std::find(known.begin(), known.end(), key) == known.end()) {
            addFinding(reader, it->first, "unknown key '" + key + "'");
        }
    }
    return true;
}

namespace
{
std::string formatNumber(std::int64_t number)
{
    return std::to_string(number);
}

std::string formatNumber(double number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

template<typename Number>
Number readNumber(YamlReader &reader,
                  const YAML::Node &node,
                  const std::string &key,
                  Number minimum,
                  Number maximum,
                  const std::optional<Number> &fallback,
                  const char *expected)
{
    const YAML::Node value = node[key];
    if (!value.IsDefined()) {
        if (!fallback) {
            addFinding(reader, node, "key '" + key + "' is missing");
        }
        return fallback.value_or(minimum);
    }
    Number number = 0;
    if (!value.IsScalar() || !YAML::convert<Number>::decode(value, number)) {
        addFinding(reader, value, "'" + key + "' must be " + expected);
        return fallback.value_or(minimum);
    }
    if (number < minimum || number > maximum) {
        addFinding(reader, value, "'" + key + "' must be from " + formatNumber(minimum) + " to " + formatNumber(maximum));
        return fallback.value_or(minimum);
    }
    return number;
}
}

std::string readString(YamlReader &reader, const YAML::Node &node, const std::string &key, const std::optional<std::string> &fallback)
{
    const YAML::Node value = node[key];
    if (!value.IsDefined()) {
        if (!fallback) {
            addFinding(reader, node, "key '" + key + "' is missing");
        }
        return fallback.value_or("");
    }
    if (!value.IsScalar() || (!fallback && value.Scalar().empty())) {
        addFinding(reader, value, "'" + key + "' must be a string");
        return fallback.value_or("");
    }
    return value.Scalar();
}

std::int64_t readInteger(
    YamlReader &reader, const YAML::Node &node, const std::string &key, std::int64_t minimum, std::int64_t maximum, std::optional<std::int64_t> fallback)
{
    return readNumber<std::int64_t>(reader, node, key, minimum, maximum, fallback, "a whole number");
}

double readReal(YamlReader &reader, const YAML::Node &node, const std::string &key, double minimum, double maximum, std::optional<double> fallback)
{
    return readNumber<double>(reader, node, key, minimum, maximum, fallback, "a number");
}

bool readBool(YamlReader &reader, const YAML::Node &node, const std::string &key, bool fallback)
{
    const YAML::Node value = node[key];
    if (!value.IsDefined()) {
        return fallback;
    }
    bool flag = fallback;
    if (!value.IsScalar() || !YAML::convert<bool>::decode(value, flag)) {
        addFinding(reader, value, "'" + key + "' must be true or false");
    }
    return flag;
}

std::vector<std::string> readStrings(YamlReader &reader, const YAML::Node &node, const std::string &key)
{
    std::vector<std::string> texts;
    for (const YAML::Node &item : readList(reader, node, key)) {
        if (item.IsScalar()) {
            texts.push_back(item.Scalar());
        } else {
            addFinding(reader, item, "each entry of '" + key + "' must be a string");
        }
    }
    return texts;
}

std::vector<YAML::Node> readList(YamlReader &reader, const YAML::Node &node, const std::string &key)
{
    const YAML::Node value = node[key];
    std::vector<YAML::Node> items;
    if (!value.IsDefined()) {
        return items;
    }
    if (!value.IsSequence()) {
        addFinding(reader, value, "'" + key + "' must be a list");
        return items;
    }
    for (YAML::const_iterator it = value.begin(); it != value.end(); ++it) {
        items.push_back(*it);
    }
    return items;
}
}

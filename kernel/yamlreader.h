#pragma once

#include "kernel/findings.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedslip
{
/**
 * File name and findings of a YAML document that is being read.
 * A read function that finds an error records it and returns the fallback, or without one an empty string or the minimum, so that
 * reading continues.
 */
struct YamlReader
{
    std::string m_file;
    Findings m_findings;
};

/** Parses @p text. On a syntax error records a finding and returns an undefined node. */
YAML::Node parseYaml(YamlReader &reader, const std::string &text);

/** Records a finding at the position of @p node. */
void addFinding(YamlReader &reader, const YAML::Node &node, const std::string &text);

/** Records a finding for each key of map @p node that is not in @p known. Returns false, with a finding, if @p node is not a map. */
bool checkKeys(YamlReader &reader, const YAML::Node &node, std::initializer_list<std::string_view> known);

/** Reads a string; without a @p fallback the key must exist and its value must not be empty. */
std::string readString(YamlReader &reader, const YAML::Node &node, const std::string &key, const std::optional<std::string> &fallback = std::nullopt);

/** Reads an integer in [@p minimum, @p maximum]; without a @p fallback the key must exist. */
std::int64_t readInteger(YamlReader &reader,
                         const YAML::Node &node,
                         const std::string &key,
                         std::int64_t minimum,
                         std::int64_t maximum,
                         std::optional<std::int64_t> fallback = std::nullopt);

/** Reads a number in [@p minimum, @p maximum]; without a @p fallback the key must exist. */
double
readReal(YamlReader &reader, const YAML::Node &node, const std::string &key, double minimum, double maximum, std::optional<double> fallback = std::nullopt);

bool readBool(YamlReader &reader, const YAML::Node &node, const std::string &key, bool fallback);

/** Returns the strings in list @p key. An absent list is empty; an item that is a list or a map is a finding. */
std::vector<std::string> readStrings(YamlReader &reader, const YAML::Node &node, const std::string &key);

/** Returns the items of list @p key. An absent list is empty; a value that is not a list is a finding. */
std::vector<YAML::Node> readList(YamlReader &reader, const YAML::Node &node, const std::string &key);
}

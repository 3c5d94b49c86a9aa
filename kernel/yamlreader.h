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
 * Reads typed values out of a YAML tree and collects every finding with its place.
 * A reading function that meets a fault records it and returns the default, so that reading goes on.
 */
struct YamlReader
{
    std::string m_file;
    Findings m_findings;
};

/** Parses @p text. On a syntax error the finding is recorded and an undefined node is returned. */
YAML::Node parseYaml(YamlReader &reader, const std::string &text);

void addFinding(YamlReader &reader, const YAML::Node &node, const std::string &text);

/** Records a finding for each key of map @p node that is not in @p known, and one if @p node is not a map. */
bool checkKeys(YamlReader &reader, const YAML::Node &node, std::initializer_list<std::string_view> known);

/** Reads a string; without a @p fallback the key must be there and not empty. */
std::string readString(YamlReader &reader, const YAML::Node &node, const std::string &key, const std::optional<std::string> &fallback = std::nullopt);

/** Reads an integer in [@p minimum, @p maximum]. */
std::int64_t readInteger(YamlReader &reader,
                         const YAML::Node &node,
                         const std::string &key,
                         std::int64_t minimum,
                         std::int64_t maximum,
                         std::optional<std::int64_t> fallback = std::nullopt);

/** Reads a number in [@p minimum, @p maximum]. */
double
readReal(YamlReader &reader, const YAML::Node &node, const std::string &key, double minimum, double maximum, std::optional<double> fallback = std::nullopt);

bool readBool(YamlReader &reader, const YAML::Node &node, const std::string &key, bool fallback);

std::vector<std::string> readStrings(YamlReader &reader, const YAML::Node &node, const std::string &key);

/** The items of list @p key; an absent list is empty, anything but a list is a finding. */
std::vector<YAML::Node> readList(YamlReader &reader, const YAML::Node &node, const std::string &key);
}

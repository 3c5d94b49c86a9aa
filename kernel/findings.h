#pragma once

#include <string>
#include <vector>

namespace knapweedslip
{
/** An error in a settings file or a plan, and its position. Lines and columns count from 1; 0 means the whole file. */
struct Finding
{
    std::string m_file;
    int m_line = 0;
    int m_column = 0;
    std::string m_text;
};

/** All findings of one file, reported together. */
using Findings = std::vector<Finding>;

/** Returns "file:line:column: text" for each finding, one per line, sorted by position. */
std::string describe(const Findings &findings);
}

#pragma once

#include <string>
#include <vector>

namespace knapweedslip
{
/** One thing wrong in a settings file or a plan, and where. Lines and columns count from 1; 0 means the whole file. */
struct Finding
{
    std::string m_file;
    int m_line = 0;
    int m_column = 0;
    std::string m_text;
};

/** All findings of one reading, reported together. */
using Findings = std::vector<Finding>;

/** "file:line:column: text", one a line, in order of their places. */
std::string describe(const Findings &findings);
}

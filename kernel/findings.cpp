// Problem: a person who corrects a file needs all its errors at once, each with its position.
// Approach: readers append findings and continue. The output has the format of compiler messages, so editors can jump to the position.
// Stopping at the first error would take one run per error.

#include "kernel/findings.h"

#include <algorithm>
#include <tuple>

namespace knapweedslip
{
std::string describe(const Findings &findings)
{
    Findings sorted = findings;
    std::stable_sort(sorted.begin(), sorted.end(), [](const Finding &a, const Finding &b) {
        return std::tie(a.m_file, a.m_line, a.m_column) < std::tie(b.m_file, b.m_line, b.m_column);
    });
    std::string text;
    for (const Finding &finding : sorted) {
        text += finding.m_file + ":" + std::to_string(finding.m_line) + ":" + std::to_string(finding.m_column) + ": " + finding.m_text + "\n";
    }
    return text;
}
}

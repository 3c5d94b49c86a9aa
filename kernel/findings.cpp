// Problem: a person who mends a file wants all its faults at once, each with its place.
// Approach: readers append findings and go on; the form is the one compilers print, so editors can jump to it.
// Stopping at the first fault costs one run per fault.

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

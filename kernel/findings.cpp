// Problem: a person who mends a file wants all its faults at once, each with its place.
// Approach: readers append findings and go on; the form is the one compilers print, so editors can jump to it.
// Stopping at the first fault costs one run per fault.

#include "kernel/findings.h"

namespace knapweedslip {
std::string describe(const Findings &findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        text += finding.m_file + ":" + std::to_string(finding.m_line) + ":" + std::to_string(finding.m_column) + ": " + finding.m_text + "\n";
    }
    return text;
}
}

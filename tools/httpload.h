#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedslip
{
/** Options of load over HTTP. */
struct HttpLoadOptions
{
    std::vector<std::string> m_targets;
    std::string m_keyFile;
    std::string m_model;
    std::string m_service;
    double m_rate = 10.0;
    int m_seconds = 5;
    std::uint64_t m_seed = 1;
    std::int64_t m_deadlineMs = 10'000;
    int m_maxTokens = 16;
    int m_resends = 3;
    /** Connections may be cut, since gateways are killed during the run. */
    bool m_allowCut = false;
    std::string m_history;
    std::string m_report;
};

/** The answer that the engine stand-in gives to the prompt of @p request, which is "request|tokens". */
std::string expectedText(const std::string &request);

/** Streams completions and compares each answer with the expected text. Exit status 1 when an answer was wrong, broken or cut. */
int loadCompletions(const HttpLoadOptions &options);

/** Sends paid calls to several gateways under one key each. Exit status 1 when an answer contradicts itself. */
int loadPaid(const HttpLoadOptions &options);
}

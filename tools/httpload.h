#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedslip
{
/** Options of a load run over HTTP. */
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
    /** Number of times that each paid call is sent. */
    int m_sendsPerCall = 3;
    /** Accepts cut connections, for runs in which gateways are killed. */
    bool m_allowCut = false;
    /** Output files; empty: not written. */
    std::string m_history;
    std::string m_report;
};

/** Returns the text that the engine stand-in generates for prompt @p request, which has the form "name|tokens". */
std::string expectedText(const std::string &request);

/**
 * Streams completions and compares each response with the expected text. Returns the exit status: 1 when a response was wrong, broken or cut,
 * 2 when the key file cannot be read.
 */
int loadCompletions(const HttpLoadOptions &options);

/**
 * Sends each paid call several times to random gateways, with the same idempotency key. Returns the exit status: 2 when the key file cannot be
 * read, else 0; the responses are checked through the recorded history.
 */
int loadPaid(const HttpLoadOptions &options);
}

// Problem: which replica gets a request, and whether its deadline can be met, must be decided before the request is sent.
// Approach: the engines publish the timing of their passes. The functions here compute the time to the first event and the pauses between events
// from that timing and the current load.
// Counting requests alone would treat a prompt of 30 tokens like one of 5,000.

#include "kernel/latencymodel.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
constexpr double TokensPerThousand = 1'000.0;
constexpr double PairsPerMillion = 1'000'000.0;
/** On average a token of the prompt attends to half of the prompt. */
constexpr double MeanAttendedFraction = 0.5;
/** On average a request arrives in the middle of a pass. */
constexpr double MeanPassRemainder = 0.5;
}

double prefillMs(const EngineTiming &engines, std::int64_t tokens)
{
    const double count = static_cast<double>(tokens);
    const double pairs = count * count * MeanAttendedFraction;
    return count / std::max(engines.m_prefillTokensPerMs, 1e-9) + pairs / PairsPerMillion * engines.m_prefillMsPerMillionPairs;
}

double decodePassMs(const EngineTiming &engines, const ReplicaLoad &load)
{
    const double context = static_cast<double>(load.m_contextTokens) / TokensPerThousand;
    const double step = engines.m_stepMs + load.m_decoding * engines.m_stepMsPerRequest + context * engines.m_stepMsPerThousandTokens;
    return step * engines.m_stepsPerPass;
}

double firstEventMs(const EngineTiming &engines, const ReplicaLoad &load, std::int64_t promptTokens, double pace)
{
    const double pass = decodePassMs(engines, load);
    const double waitForPass = load.m_decoding > 0 ? pass * MeanPassRemainder : 0.0;
    const int excess = load.m_decoding + load.m_waiting + 1 - engines.m_slots;
    // When all slots are in use a request waits for one of them. A slot becomes free after the decode passes of an answer of mean length.
    const double answerPasses = static_cast<double>(engines.m_meanAnswerTokens) / std::max(engines.m_stepsPerPass, 1);
    const double waitForSlot = excess > 0 ? excess * answerPasses * pass / std::max(engines.m_slots, 1) : 0.0;
    return pace * (waitForPass + waitForSlot + load.m_pendingPrefillMs + prefillMs(engines, promptTokens) + pass);
}

double longestPauseMs(const EngineTiming &engines, const ReplicaLoad &load, double pace)
{
    ReplicaLoad full = load;
    full.m_decoding = std::max(load.m_decoding, engines.m_slots);
    full.m_contextTokens = std::max(load.m_contextTokens, engines.m_slots * (engines.m_meanPromptTokens + engines.m_meanAnswerTokens));
    return pace * (decodePassMs(engines, full) + engines.m_stepsPerPass * prefillMs(engines, engines.m_prefillChunkTokens));
}

double eventPauseMs(const EngineTiming &engines, const ReplicaLoad &load, double pace)
{
    return pace * (decodePassMs(engines, load) + load.m_pendingPrefillMs);
}
}

#pragma once

#include "net/httpclient.h"
#include "net/httpserver.h"
#include "standins/history.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace knapweedslip::standin
{
/** Settings of all engine VMs of a process. */
struct EngineOptions
{
    std::int64_t m_tokenMs = 5;
    std::int64_t m_firstTokenMs = 20;
    std::int64_t m_loadMs = 300;
    /** Time for which an engine is cold after it joined a group and loaded its weights. */
    std::int64_t m_coldMs = 500;
    std::int64_t m_restartMs = 500;
    /** Concurrent requests that a cold engine can handle; one more crashes it. */
    int m_coldRequests = 1;
    int m_maxRequests = 32;
    /** Refuses orders with an old fencing token. */
    bool m_checkFencingToken = true;
};

/** Injected faults of one VM, set by PUT /standin/faults. */
struct EngineFaults
{
    bool m_frozen = false;
    bool m_leaving = false;
    std::int64_t m_slowTokenMs = 0;
    /** Cuts the next stream after this many tokens; negative: never. */
    std::int64_t m_cutAfter = -1;
    /** Skips a token offset, or repeats the previous one, at this offset of the next stream; negative: never. */
    std::int64_t m_skipAt = -1;
    std::int64_t m_repeatAt = -1;
    /** Sends the next stream with another request's id. */
    bool m_wrongRequestId = false;
};

/** Simulated engine VM that serves status, orders and completions. Must be used on one thread only. */
class EngineVm
{
public:
    EngineVm(std::string vm, const EngineOptions &options, History &history);

    awaitable<void> serve(HttpExchange &exchange);

private:
    awaitable<void> serveOrder(HttpExchange &exchange);
    awaitable<void> serveCompletion(HttpExchange &exchange);
    awaitable<void> streamTokens(HttpExchange &exchange, std::string requestId, std::string prompt, std::uint64_t offset, std::uint64_t count);
    /** Returns whether all peers respond and are in the same generation. */
    awaitable<bool> membersRespond();
    HttpReply status() const;
    HttpReply makeRefusal(const std::string &reason) const;
    void setFaults(const std::string &body);
    void crash(const std::string &cause);
    bool isDown() const;
    bool isCold() const;
    bool isLoading() const;
    /** Sets a new boot id and clears the state that a restart loses. */
    void startNewBoot();

    std::string m_vm;
    EngineOptions m_options;
    History &m_history;
    EngineFaults m_faults;
    ConnectionPool m_pool;
    std::string m_bootId;
    std::int64_t m_downUntilMs = 0;
    std::int64_t m_loadedAtMs = 0;
    std::int64_t m_coldUntilMs = 0;
    std::string m_loaded;
    std::string m_group;
    std::uint64_t m_generation = 0;
    std::uint64_t m_fencingToken = 0;
    int m_rank = 0;
    std::vector<std::string> m_peers;
    int m_running = 0;
};
}

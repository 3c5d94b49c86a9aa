#pragma once

#include "kernel/clientbacklog.h"
#include "net/http.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace knapweedslip
{
/** Carries out the decisions of a ClientBacklog: each client has an action that cuts it. Must be used on one thread. */
class ClientBacklogs
{
public:
    using CutAction = std::function<void(BacklogCut)>;

    void setLimits(const ClientBacklogLimits &limits);
    /** See ClientBacklog::open(). @p cut is called at most once, after the client was removed. It must not add bytes. */
    BacklogId open(bool isComplete, CutAction cut);
    void close(BacklogId client);
    /** Records that @p bytes more are held for @p client, and cuts clients if a limit is exceeded, perhaps @p client itself. */
    void hold(BacklogId client, std::size_t bytes);
    void release(BacklogId client, std::size_t bytes);

    std::size_t bytes() const;
    std::uint64_t cuts(BacklogCut reason) const;

private:
    ClientBacklog m_backlog;
    std::map<BacklogId, CutAction> m_cutActions;
    std::array<std::uint64_t, BacklogCutNames.size()> m_cuts{};
};

/** Returns the limits for the VM that the process runs on: 256 KiB for a client, and a sixteenth of the VM's memory, at least 8 MiB, for all. */
ClientBacklogLimits defaultClientBacklogLimits();

/** Returns what @p backlogs hold and cut in the text format of Prometheus. */
std::string backlogMetrics(const ClientBacklogs &backlogs);

/**
 * Writes the answer of one client without waiting for the client to read. What the connection does not take at once is held in order and written as soon as the
 * connection takes it. A write that the connection takes at once is neither copied nor waited for. May be used only on the connection's thread.
 *
 * What write() has accepted counts as handed over to the connection: it is sent once and in order, or the connection ends before the end of the stream.
 */
class StreamWriter : public std::enable_shared_from_this<StreamWriter>
{
public:
    /** Called with the reason if the client was cut, and with nothing if it left. */
    using FailedAction = std::function<void(std::optional<BacklogCut>)>;

    /** A client that takes nothing of what is held for this long has left, in ms: as long as a write to a client may take elsewhere. */
    static constexpr std::int64_t StalledMs = 30'000;

    /** @param onFailed called once when nothing more can be written; also from within write(). */
    StreamWriter(beast::tcp_stream &stream, std::shared_ptr<ClientBacklogs> backlogs, FailedAction onFailed);
    ~StreamWriter();
    StreamWriter(const StreamWriter &) = delete;
    StreamWriter &operator=(const StreamWriter &) = delete;

    /** Writes @p parts one after the other. Returns false if nothing more can be written. @p isComplete: they are a complete answer, see ClientBacklog::open().
     */
    bool write(const std::array<std::string_view, 3> &parts, bool isComplete = false);
    /** Waits until nothing is held any longer. Returns false if that cannot be achieved. */
    awaitable<bool> drain();
    /** Must be called when the client has closed its connection. */
    void clientLeft();
    /** Must be called before the stream that was given to the constructor is destroyed. */
    void detach();
    /** Returns whether nothing more can be written: the client left or was cut. */
    bool hasFailed() const;
    /** Returns why the client was cut, or nothing if it was not. */
    std::optional<BacklogCut> cut() const;

private:
    /** What is held is stored in blocks of at most this size, which are freed one by one, so that the memory in use is close to what is accounted for. */
    static constexpr std::size_t BlockBytes = 16 * 1024;

    /** Sends the start of @p parts without waiting and returns the number of bytes that the connection took. */
    std::size_t sendNow(const std::array<std::string_view, 3> &parts);
    void append(std::string_view text);
    /** Sends what is held, as far as the connection takes it. */
    void flush();
    void waitUntilWritable();
    void fail(std::optional<BacklogCut> cut);
    bool isStalled() const;

    beast::tcp_stream *m_stream;
    /** Shared, since connections may be destroyed after what else their handler uses when the process exits. */
    std::shared_ptr<ClientBacklogs> m_backlogs;
    FailedAction m_onFailed;
    asio::steady_timer m_drained;
    /** What is held, in order; m_sent bytes of the first block were sent. */
    std::deque<std::string> m_blocks;
    std::size_t m_sent = 0;
    /** 0 as long as nothing had to be held. */
    BacklogId m_client = 0;
    /** When the connection last took bytes, or the first bytes were held. */
    std::int64_t m_progressMs = 0;
    bool m_failed = false;
    std::optional<BacklogCut> m_cut;
};
}

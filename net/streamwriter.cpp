// Problem: a client that reads slowly must not stop the reading from the engine, whose slot it would occupy, and an event must not be late for a client that
// reads. Approach: a write is first tried without waiting, which nearly always takes all of it. The rest is held, and sent when the connection is writable. The
// bytes that are held are accounted for over all clients, and a client that is too slow is cut by a reset, so that it cannot take its stream for complete.
// An unconditional queue with a task of its own would copy each event and cost a wake-up for it.

#include "net/streamwriter.h"

#include "net/metrics.h"

#include <algorithm>
#include <unistd.h>
#include <utility>

namespace knapweedslip
{
void ClientBacklogs::setLimits(const ClientBacklogLimits &limits)
{
    m_backlog.setLimits(limits);
}

BacklogId ClientBacklogs::open(bool isComplete, CutAction cut)
{
    const BacklogId id = m_backlog.open(isComplete);
    m_cutActions[id] = std::move(cut);
    return id;
}

void ClientBacklogs::close(BacklogId client)
{
    m_backlog.close(client);
    m_cutActions.erase(client);
}

void ClientBacklogs::hold(BacklogId client, std::size_t bytes)
{
    m_backlog.hold(client, bytes, steadyMs());
    for (std::optional<ClientBacklog::Cut> cut = m_backlog.chooseCut(client); cut; cut = m_backlog.chooseCut(client)) {
        ++m_cuts.at(static_cast<std::size_t>(cut->m_reason));
        const auto found = m_cutActions.find(cut->m_client);
        if (found != m_cutActions.end()) {
            const CutAction action = std::move(found->second);
            m_cutActions.erase(found);
            action(cut->m_reason);
        }
    }
}

void ClientBacklogs::release(BacklogId client, std::size_t bytes)
{
    m_backlog.release(client, bytes);
}

std::size_t ClientBacklogs::bytes() const
{
    return m_backlog.bytes();
}

std::uint64_t ClientBacklogs::cuts(BacklogCut reason) const
{
    return m_cuts.at(static_cast<std::size_t>(reason));
}

ClientBacklogLimits defaultClientBacklogLimits()
{
    constexpr std::size_t ClientBytes = 256 * 1024;
    constexpr std::size_t MemoryParts = 16;
    constexpr std::size_t LeastTotalBytes = 8 * 1024 * 1024;
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long pageBytes = ::sysconf(_SC_PAGESIZE);
    const std::size_t memory = pages > 0 && pageBytes > 0 ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes) : 0;
    return {ClientBytes, std::max(memory / MemoryParts, LeastTotalBytes)};
}

std::string backlogMetrics(const ClientBacklogs &backlogs)
{
    std::string text = exposeMetric(
        "knapweedslip_client_backlog_bytes", "Bytes held for clients until their connections take them", static_cast<double>(backlogs.bytes()), true);
    for (std::size_t i = 0; i < BacklogCutNames.size(); ++i) {
        text += "knapweedslip_clients_cut_total{reason=\"" + std::string(BacklogCutNames.at(i)) + "\"} "
                + std::to_string(backlogs.cuts(static_cast<BacklogCut>(i))) + "\n";
    }
    return text;
}

StreamWriter::StreamWriter(beast::tcp_stream &stream, std::shared_ptr<ClientBacklogs> backlogs, FailedAction onFailed)
    : m_stream(&stream)
    , m_backlogs(std::move(backlogs))
    , m_onFailed(std::move(onFailed))
    , m_drained(stream.get_executor())
{
    // Applies to writes that are not asynchronous only, which then return what the connection took.
    boost::system::error_code ignored;
    stream.socket().non_blocking(true, ignored);
}

StreamWriter::~StreamWriter()
{
    detach();
}

void StreamWriter::detach()
{
    m_stream = nullptr;
    m_onFailed = nullptr;
    m_blocks.clear();
    if (m_client != 0) {
        m_backlogs->close(std::exchange(m_client, 0));
    }
}

bool StreamWriter::hasFailed() const
{
    return m_failed;
}

std::optional<BacklogCut> StreamWriter::cut() const
{
    return m_cut;
}

void StreamWriter::clientLeft()
{
    fail(std::nullopt);
}

void StreamWriter::fail(std::optional<BacklogCut> cut)
{
    if (m_failed || m_stream == nullptr) {
        return;
    }
    m_failed = true;
    m_cut = cut;
    m_blocks.clear();
    m_sent = 0;
    if (m_client != 0) {
        m_backlogs->close(std::exchange(m_client, 0));
    }
    boost::system::error_code ignored;
    if (cut) {
        // Without this the system would hold what the client does not read for minutes.
        m_stream->socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }
    m_stream->socket().close(ignored);
    m_drained.cancel();
    if (m_onFailed) {
        const FailedAction onFailed = std::exchange(m_onFailed, nullptr);
        onFailed(cut);
    }
}

bool StreamWriter::isStalled() const
{
    return !m_blocks.empty() && steadyMs() - m_progressMs >= StalledMs;
}

std::size_t StreamWriter::sendNow(const std::array<std::string_view, 3> &parts)
{
    std::array<asio::const_buffer, 3> buffers;
    std::transform(parts.begin(), parts.end(), buffers.begin(), [](std::string_view part) {
        return asio::const_buffer(part.data(), part.size());
    });
    boost::system::error_code error;
    const std::size_t sent = m_stream->socket().write_some(buffers, error);
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        fail(std::nullopt);
    }
    return error ? 0 : sent;
}

void StreamWriter::append(std::string_view text)
{
    while (!text.empty()) {
        if (m_blocks.empty() || m_blocks.back().size() == BlockBytes) {
            m_blocks.emplace_back();
        }
        const std::size_t size = std::min(text.size(), BlockBytes - m_blocks.back().size());
        m_blocks.back().append(text.substr(0, size));
        text.remove_prefix(size);
    }
}

bool StreamWriter::write(const std::array<std::string_view, 3> &parts, bool isComplete)
{
    if (isStalled()) {
        fail(std::nullopt);
    }
    if (m_failed || m_stream == nullptr) {
        return false;
    }
    const bool wasEmpty = m_blocks.empty();
    std::size_t sent = wasEmpty ? sendNow(parts) : 0;
    if (m_failed) {
        return false;
    }
    std::size_t held = 0;
    for (const std::string_view part : parts) {
        const std::size_t skipped = std::min(sent, part.size());
        sent -= skipped;
        held += part.size() - skipped;
        append(part.substr(skipped));
    }
    if (held == 0) {
        return true;
    }
    if (m_client == 0) {
        // The backlogs call this only while the client is open there, that is, while this object exists.
        m_client = m_backlogs->open(isComplete, [this](BacklogCut reason) {
            m_client = 0;
            fail(reason);
        });
    }
    if (wasEmpty) {
        m_progressMs = steadyMs();
        waitUntilWritable();
    }
    m_backlogs->hold(m_client, held);
    return !m_failed;
}

void StreamWriter::waitUntilWritable()
{
    m_stream->socket().async_wait(Tcp::socket::wait_write, [self = shared_from_this()](const boost::system::error_code &error) {
        if (self->m_stream == nullptr || self->m_failed) {
            return;
        }
        if (error) {
            self->fail(std::nullopt);
            return;
        }
        self->flush();
    });
}

void StreamWriter::flush()
{
    while (!m_blocks.empty()) {
        const std::size_t sent = sendNow({std::string_view(m_blocks.front()).substr(m_sent)});
        if (m_failed) {
            return;
        }
        if (sent == 0) {
            waitUntilWritable();
            return;
        }
        m_progressMs = steadyMs();
        m_backlogs->release(m_client, sent);
        m_sent += sent;
        if (m_sent == m_blocks.front().size()) {
            m_blocks.pop_front();
            m_sent = 0;
        }
    }
    m_drained.cancel();
}

awaitable<bool> StreamWriter::drain()
{
    const std::shared_ptr<StreamWriter> self = shared_from_this();
    while (!m_failed && !m_blocks.empty()) {
        if (isStalled()) {
            fail(std::nullopt);
            break;
        }
        m_drained.expires_after(std::chrono::milliseconds(m_progressMs + StalledMs - steadyMs()));
        co_await m_drained.async_wait(UseTuple);
    }
    co_return !m_failed;
}
}

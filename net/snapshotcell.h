#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace knapweedslip
{
/**
 * Holds one immutable value, with read-copy-update. A writer publishes a new copy; a reader may keep the copy it has read for as long as it
 * needs, also across suspensions of a coroutine. Reading costs one atomic load while the value has not changed.
 */
template<typename T>
class SnapshotCell
{
public:
    /** Replaces the value. May be called from any thread. */
    void publish(std::shared_ptr<const T> value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_value = std::move(value);
        m_version.fetch_add(1, std::memory_order_release);
    }

    /** Cached copy of one reading thread; each thread needs its own. */
    struct Reader
    {
        std::uint64_t m_version = 0;
        std::shared_ptr<const T> m_value;
    };

    /** Returns the newest value, which stays valid in @p reader until its next read. Takes the lock only when the value has changed. */
    const std::shared_ptr<const T> &read(Reader &reader) const
    {
        if (reader.m_version != m_version.load(std::memory_order_acquire)) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            reader.m_value = m_value;
            reader.m_version = m_version.load(std::memory_order_relaxed);
        }
        return reader.m_value;
    }

    /** Returns the newest value; takes the lock. */
    std::shared_ptr<const T> current() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_value;
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const T> m_value;
    std::atomic<std::uint64_t> m_version{0};
};
}

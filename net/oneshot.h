#pragma once

#include "net/asio.h"

#include <memory>
#include <optional>

namespace knapweedslip
{
/** A value that any thread sets once and one coroutine waits for. Both sides must hold it by shared pointer. */
template<typename T>
class OneShot : public std::enable_shared_from_this<OneShot<T>>
{
public:
    /** @param executor executor of the waiting coroutine */
    explicit OneShot(const asio::any_io_executor &executor)
        : m_timer(executor)
    {
    }

    /** Sets the value and wakes the waiting coroutine. Later calls have no effect. */
    void set(T value)
    {
        asio::post(m_timer.get_executor(), [self = this->shared_from_this(), moved = std::make_shared<T>(std::move(value))]() {
            if (!self->m_value) {
                self->m_value = std::move(*moved);
                self->m_timer.cancel();
            }
        });
    }

    /** Returns the value, or nothing if none is set within @p timeoutMs. Must be called on the executor. */
    awaitable<std::optional<T>> wait(std::int64_t timeoutMs)
    {
        if (!m_value) {
            m_timer.expires_after(std::chrono::milliseconds(timeoutMs));
            co_await m_timer.async_wait(UseTuple);
        }
        co_return m_value;
    }

private:
    asio::steady_timer m_timer;
    std::optional<T> m_value;
};
}

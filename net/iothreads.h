#pragma once

#include "net/asio.h"

#include <memory>
#include <thread>
#include <vector>

namespace knapweedslip
{
/**
 * The threads of a process. Each runs its own io_context, so that everything bound to one context needs no lock. Context 0 is for control
 * work; requests are spread over the others.
 */
class IoThreads
{
public:
    /** @param workers number of threads for requests, in addition to the control thread */
    explicit IoThreads(int workers);
    IoThreads(const IoThreads &) = delete;
    IoThreads &operator=(const IoThreads &) = delete;
    ~IoThreads();

    /** Returns the context for control work. */
    asio::io_context &control();
    /** Returns the contexts for requests. */
    std::vector<asio::io_context *> workers();
    /** Starts the worker threads and runs the control context on the calling thread until stop(). */
    void run();
    /** Ends run(); may be called from any thread. */
    void stop();

private:
    struct Context
    {
        asio::io_context m_context{1};
        asio::executor_work_guard<asio::io_context::executor_type> m_guard{m_context.get_executor()};
    };

    std::vector<std::unique_ptr<Context>> m_contexts;
    std::vector<std::thread> m_threads;
};
}

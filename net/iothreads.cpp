// Problem: requests must use several processors without a lock around every connection.
// Approach: each thread runs its own io_context. A connection stays on the thread that accepted it, and results from other threads are posted
// to it. One shared io_context would need a strand for each connection and for each pooled connection that it uses.

#include "net/iothreads.h"

namespace knapweedslip
{
IoThreads::IoThreads(int workers)
{
    for (int i = 0; i < workers + 1; ++i) {
        m_contexts.push_back(std::make_unique<Context>());
    }
}

IoThreads::~IoThreads()
{
    stop();
    for (std::thread &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

asio::io_context &IoThreads::control()
{
    return m_contexts.front()->m_context;
}

std::vector<asio::io_context *> IoThreads::workers()
{
    std::vector<asio::io_context *> contexts;
    for (std::size_t i = 1; i < m_contexts.size(); ++i) {
        contexts.push_back(&m_contexts[i]->m_context);
    }
    return contexts;
}

void IoThreads::run()
{
    for (asio::io_context *context : workers()) {
        m_threads.emplace_back([context]() {
            context->run();
        });
    }
    control().run();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

void IoThreads::stop()
{
    for (const std::unique_ptr<Context> &context : m_contexts) {
        context->m_context.stop();
    }
}
}

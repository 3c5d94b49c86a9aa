// Problem: requests must use several processors without locks around every connection.
// Approach: one io_context a thread; a connection stays on the thread that accepted it, and what it needs from elsewhere comes posted.
// One shared context needs a strand around each connection and around each pooled connection it borrows.

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

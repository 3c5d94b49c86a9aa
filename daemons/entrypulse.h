#pragma once

#include "daemons/entrycontext.h"

namespace knapweedslip
{
/** Tells the other daemons what runs here, many times a second and at once when a group falls silent. Null when its port cannot be had. */
class PulseExchange
{
public:
    static Result<std::unique_ptr<PulseExchange>> create(EntryContext &context);

    awaitable<void> sendLoop();
    awaitable<void> receiveLoop();
    /** Sends a pulse now. */
    void sendNow();

private:
    explicit PulseExchange(EntryContext &context);

    EntryContext &m_context;
    asio::ip::udp::socket m_socket;
    std::uint64_t m_number = 0;
};

/** Takes the other daemons' pulses into the book and, when this daemon leads, into the keeper. */
void applyPulses(EntryContext &context);
}

#include "autotests/soak/soakplan.h"

#include <algorithm>
#include <random>

namespace knapweedslip::soak
{
bool concernsDaemon(Disruption kind)
{
    return kind == Disruption::Stop || kind == Disruption::Kill || kind == Disruption::Suspend || kind == Disruption::Reload;
}

std::vector<SoakEvent> planSoak(std::uint64_t seed, const SoakShape &shape)
{
    constexpr std::int64_t MaxPauseMs = 1'400;
    constexpr std::int64_t MaxForMs = 5'000;
    constexpr std::int64_t MaxSeriesPauseMs = 900;
    constexpr int MaxSeries = 6;
    std::mt19937_64 random(seed);
    const auto below = [&random](std::int64_t end) {
        return std::uniform_int_distribution<std::int64_t>(0, std::max<std::int64_t>(1, end) - 1)(random);
    };
    std::vector<SoakEvent> events;
    for (std::int64_t atMs = 0; atMs < shape.m_durationMs; atMs += 100 + below(MaxPauseMs)) {
        SoakEvent event;
        // Spoilt answers come as often as all else together, since each upstream can spoil only its own.
        const bool isSpoilt = below(2) == 0;
        event.m_kind = isSpoilt ? Disruption::SpoilAnswers : static_cast<Disruption>(below(static_cast<std::int64_t>(DisruptionNames.size())));
        // Restarts and configurations come in series, together or one after the other.
        const bool isDaemon = concernsDaemon(event.m_kind);
        const bool isSeries = isDaemon || event.m_kind == Disruption::Configure;
        const int series = isSeries ? 1 + static_cast<int>(below(MaxSeries)) : 1;
        const bool isOneDaemon = below(4) == 0;
        const std::int64_t pauseMs = below(3) == 0 ? 0 : below(MaxSeriesPauseMs);
        const int places = isDaemon ? shape.m_daemons : event.m_kind == Disruption::EmptyZone ? shape.m_zones : shape.m_upstreams;
        const int first = static_cast<int>(below(places));
        for (int i = 0; i < series; ++i) {
            event.m_atMs = atMs + i * pauseMs;
            event.m_first = isOneDaemon ? first : (first + i) % places;
            event.m_count = 1 + static_cast<int>(below(std::max(1, shape.m_upstreams / 3)));
            event.m_forMs = 200 + below(MaxForMs);
            event.m_variant = random();
            events.push_back(event);
        }
    }
    std::stable_sort(events.begin(), events.end(), [](const SoakEvent &a, const SoakEvent &b) {
        return a.m_atMs < b.m_atMs;
    });
    return events;
}
}

// Guards against missed or needless updates when many daemons follow a few, entries are renewed all the time, and a source restarts or is behind
// its followers.

#include "kernel/storemirror.h"
#include "net/storeupdatescodec.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace knapweedslip;

namespace
{
StoreItem item(const std::string &key, const std::string &value, std::uint64_t revision)
{
    StoreItem result;
    result.m_key = key;
    result.m_value = value;
    result.m_position = {0, revision};
    return result;
}

StoreItem removal(const std::string &key, std::uint64_t revision)
{
    StoreItem result = item(key, {}, revision);
    result.m_deleted = true;
    return result;
}

/** Applies updates as a daemon that follows another one does. */
void applyUpdates(StoreMirror &mirror, const StoreUpdates &updates)
{
    std::map<std::string, StorePosition> before = mirror.positions();
    for (const StoreItem &update : updates.m_items) {
        before.erase(update.m_key);
        if (mirror.isNewer(update)) {
            mirror.put(update, true);
        }
    }
    if (updates.m_isSnapshot) {
        for (const std::pair<const std::string, StorePosition> &missing : before) {
            StoreItem gone = removal(missing.first, 0);
            gone.m_position = updates.m_completeTo;
            mirror.put(gone, true);
        }
        mirror.resetTo(updates.m_completeTo);
    }
    mirror.markCompleteTo(updates.m_completeTo);
}

std::map<std::string, std::string> contentOf(const StoreMirror &mirror)
{
    std::map<std::string, std::string> values;
    StoreMirror copy = mirror;
    copy.resetTo(mirror.completeTo());
    for (const StoreItem &stored : copy.updatesSince({}).m_items) {
        values[stored.m_key] = stored.m_value;
    }
    return values;
}
}

TEST_CASE("changes and removals are sent, renewals are not", "[entry][news]")
{
    StoreMirror mirror;
    mirror.resetTo({0, 10});
    mirror.put(item("a", "1", 11), true);
    mirror.put(item("b", "1", 12), true);
    mirror.markCompleteTo({0, 12});
    CHECK(mirror.updatesSince({0, 12}).m_items.empty());
    CHECK_FALSE(mirror.hasUpdates({0, 12}));
    mirror.put(item("a", "1", 13), false);
    mirror.markCompleteTo({0, 13});
    CHECK(mirror.updatesSince({0, 12}).m_items.empty());
    CHECK_FALSE(mirror.hasUpdates({0, 12}));
    mirror.put(removal("b", 14), true);
    mirror.markCompleteTo({0, 14});
    REQUIRE(mirror.updatesSince({0, 13}).m_items.size() == 1);
    CHECK(mirror.updatesSince({0, 13}).m_items.front().m_deleted);
    CHECK_FALSE(mirror.updatesSince({0, 13}).m_isSnapshot);
    CHECK(mirror.updatesSince({0, 9}).m_isSnapshot);
    CHECK(mirror.hasUpdates({0, 9}));
}

TEST_CASE("a follower holds what its sources hold, whichever it asks and however often they restart", "[entry][news]")
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        std::vector<StoreMirror> sources(2);
        StoreMirror follower;
        std::map<std::string, std::string> store;
        std::vector<StoreItem> history;
        std::uint64_t revision = 100;
        for (StoreMirror &source : sources) {
            source.resetTo({0, revision});
        }
        for (int step = 0; step < 400; ++step) {
            const std::string key(1, static_cast<char>('a' + random() % 12));
            ++revision;
            if (random() % 4 == 0) {
                store.erase(key);
                history.push_back(removal(key, revision));
            } else {
                store[key] = std::to_string(random() % 3);
                history.push_back(item(key, store[key], revision));
            }
            for (StoreMirror &source : sources) {
                if (random() % 3 == 0) {
                    for (const StoreItem &event : history) {
                        if (event.m_position > source.completeTo() && source.isNewer(event)) {
                            source.put(event, true);
                        }
                    }
                    source.markCompleteTo({0, revision});
                } else if (random() % 40 == 0) {
                    source = StoreMirror();
                    for (const std::pair<const std::string, std::string> &entry : store) {
                        const auto written = std::find_if(history.rbegin(), history.rend(), [&entry](const StoreItem &event) {
                            return event.m_key == entry.first;
                        });
                        source.put(*written, true);
                    }
                    source.resetTo({0, revision});
                }
            }
            if (random() % 3 == 0) {
                const StoreMirror &source = sources[random() % sources.size()];
                if (source.completeTo() >= follower.completeTo()) {
                    applyUpdates(follower, source.updatesSince(follower.completeTo()));
                    CHECK(contentOf(follower) == contentOf(source));
                }
            }
        }
    }
}

TEST_CASE("updates are unchanged by encoding and decoding, and invalid data is refused", "[entry][news]")
{
    StoreUpdatesReply answer;
    answer.m_updates.m_items = {item("a", std::string("x\0y", 3), 5), removal("b", 6)};
    answer.m_updates.m_completeTo = {3, 7};
    answer.m_confirmationAgeMs = 42;
    const Result<StoreUpdatesReply> decoded = decodeStoreUpdates(encodeStoreUpdates(answer));
    REQUIRE_FALSE(failed(decoded));
    CHECK(valueOf(decoded).m_updates.m_items.front().m_value == std::string("x\0y", 3));
    CHECK(valueOf(decoded).m_updates.m_items.front().m_position == StorePosition{3, 5});
    CHECK(valueOf(decoded).m_updates.m_items.back().m_deleted);
    CHECK(valueOf(decoded).m_updates.m_completeTo == StorePosition{3, 7});
    CHECK(valueOf(decoded).m_confirmationAgeMs == 42);
    CHECK(valueOf(decoded).m_recoveredAgeMs == -1);
    CHECK(failed(decodeStoreUpdates("no news")));
}

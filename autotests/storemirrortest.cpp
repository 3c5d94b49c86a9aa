// Guards against missed or needless updates when many daemons follow a few, entries are renewed all the time, and a source restarts or is behind
// its followers.

#include "kernel/storemirror.h"
#include "net/newscodec.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace knapweedslip;

namespace
{
StoreItem item(const std::string &key, const std::string &value, std::uint64_t revision)
{
    StoreItem made;
    made.m_key = key;
    made.m_value = value;
    made.m_revision = revision;
    return made;
}

StoreItem removal(const std::string &key, std::uint64_t revision)
{
    StoreItem made = item(key, {}, revision);
    made.m_deleted = true;
    return made;
}

/** Applies updates as a daemon that follows another one does. */
void follow(StoreMirror &mirror, const StoreNews &news)
{
    std::map<std::string, std::uint64_t> before = mirror.revisions();
    for (const StoreItem &told : news.m_items) {
        before.erase(told.m_key);
        if (mirror.isNewer(told)) {
            mirror.put(told, true);
        }
    }
    if (news.m_whole) {
        for (const std::pair<const std::string, std::uint64_t> &gone : before) {
            mirror.put(removal(gone.first, news.m_at), true);
        }
        mirror.restart(news.m_at);
    }
    mirror.completeTo(news.m_at);
}

std::map<std::string, std::string> content(const StoreMirror &mirror)
{
    std::map<std::string, std::string> values;
    StoreMirror copy = mirror;
    copy.restart(mirror.at());
    for (const StoreItem &held : copy.since(0).m_items) {
        values[held.m_key] = held.m_value;
    }
    return values;
}
}

TEST_CASE("changes and removals are sent, renewals are not", "[entry][news]")
{
    StoreMirror mirror;
    mirror.restart(10);
    mirror.put(item("a", "1", 11), true);
    mirror.put(item("b", "1", 12), true);
    mirror.completeTo(12);
    CHECK(mirror.since(12).m_items.empty());
    CHECK_FALSE(mirror.hasNews(12));
    mirror.put(item("a", "1", 13), false);
    mirror.completeTo(13);
    CHECK(mirror.since(12).m_items.empty());
    CHECK_FALSE(mirror.hasNews(12));
    mirror.put(removal("b", 14), true);
    mirror.completeTo(14);
    REQUIRE(mirror.since(13).m_items.size() == 1);
    CHECK(mirror.since(13).m_items.front().m_deleted);
    CHECK_FALSE(mirror.since(13).m_whole);
    CHECK(mirror.since(9).m_whole);
    CHECK(mirror.hasNews(9));
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
            source.restart(revision);
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
                        if (event.m_revision > source.at() && source.isNewer(event)) {
                            source.put(event, true);
                        }
                    }
                    source.completeTo(revision);
                } else if (random() % 40 == 0) {
                    source = StoreMirror();
                    for (const std::pair<const std::string, std::string> &entry : store) {
                        const auto written = std::find_if(history.rbegin(), history.rend(), [&entry](const StoreItem &event) {
                            return event.m_key == entry.first;
                        });
                        source.put(*written, true);
                    }
                    source.restart(revision);
                }
            }
            if (random() % 3 == 0) {
                const StoreMirror &source = sources[random() % sources.size()];
                if (source.at() >= follower.at()) {
                    follow(follower, source.since(follower.at()));
                    CHECK(content(follower) == content(source));
                }
            }
        }
    }
}

TEST_CASE("updates are unchanged by encoding and decoding, and invalid data is refused", "[entry][news]")
{
    NewsAnswer answer;
    answer.m_news.m_items = {item("a", std::string("x\0y", 3), 5), removal("b", 6)};
    answer.m_news.m_at = 7;
    answer.m_proofAgeMs = 42;
    const Result<NewsAnswer> decoded = decodeNews(encodeNews(answer));
    REQUIRE_FALSE(failed(decoded));
    CHECK(valueOf(decoded).m_news.m_items.front().m_value == std::string("x\0y", 3));
    CHECK(valueOf(decoded).m_news.m_items.back().m_deleted);
    CHECK(valueOf(decoded).m_news.m_at == 7);
    CHECK(valueOf(decoded).m_proofAgeMs == 42);
    CHECK(valueOf(decoded).m_regainedAgeMs == -1);
    CHECK(failed(decodeNews("no news")));
}

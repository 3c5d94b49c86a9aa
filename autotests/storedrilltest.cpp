// Guards against daemons that stay behind, or go back, after the store came back from a copy of itself (rule CONFIG): revisions were compared without the era
// in which they were given out, so that a configuration at a lower revision was ignored for good and a key that it took away stayed valid.

#include "entryfixtures.h"
#include "kernel/storemirror.h"
#include "platform/storecalls.h"

#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck/catch.h>

using namespace knapweedslip;

namespace
{
const std::string ConfigKey = "config";

/** The store, as far as its positions matter. */
struct ModelStore
{
    StorePosition m_position{1, 100};
    std::map<std::string, StoreItem> m_items;
    std::vector<StoreItem> m_history;
    /** Planted fault: the store does not tell its era. */
    bool m_hidesEra = false;

    void write(const std::string &key, const std::string &value, bool deleted = false)
    {
        ++m_position.m_revision;
        StoreItem item;
        item.m_key = key;
        item.m_value = value;
        item.m_deleted = deleted;
        item.m_position = m_position;
        m_history.push_back(item);
        if (deleted) {
            m_items.erase(key);
        } else {
            m_items[key] = item;
        }
    }
    StorePosition told(const StorePosition &position) const
    {
        return m_hidesEra ? StorePosition{0, position.m_revision} : StorePosition{m_position.m_era, position.m_revision};
    }
    void comeBackFrom(const ModelStore &copy, std::uint64_t skipped)
    {
        const std::uint64_t era = m_position.m_era + 1;
        *this = copy;
        m_position = {era, copy.m_position.m_revision + skipped};
    }
};

/** What one daemon knows. */
struct ModelDaemon
{
    StoreMirror m_mirror;
    bool m_synced = false;
    std::shared_ptr<const CallConfig> m_config;
    /** It went back to an older version. */
    bool m_wentBack = false;

    void apply(const StoreItem &item)
    {
        if (!m_mirror.isNewer(item)) {
            return;
        }
        if (item.m_key == ConfigKey && !item.m_deleted) {
            const std::shared_ptr<CallConfig> offered = std::make_shared<CallConfig>();
            offered->m_version = std::stoll(item.m_value);
            offered->m_position = item.m_position;
            if (m_config == nullptr || supersedes(*offered, *m_config)) {
                m_wentBack = m_wentBack || (m_config != nullptr && offered->m_version < m_config->m_version);
                m_config = offered;
            }
        }
        m_mirror.put(item, true);
    }
    void applyAll(const std::vector<StoreItem> &items, const StorePosition &completeTo)
    {
        std::map<std::string, StorePosition> missing = m_mirror.positions();
        for (const StoreItem &item : items) {
            missing.erase(item.m_key);
            apply(item);
        }
        for (const std::pair<const std::string, StorePosition> &gone : missing) {
            StoreItem removal;
            removal.m_key = gone.first;
            removal.m_deleted = true;
            removal.m_position = std::max(completeTo, {gone.second.m_era, gone.second.m_revision + 1});
            apply(removal);
        }
        m_mirror.resetTo(completeTo);
        m_synced = true;
    }
    void readStore(const ModelStore &store)
    {
        const StorePosition known = m_mirror.completeTo();
        const StorePosition now = store.told(store.m_position);
        const bool isHistoryGone = known.m_revision > now.m_revision;
        std::vector<StoreItem> items;
        if (m_synced && known.m_era == now.m_era && !isHistoryGone) {
            for (StoreItem event : store.m_history) {
                event.m_position = store.told(event.m_position);
                if (event.m_position > known) {
                    apply(event);
                }
            }
            m_mirror.markCompleteTo(now);
            return;
        }
        for (const std::pair<const std::string, StoreItem> &entry : store.m_items) {
            items.push_back(entry.second);
            items.back().m_position = store.told(entry.second.m_position);
        }
        applyAll(items, now);
    }
    void readPeer(const ModelDaemon &source)
    {
        if (!source.m_synced || source.m_mirror.completeTo().m_era < m_mirror.completeTo().m_era) {
            return;
        }
        const StoreUpdates updates = source.m_mirror.updatesSince(m_mirror.completeTo());
        if (updates.m_isSnapshot) {
            applyAll(updates.m_items, updates.m_completeTo);
        } else {
            for (const StoreItem &item : updates.m_items) {
                apply(item);
            }
        }
        m_mirror.markCompleteTo(updates.m_completeTo);
    }
    std::map<std::string, std::string> content() const
    {
        std::map<std::string, std::string> values;
        StoreMirror copy = m_mirror;
        copy.resetTo(m_mirror.completeTo());
        for (const StoreItem &item : copy.updatesSince({}).m_items) {
            values[item.m_key] = item.m_value;
        }
        return values;
    }
};

/** What a course of writes, drills and reads came to. */
struct CourseResult
{
    int m_stale = 0;
    int m_wentBack = 0;
};

/** Two daemons read the store and four read those. Returns how many of them were wrong in the end, or went back on the way. */
CourseResult playCourse(unsigned seed, bool hidesEra)
{
    std::mt19937 random(seed);
    ModelStore store;
    store.m_hidesEra = hidesEra;
    ModelStore copy = store;
    std::vector<ModelDaemon> daemons(6);
    constexpr std::size_t Sources = 2;
    std::int64_t version = 0;
    // The operators' configuration is written again some steps after a drill.
    int writesAgainIn = -1;
    const auto readSome = [&](std::size_t i) {
        i < Sources ? daemons[i].readStore(store) : daemons[i].readPeer(daemons[random() % Sources]);
    };
    for (int step = 0; step < 300; ++step) {
        const unsigned choice = random() % 100;
        if (writesAgainIn == 0) {
            store.write(ConfigKey, std::to_string(version));
        }
        writesAgainIn = std::max(-1, writesAgainIn - 1);
        if (choice < 4 && writesAgainIn < 0) {
            store.write(ConfigKey, std::to_string(++version));
        } else if (choice < 40) {
            store.write(std::string(1, static_cast<char>('a' + random() % 8)), std::to_string(random() % 3), random() % 4 == 0);
        } else if (choice < 43) {
            copy = store;
        } else if (choice < 45 && step > 20) {
            // The revision is below or above those that the daemons know when they reach the store again.
            store.comeBackFrom(copy, random() % 2 == 0 ? 0 : 500);
            copy = store;
            writesAgainIn = static_cast<int>(random() % 6);
        } else {
            readSome(random() % daemons.size());
        }
    }
    store.write(ConfigKey, std::to_string(++version));
    std::map<std::string, std::string> values;
    for (const std::pair<const std::string, StoreItem> &entry : store.m_items) {
        values[entry.first] = entry.second.m_value;
    }
    CourseResult result;
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        i < Sources ? daemons[i].readStore(store) : daemons[i].readPeer(daemons[i % Sources]);
        result.m_stale += daemons[i].content() != values || daemons[i].m_config == nullptr || daemons[i].m_config->m_version != version;
        result.m_wentBack += daemons[i].m_wentBack;
    }
    return result;
}
}

// Guards against any course of writes, drills and relayed updates after which a daemon lacks the newest configuration, or has gone back to an older one.
TEST_CASE("after drills all daemons have the newest configuration, and none went back, whoever told them", "[entry][news][drill]")
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        const CourseResult result = playCourse(seed, false);
        CHECK(result.m_stale == 0);
        CHECK(result.m_wentBack == 0);
    }
}

TEST_CASE("the courses find daemons that compare revisions without the era", "[entry][news][drill]")
{
    int stale = 0;
    for (unsigned seed = 1; seed <= 50; ++seed) {
        stale += playCourse(seed, true).m_stale;
    }
    CHECK(stale > 0);
}

// Guards against a configuration that is ignored for good, and against one that the store's copy brings back.
TEST_CASE("within an era the later configuration is newer, between eras the operators' version decides", "[entry][news][drill]")
{
    struct Row
    {
        const char *m_description;
        std::int64_t m_version;
        StorePosition m_position;
        bool m_supersedes;
    };
    // In force is version 9, written at revision 50 of era 2.
    const Row row = GENERATE(values<Row>({{"a later write", 12, {2, 51}, true},
                                          {"a later write of a lower version", 7, {2, 51}, true},
                                          {"the same write", 9, {2, 50}, false},
                                          {"an earlier write", 12, {2, 49}, false},
                                          {"what the copy held", 7, {3, 40}, false},
                                          {"the same one, written again", 9, {3, 45}, true},
                                          {"the next one at a lower revision", 12, {3, 46}, true},
                                          {"a late update of an earlier era", 12, {1, 90}, false}}));
    CAPTURE(row.m_description);
    CallConfig current;
    current.m_version = 9;
    current.m_position = {2, 50};
    CallConfig candidate;
    candidate.m_version = row.m_version;
    candidate.m_position = row.m_position;
    CHECK(supersedes(candidate, current) == row.m_supersedes);
}

// Guards against a leader after a drill whose orders the engines refuse, since they have seen a higher token.
TEST_CASE("fencing tokens rise from term to term, also over drills", "[entry][news][drill]")
{
    rc::prop("a later term has a higher token", [](std::uint16_t era, std::uint32_t revision, std::uint32_t lost, std::uint16_t added) {
        const std::uint64_t before = std::uint64_t(revision) + RevisionsPerEra;
        const StorePosition term{era, before};
        RC_ASSERT(fencingToken({era, before + 1 + added}) > fencingToken(term));
        RC_ASSERT(fencingToken({era + 1U, before - lost % RevisionsPerEra + added}) > fencingToken(term));
    });
    CHECK(fencingToken({0, 412}) == 412);
    // Epochs, a hundred thousand times as large, stay exact in a double.
    constexpr std::uint64_t EpochsPerTerm = 100'000;
    constexpr std::uint64_t MaxExact = 1ULL << 53U;
    CHECK(fencingToken({MaxStoreEra, 1'000'000'000}) * EpochsPerTerm < MaxExact);
}

// Guards against a late answer of an era that is over, and against answers whose era is missing or cannot be read.
TEST_CASE("the era of the store only rises, and answers without a readable one change nothing", "[entry][news][drill]")
{
    struct Row
    {
        std::string m_text;
        bool m_accepted;
        std::uint64_t m_known;
    };
    const Row row = GENERATE(values<Row>({{"5", true, 5},
                                          {"6", true, 6},
                                          {"4", false, 5},
                                          {"0", false, 5},
                                          {"", true, 5},
                                          {"six", true, 5},
                                          {"6 ", true, 5},
                                          {"-1", true, 5},
                                          {"99999999999999999999", true, 5},
                                          {"65536", true, 5}}));
    CAPTURE(row.m_text);
    HeaderFields headers;
    if (!row.m_text.empty()) {
        headers.emplace_back("store-era", row.m_text);
    }
    std::uint64_t known = 5;
    CHECK(acceptStoreEra(known, platform::decodeStoreEra(headers)) == row.m_accepted);
    CHECK(known == row.m_known);
}

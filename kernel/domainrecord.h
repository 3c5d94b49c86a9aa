#pragma once

#include "kernel/enumnames.h"
#include "kernel/errors.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedslip
{
enum class GroupPhase {
    /** Members are being ordered to join; takes no requests. */
    Forming,
    /** Complete, just started: only the holder of the cold grant sends, up to the cold limit. */
    Cold,
    /** Complete and warm. */
    Warm,
    /** Complete, but about to be taken apart: finishes its requests and takes no new ones. */
    Draining,
    /** A member is missing; takes no requests. */
    Broken,
};

inline constexpr EnumNames<5> GroupPhaseNames{"forming", "cold", "warm", "draining", "broken"};

/** One member of a serving group; its rank is its place in the list, rank 0 answers requests. */
struct MemberRecord
{
    std::string m_vm;
    std::string m_address;
    /** Identity of the engine process when it joined. */
    std::string m_bootId;
};

/** A serving group. The generation rises with every change of its members. */
struct GroupRecord
{
    std::string m_id;
    std::uint64_t m_generation = 0;
    std::string m_model;
    std::string m_version;
    GroupPhase m_phase = GroupPhase::Forming;
    /** Gateway that alone may send while the phase is Cold. */
    std::string m_coldHolder;
    std::vector<MemberRecord> m_members;
};

/**
 * Every serving group of one fabric domain, kept as one document in the platform's store.
 * A group never crosses a domain, so a compare-and-swap on this value keeps each VM in at most one group.
 */
struct DomainRecord
{
    std::string m_domain;
    std::string m_availabilityZone;
    /** Controller that wrote it last. */
    std::string m_holder;
    /** Rises with each change of holder; sent with every order. */
    std::uint64_t m_fence = 0;
    /** Highest generation ever given to a group of this domain. */
    std::uint64_t m_lastGeneration = 0;
    std::vector<GroupRecord> m_groups;
};

std::string encodeDomainRecord(const DomainRecord &record);
Result<DomainRecord> decodeDomainRecord(const std::string &text);

/** Names the first VM that is in two groups, or empty. */
std::string doubledVm(const DomainRecord &record);
}

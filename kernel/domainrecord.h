#pragma once

#include "kernel/enumnames.h"
#include "kernel/errors.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedslip
{
enum class GroupPhase {
    /** Members are being ordered to join. The group takes no requests. */
    Forming,
    /** Complete and just started. Only the gateway with the cold grant sends requests, up to the cold limit. */
    Cold,
    /** Complete and warm. */
    Warm,
    /** Complete, but about to be dissolved. The group finishes its requests and takes no new ones. */
    Draining,
    /** A member is missing. The group takes no requests. */
    Broken,
};

inline constexpr EnumNames<5> GroupPhaseNames{"forming", "cold", "warm", "draining", "broken"};

/** One member of a serving group. Its rank is its index in the list of members; rank 0 answers requests. */
struct MemberRecord
{
    std::string m_vm;
    std::string m_address;
    /** Identifies the engine process that joined; a restart changes it. */
    std::string m_bootId;
};

/** A serving group: the VMs that run one replica of a model together. */
struct GroupRecord
{
    std::string m_id;
    /** Increases with every change of the members. */
    std::uint64_t m_generation = 0;
    std::string m_model;
    std::string m_version;
    GroupPhase m_phase = GroupPhase::Forming;
    /** The only gateway that may send requests while the phase is Cold; empty in other phases. */
    std::string m_coldHolder;
    std::vector<MemberRecord> m_members;
};

/**
 * All serving groups of one fabric domain, stored as one document in the platform's store.
 * A group never spans several domains, so a compare-and-swap on this value keeps each VM in at most one group.
 */
struct DomainRecord
{
    std::string m_domain;
    std::string m_availabilityZone;
    /** Controller that wrote the record last. */
    std::string m_holder;
    /** Fencing token: increases with each change of holder and is sent with every order. */
    std::uint64_t m_fence = 0;
    /** Highest generation that any group of this domain has had. */
    std::uint64_t m_lastGeneration = 0;
    std::vector<GroupRecord> m_groups;
};

std::string encodeDomainRecord(const DomainRecord &record);
/** Returns ErrorCode::ProtocolViolation if @p text is not a valid domain record. */
Result<DomainRecord> decodeDomainRecord(const std::string &text);

/** Returns the name of the first VM that is a member twice, or an empty string. */
std::string findDuplicateVm(const DomainRecord &record);
}

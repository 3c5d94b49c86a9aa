// Problem: each VM must belong to at most one serving group, although several controllers may pause, race and crash.
// Approach: all groups of a fabric domain are stored as one value, and the compare-and-swap of the store serializes its writers.
// With one value per VM, forming a group would need a transaction over several keys.

#include "kernel/domainrecord.h"

#include <boost/json.hpp>

#include <set>

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
json::object encodeGroup(const GroupRecord &group)
{
    json::array members;
    for (const MemberRecord &member : group.m_members) {
        members.push_back(json::object{{"vm", member.m_vm}, {"address", member.m_address}, {"boot_id", member.m_bootId}});
    }
    json::object object;
    object["id"] = group.m_id;
    object["generation"] = group.m_generation;
    object["model"] = group.m_model;
    object["version"] = group.m_version;
    object["phase"] = enumName(GroupPhaseNames, group.m_phase);
    object["cold_holder"] = group.m_coldHolder;
    object["members"] = std::move(members);
    return object;
}

std::string stringAt(const json::value &value, std::string_view key)
{
    return json::value_to<std::string>(value.at(key));
}

GroupRecord decodeGroup(const json::value &value)
{
    GroupRecord group;
    group.m_id = stringAt(value, "id");
    group.m_generation = value.at("generation").to_number<std::uint64_t>();
    group.m_model = stringAt(value, "model");
    group.m_version = stringAt(value, "version");
    group.m_phase = enumFromName<GroupPhase>(GroupPhaseNames, stringAt(value, "phase")).value_or(GroupPhase::Broken);
    group.m_coldHolder = stringAt(value, "cold_holder");
    for (const json::value &member : value.at("members").as_array()) {
        group.m_members.push_back({stringAt(member, "vm"), stringAt(member, "address"), stringAt(member, "boot_id")});
    }
    return group;
}
}

std::string encodeDomainRecord(const DomainRecord &record)
{
    json::array groups;
    for (const GroupRecord &group : record.m_groups) {
        groups.push_back(encodeGroup(group));
    }
    json::object object;
    object["domain"] = record.m_domain;
    object["availability_zone"] = record.m_availabilityZone;
    object["holder"] = record.m_holder;
    object["fence"] = record.m_fence;
    object["last_generation"] = record.m_lastGeneration;
    object["groups"] = std::move(groups);
    return json::serialize(object);
}

Result<DomainRecord> decodeDomainRecord(const std::string &encoded)
{
    try {
        const json::value value = json::parse(encoded);
        DomainRecord record;
        record.m_domain = stringAt(value, "domain");
        record.m_availabilityZone = stringAt(value, "availability_zone");
        record.m_holder = stringAt(value, "holder");
        record.m_fence = value.at("fence").to_number<std::uint64_t>();
        record.m_lastGeneration = value.at("last_generation").to_number<std::uint64_t>();
        for (const json::value &group : value.at("groups").as_array()) {
            record.m_groups.push_back(decodeGroup(group));
        }
        return record;
    } catch (const std::exception &exception) {
        return Error{ErrorCode::ProtocolViolation, std::string("domain record: ") + exception.what()};
    }
}

std::string findDuplicateVm(const DomainRecord &record)
{
    std::set<std::string> vms;
    for (const GroupRecord &group : record.m_groups) {
        for (const MemberRecord &member : group.m_members) {
            if (!vms.insert(member.m_vm).second) {
                return member.m_vm;
            }
        }
    }
    return {};
}
}

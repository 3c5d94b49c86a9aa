#pragma once

#include "kernel/enumnames.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace knapweedslip
{
/** Expected work of a request in relation to the mean of its model. */
enum class RequestSize {
    Small,
    Medium,
    Large,
};

inline constexpr EnumNames<3> RequestSizeNames{"small", "medium", "large"};

/** Returns the size of a request with @p work where the mean is @p meanWork. */
RequestSize requestSize(double work, double meanWork);

/** Priorities above this one count as this one. */
inline constexpr int LowestAdmissionPriority = 3;

/** What the loss of a caller whose request is refused depends on. */
struct AdmissionRank
{
    /** 0 is the most urgent. */
    int m_priority = 0;
    RequestSize m_size = RequestSize::Medium;
    /** The request can no longer be answered in time: its caller was refused before. */
    bool m_late = false;
};

inline constexpr std::size_t AdmissionRankCount = static_cast<std::size_t>(LowestAdmissionPriority + 1) * RequestSizeNames.size() * 2;

std::size_t rankIndex(const AdmissionRank &rank);
AdmissionRank rankAt(std::size_t index);

/** Work by rank, in slots: the number of slots of the replicas that the requests of the rank would occupy if all of them were admitted. */
using RankWork = std::array<double, AdmissionRankCount>;

/** Load of all replicas of one model, as far as it is known to one daemon. */
struct ModelLoad
{
    /** Slots that may be occupied so that first events come in time, see targetOccupancy(). */
    double m_capacitySlots = 0.0;
    /** Requests that all daemons have sent and that have not ended. */
    double m_inFlight = 0.0;
    /** Work that clients offer to all daemons. */
    RankWork m_demand{};
};

/** Returns what a refusal costs the callers of @p rank for each unit of work that it saves; only the order of the values matters. */
double refusalCost(const AdmissionRank &rank);

/**
 * Returns the fraction of the requests of each rank to admit, where the work of those that are admitted may be @p capacitySlots. Ranks are admitted in the
 * order of refusalCost() until the capacity is used up; every rank whose requests may be in time gets at least 0.6 of the overall fraction of these. All are 1
 * if the demand fits.
 */
RankWork admittedFractions(double capacitySlots, const RankWork &demand);

/** Measures offered work as a moving average over about WindowMs. */
class DemandMeter
{
public:
    static constexpr double WindowMs = 400.0;

    /** Records a request that occupies a slot for @p slotMs if it is admitted. */
    void add(double slotMs, std::int64_t nowMs);
    /** Returns the offered work in slots. */
    double slots(std::int64_t nowMs) const;

private:
    double m_sum = 0.0;
    std::int64_t m_updatedMs = 0;
};

/**
 * Decides which generation requests one daemon admits while the replicas of a model have too little room. Every daemon computes the same fractions from the
 * load reports of all daemons and applies them to the requests that arrive at it, so that no daemon is in charge. Memory: constant for each model.
 */
class OverloadAdmission
{
public:
    /** Records a request for @p model that arrived and would occupy a slot for @p slotMs. */
    void offer(const std::string &model, const AdmissionRank &rank, double slotMs, std::int64_t nowMs);
    /** Returns the work that arrives at this daemon, by model. */
    std::map<std::string, RankWork> ownDemand(std::int64_t nowMs) const;
    /** Returns the mean time for which a request for @p model occupies a slot, of the requests that were offered; 0 if there were none. */
    double meanSlotMs(const std::string &model) const;

    /** Updates the fractions of @p model from the load of all daemons. Must be called a few dozen times a second. */
    void update(const std::string &model, const ModelLoad &load, std::int64_t nowMs);
    /** Returns whether to admit a request of @p rank now. Of each series of requests of a rank the fraction that update() computed is admitted. */
    bool admit(const std::string &model, const AdmissionRank &rank);
    /** Returns whether requests for @p model are being refused. */
    bool isOverloaded(const std::string &model) const;
    /** Returns the last load of @p model, and the fractions that follow from it. */
    const ModelLoad &load(const std::string &model) const;
    const RankWork &fractions(const std::string &model) const;

private:
    struct Model
    {
        Model();

        std::array<DemandMeter, AdmissionRankCount> m_offered;
        double m_meanSlotMs = 0.0;
        ModelLoad m_load;
        RankWork m_fractions;
        /** Part of a request of each rank that may be admitted beyond those that were. */
        RankWork m_credit;
        /** Factor on the published capacity that keeps the requests in flight at the capacity. */
        double m_correction = 1.0;
        std::int64_t m_updatedMs = -1;
    };

    std::map<std::string, Model> m_models;
};
}

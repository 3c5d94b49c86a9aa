#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace knapweedslip
{
/** Names of the enumerators of an enum class, indexed by their values, which must be 0, 1, 2 and so on. */
template<std::size_t Size>
using EnumNames = std::array<std::string_view, Size>;

/** Returns the name of @p value, which must have one in @p names. */
template<typename Enum, std::size_t Size>
constexpr std::string_view enumName(const EnumNames<Size> &names, Enum value)
{
    return names.at(static_cast<std::size_t>(value));
}

/** Returns the enumerator called @p name, or std::nullopt. */
template<typename Enum, std::size_t Size>
constexpr std::optional<Enum> enumFromName(const EnumNames<Size> &names, std::string_view name)
{
    for (std::size_t i = 0; i < Size; ++i) {
        if (names.at(i) == name) {
            return static_cast<Enum>(i);
        }
    }
    return std::nullopt;
}
}

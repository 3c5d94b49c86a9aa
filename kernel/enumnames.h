#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace knapweedslip
{
/** Table of the names of an enum class whose enumerators count up from 0. */
template<std::size_t Size>
using EnumNames = std::array<std::string_view, Size>;

template<typename Enum, std::size_t Size>
constexpr std::string_view enumName(const EnumNames<Size> &names, Enum value)
{
    return names.at(static_cast<std::size_t>(value));
}

/** The enumerator called @p name, or nothing. */
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

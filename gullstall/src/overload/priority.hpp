#ifndef GULLSTALL_OVERLOAD_PRIORITY_HPP
#define GULLSTALL_OVERLOAD_PRIORITY_HPP

#include <compare>
#include <cstdint>
#include <string_view>

#include "gullstall/src/core/hash.hpp"

namespace gullstall {

/// Number of ranks within a class.
constexpr std::uint16_t ranks_per_class = 128;

/// Number of classes that a bundle can define.
constexpr std::uint16_t class_count = 16;

constexpr std::uint16_t priority_count = ranks_per_class * class_count;

/// Priority of a request: class first, then rank. A lower value is more
/// important. It is the same at every hop of a request, so that all services
/// admit the same requests under overload.
struct priority
{
    std::uint16_t value;

    auto operator<=>(const priority &) const = default;
};

/// Admission level of a service: the least important priority that it admits.
struct admission_level
{
    std::uint16_t highest;

    auto operator<=>(const admission_level &) const = default;
};

/// Level that admits every request.
constexpr admission_level admit_all{priority_count - 1};

/// \returns the rank of the request, in [0, ranks_per_class)
constexpr std::uint8_t rank_of(std::string_view request_id)
{
    return static_cast<std::uint8_t>(hash_text(request_id) % ranks_per_class);
}

/// \returns the priority of a request of class \a class_priority and \a rank
constexpr priority make_priority(std::uint8_t class_priority, std::uint8_t rank)
{
    return priority{static_cast<std::uint16_t>(class_priority * ranks_per_class + rank)};
}

/// \returns whether a service at \a level admits a request of \a request_priority
constexpr bool admits(admission_level level, priority request_priority)
{
    return request_priority.value <= level.highest;
}

}  // namespace gullstall

#endif

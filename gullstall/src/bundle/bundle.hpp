#ifndef GULLSTALL_BUNDLE_BUNDLE_HPP
#define GULLSTALL_BUNDLE_BUNDLE_HPP

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "gullstall/generated/bundle_generated.h"
#include "gullstall/src/core/result.hpp"

namespace gullstall {

/// Names a kind of call: a service and one of its operations.
struct call_type
{
    std::string service;
    std::string operation;

    auto operator<=>(const call_type &) const = default;
};

/// What a bundle says of one call, its class and limits resolved.
struct call_policy
{
    std::string class_name;
    std::uint8_t class_priority;  ///< 0 is the most important
    bool protect;                 ///< the last to be refused
    bool non_idempotent;          ///< must never run twice
    std::uint32_t time_ms;        ///< time that an answer may take

    bool operator==(const call_policy &) const = default;
};

/// A bundle: the versioned policy that operators sign and publish.
struct bundle
{
    bundle_schema::head_section_values head;
    bundle_schema::limits_section_values limits;
    std::map<std::string, bundle_schema::class_section_values> classes;
    std::map<call_type, bundle_schema::call_section_values> calls;

    bool operator==(const bundle &) const = default;
};

/// Largest content of a bundle, signatures included, bytes.
constexpr std::size_t max_bundle_bytes = 262144;

/// Priority of calls that no section of the bundle names.
constexpr std::uint8_t lowest_priority = 15;

/// Reads a bundle's INI text.
/// \returns the bundle, or an error with file, line, key, what was found and
/// what is allowed
result<bundle> parse_bundle(const std::string &name, std::string_view text);

/// \returns the policy for a call of \a operation at \a service; a call that
/// the bundle does not name gets the lowest priority and is idempotent
call_policy policy_for(const bundle &it, const std::string &service, const std::string &operation);

}  // namespace gullstall

#endif

#ifndef GULLSTALL_BUNDLE_ROLLOUT_HPP
#define GULLSTALL_BUNDLE_ROLLOUT_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "gullstall/src/bundle/signature.hpp"
#include "gullstall/src/core/time.hpp"

namespace gullstall {

/// Key of the table's row that names the published version.
inline constexpr const char *bundle_head_key = "bundle/head";

/// What the head row says.
struct bundle_head
{
    std::uint64_t version;
    std::string digest;
    std::string token;  ///< unique to the publication, settles lost answers

    bool operator==(const bundle_head &) const = default;
};

/// \returns the value of the head row
std::string print_head(const bundle_head &it);

/// Reads the value of the head row, or bad_syntax.
result<bundle_head> parse_head(std::string_view value);

/// \returns the object that holds the bundle with \a digest
std::string bundle_object_name(const std::string &digest);

/// A node's view of the bundles: what is in force, and since when.
struct rollout
{
    std::optional<verified_bundle> in_force;
    std::string stored;  ///< bytes of the bundle in force, for peers that fetch it
    time_point since{};
    time_point next_poll{};
};

/// Puts \a stored in force when it is good and its version is above the one in
/// force: a node never goes back, whatever the table or a peer says.
/// \returns done, or why the bundle was refused
result<done> apply_bundle(rollout &it, const std::string &stored,
                          const std::vector<trusted_key> &trusted, time_point now);

/// \returns the version in force, 0 when there is none
std::uint64_t version_in_force(const rollout &it);

}  // namespace gullstall

#endif

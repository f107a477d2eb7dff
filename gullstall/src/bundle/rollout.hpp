#ifndef GULLSTALL_BUNDLE_ROLLOUT_HPP
#define GULLSTALL_BUNDLE_ROLLOUT_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "gullstall/src/bundle/follow.hpp"
#include "gullstall/src/bundle/signature.hpp"
#include "gullstall/src/core/time.hpp"

namespace gullstall {

/// Key of the table's row that names the published version.
inline constexpr const char *bundle_head_key = "bundle/head";

/// What the head row, and the row of each version, says.
struct bundle_head
{
    std::uint64_t version;
    std::string digest;     ///< of the text; the next version names it as previous
    std::string object;     ///< of the stored bytes, signatures included
    std::string token;      ///< unique to the publication, settles lost answers
    std::string author;     ///< for those who lose a race against this version
    std::string reference;  ///< the change board's

    bool operator==(const bundle_head &) const = default;
};

/// \returns the value of the head row
std::string print_head(const bundle_head &it);

/// Reads the value of the head row, or bad_syntax.
result<bundle_head> parse_head(std::string_view value);

/// \returns the head row's value for a bundle
bundle_head head_of(const bundle &content, const std::string &stored, const std::string &text,
                    const std::string &token);

/// \returns the object that holds the bundle whose stored bytes have \a digest
std::string bundle_object_name(const std::string &digest);

/// \returns the key of the table's row that keeps \a version for good: nodes
/// that missed versions walk these rows
std::string bundle_version_key(std::uint64_t version);

/// A bundle that was in force at this node.
struct held_bundle
{
    std::string stored;  ///< for peers that fetch it
    bundle content;      ///< for requests that run under this version
};

/// Versions that a node holds for peers that missed them and for requests that
/// are still in flight under them.
constexpr std::size_t max_held_versions = 64;

/// Checks that only tests switch off, to show what they guard against.
struct rollout_guards
{
    bool rising = true;         ///< refuse a version that is not above the one in force
    bool chain = true;          ///< refuse a version that does not continue the chain
    bool hear_frames = true;    ///< follow the versions that frames name
    bool current_first = true;  ///< a fresh node reads the head row as it stands
    bool ask_peers = true;      ///< a fresh node asks its peers beside the table
    bool pin_requests = true;   ///< a request keeps the version of its entry
};

/// A node's view of the bundles: what is in force, and since when.
struct rollout
{
    std::optional<verified_bundle> in_force;
    std::string stored;  ///< bytes of the bundle in force, for peers that fetch it
    time_point since{};
    std::map<std::uint64_t, held_bundle> held;  ///< by version, the latest ones
    bundle_follow follow;
    rollout_guards guards;
};

/// Puts \a stored in force when it is good, its version is the one after the
/// version in force and it names that version's digest as `previous`: a node
/// never goes back, whatever the table or a peer says, and never jumps over a
/// link of the chain. The first bundle that a node takes starts its chain and
/// needs \a first_signers signatures; each later one needs as many as the
/// bundle before asks for.
/// \returns done, or why the bundle was refused; the one in force then stays
result<done> apply_bundle(rollout &it, const std::string &stored,
                          const std::vector<trusted_key> &trusted, time_point now,
                          std::uint32_t first_signers = 1);

/// \returns the version in force, 0 when there is none
std::uint64_t version_in_force(const rollout &it);

/// \returns the content of \a version, or of the version in force when that one
/// is not held any more or not yet; there must be one in force
const bundle &content_of(const rollout &it, std::uint64_t version);

}  // namespace gullstall

#endif

#ifndef GULLSTALL_BUNDLE_PUBLISH_HPP
#define GULLSTALL_BUNDLE_PUBLISH_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gullstall/src/bundle/diff.hpp"
#include "gullstall/src/bundle/rollout.hpp"
#include "gullstall/src/core/time.hpp"
#include "gullstall/src/platform/request.hpp"

/// Publishing a bundle: a state machine that takes the platform's answers and
/// says what to ask next. One conditional write moves the head row from N to
/// N+1 and adds the row of version N+1, which stays for good; it decides every
/// race. A lost answer is settled by asking again: the rows carry the token.
namespace gullstall {

/// How a publication ended.
enum class publish_result
{
    published,  ///< this version is accepted; maybe followed by others already
    lost_race,  ///< another bundle took the version, or the one it builds on
    refused,    ///< the bundle cannot follow the published version
    undecided   ///< the platform was out for too long; publish the same file again
};

/// End of a publication.
struct publish_end
{
    publish_result how;
    std::optional<bundle_head> winner;           ///< of a lost race
    std::vector<bundle_difference> differences;  ///< from the own bundle to the winner's
    std::string message;

    bool operator==(const publish_end &) const = default;
};

/// Wait before asking again.
struct publish_pause
{
    duration time;
    platform_request next;
};

/// What the publisher is to do next.
using publish_action = std::variant<platform_request, publish_pause, publish_end>;

/// Where a publication stands: what the answer that comes next is about.
enum class publish_stage
{
    put_object,
    read_rows,
    get_before,
    commit,
    get_winner
};

/// Checks that only tests switch off, to show what they guard against.
struct publish_guards
{
    bool settle_lost = true;  ///< a lost answer is settled by asking again
};

/// One publication under way.
struct publication
{
    std::string stored;
    signed_bundle parsed;
    bundle content;
    bundle_head head;
    publish_stage stage = publish_stage::put_object;
    std::uint64_t head_row_version = 0;
    std::string checked_object;  ///< bundle before whose demands are met
    std::optional<bundle_head> winner;
    std::uint32_t failures = 0;
    publish_guards guards;
};

/// Answers that may fail in a row before the publication ends undecided.
constexpr std::uint32_t max_publish_failures = 40;

/// Begins a publication.
/// \param token unique to it
/// \param trusted when not empty, the signatures are checked as nodes do
/// \returns it, or why no node would take \a stored
result<publication> begin_publication(const std::string &stored, const std::string &token,
                                      const std::vector<trusted_key> &trusted);

/// \returns the first request
publish_action first_action(const publication &it);

/// Takes the answer to the latest request.
publish_action on_publish_answer(publication &it, const platform_answer &answer);

}  // namespace gullstall

#endif

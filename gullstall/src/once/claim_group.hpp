#ifndef GULLSTALL_ONCE_CLAIM_GROUP_HPP
#define GULLSTALL_ONCE_CLAIM_GROUP_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gullstall/src/core/time.hpp"
#include "gullstall/src/platform/request.hpp"

namespace gullstall {

/// Rows that one node wants written, as the claim writer of the zone got them.
struct forwarded_batch
{
    std::string origin;    ///< instance that asked
    std::uint64_t number;  ///< of the batch at the origin
    std::vector<row_write> rows;
};

/// One table_commit for the batches of several nodes.
struct group_commit
{
    std::uint64_t number;
    table_commit commit;
};

/// What the table said to one batch.
struct batch_answer
{
    std::string origin;
    std::uint64_t number;
    platform_answer answer;
};

/// Groups the batches of a zone's nodes into few commits. It keeps no claim of
/// its own: whoever asked settles a lost answer, through this node or another.
struct claim_group
{
    std::deque<forwarded_batch> waiting;
    std::map<std::uint64_t, std::vector<forwarded_batch>> sent;  ///< by commit
    std::uint64_t last_commit = 0;
    time_point next_commit{};
    bool commit_at_once = false;  ///< what a conflict held up goes out again
    std::uint64_t rows = 0;       ///< sent so far
    bool keep_keys_apart = true;  ///< tests turn it off to see the violation
};

/// Takes a batch.
void add_batch(claim_group &it, forwarded_batch batch);

/// \returns the next commit, none while nothing waits or the group still forms
std::optional<group_commit> next_group(claim_group &it, time_point now);

/// Takes the answer to a commit. Batches that only stood beside a conflicting
/// row are not answered but go out again.
std::vector<batch_answer> take_group_answer(claim_group &it, std::uint64_t commit,
                                            const platform_answer &answer);

}  // namespace gullstall

#endif

#ifndef GULLSTALL_ONCE_CLAIM_WRITER_HPP
#define GULLSTALL_ONCE_CLAIM_WRITER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gullstall/src/core/time.hpp"
#include "gullstall/src/once/claim.hpp"
#include "gullstall/src/platform/request.hpp"

namespace gullstall {

/// One row to be written, and what is known of the tries so far.
struct claim_write
{
    std::uint64_t expected_version = 0;
    claim_row row;
    std::uint64_t batch = 0;  ///< commit that carries it, 0: none
    bool was_lost = false;    ///< an answer was lost: it may have taken effect
    time_point not_before{};
    time_point give_up_at{};
};

/// Rows that go out in one table_commit, all or none.
struct claim_batch
{
    std::uint64_t number;
    table_commit commit;
};

/// What became of one write.
struct claim_verdict
{
    enum class kind
    {
        written,      ///< the row holds what was to be written
        found,        ///< the row holds something else, see row and version
        gone,         ///< a row that was expected is not there any more
        unavailable,  ///< certainly not written, and dropped
        unsettled     ///< the table is out and an earlier try may have been written; tried on
    };
    kind what;
    std::string key;
    std::uint64_t version = 0;
    claim_row row;
};

/// Groups the writes of a node into few commits and settles lost answers.
struct claim_writer
{
    std::map<std::string, claim_write> writes;  ///< by idempotency key
    std::uint64_t last_batch = 0;
    std::uint32_t batches_out = 0;
    time_point next_commit{};
    std::uint64_t commits = 0;       ///< sent so far
    std::uint64_t rows = 0;          ///< sent so far
    bool settle_lost_claims = true;  ///< tests turn it off to see the violation
};

/// Orders a write; one that waits for the same key is replaced.
void order_write(claim_writer &it, const std::string &key, claim_write write);

/// \returns the next commit, none while nothing waits or the group still forms
std::optional<claim_batch> next_commit(claim_writer &it, time_point now);

/// Takes the answer to a commit.
/// \returns what became of its writes; those that are tried again are left out
std::vector<claim_verdict> take_commit_answer(claim_writer &it, std::uint64_t batch,
                                              const platform_answer &answer, time_point now);

}  // namespace gullstall

#endif

#include "gullstall/src/once/claim_group.hpp"

#include <algorithm>
#include <set>

namespace gullstall {

namespace {

constexpr duration group_interval = milliseconds(20);
constexpr std::size_t max_rows_per_commit = 512;
constexpr std::size_t max_commits_out = 4;

bool shares_key(const forwarded_batch &batch, const std::set<std::string> &taken)
{
    return std::any_of(batch.rows.begin(), batch.rows.end(),
                       [&](const row_write &row) { return taken.count(row.key) > 0; });
}

const table_row *find_row(const platform_answer &answer, const std::string &key)
{
    auto found = std::find_if(answer.rows.begin(), answer.rows.end(),
                              [&](const table_row &row) { return row.key == key; });
    return found == answer.rows.end() ? nullptr : &*found;
}

/// \returns whether a row of the batch was not at its expected version
bool met_conflict(const forwarded_batch &batch, const platform_answer &answer)
{
    return std::any_of(batch.rows.begin(), batch.rows.end(), [&](const row_write &write) {
        const table_row *row = find_row(answer, write.key);
        return (row == nullptr ? 0 : row->version) != write.expected_version;
    });
}

platform_answer rows_for(const forwarded_batch &batch, const platform_answer &answer)
{
    platform_answer out{answer.status, {}, {}};
    for (const row_write &write : batch.rows) {
        if (const table_row *row = find_row(answer, write.key)) {
            out.rows.push_back(*row);
        }
    }
    return out;
}

}  // namespace

void add_batch(claim_group &it, forwarded_batch batch)
{
    it.waiting.push_back(std::move(batch));
}

std::optional<group_commit> next_group(claim_group &it, time_point now)
{
    bool due = it.commit_at_once || now >= it.next_commit;
    if (it.waiting.empty() || !due || it.sent.size() >= max_commits_out) {
        return std::nullopt;
    }
    group_commit out{++it.last_commit, {}};
    std::vector<forwarded_batch> taken;
    std::set<std::string> keys;
    std::deque<forwarded_batch> left;
    for (forwarded_batch &batch : it.waiting) {
        bool full = out.commit.rows.size() + batch.rows.size() > max_rows_per_commit;
        // Two claims of one key in one commit would both be at the expected
        // version and both be told `written`; the second waits for the first.
        bool twice = it.keep_keys_apart && shares_key(batch, keys);
        if ((full && !taken.empty()) || twice) {
            left.push_back(std::move(batch));
            continue;
        }
        for (const row_write &row : batch.rows) {
            keys.insert(row.key);
            out.commit.rows.push_back(row);
        }
        taken.push_back(std::move(batch));
    }
    it.waiting = std::move(left);
    it.rows += out.commit.rows.size();
    it.sent.emplace(out.number, std::move(taken));
    it.next_commit = now + group_interval;
    it.commit_at_once = false;
    return out;
}

std::vector<batch_answer> take_group_answer(claim_group &it, std::uint64_t commit,
                                            const platform_answer &answer)
{
    std::vector<batch_answer> out;
    auto found = it.sent.find(commit);
    if (found == it.sent.end()) {
        return out;
    }
    std::vector<forwarded_batch> batches = std::move(found->second);
    it.sent.erase(found);
    for (forwarded_batch &batch : batches) {
        if (answer.status == platform_status::conflict && !met_conflict(batch, answer)) {
            it.waiting.push_front(std::move(batch));
            it.commit_at_once = true;
            continue;
        }
        out.push_back(batch_answer{batch.origin, batch.number, rows_for(batch, answer)});
    }
    return out;
}

}  // namespace gullstall

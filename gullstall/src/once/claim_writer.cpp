#include "gullstall/src/once/claim_writer.hpp"

namespace gullstall {

namespace {

constexpr duration group_interval = milliseconds(4);
constexpr duration retry_pause = milliseconds(50);
constexpr std::size_t max_rows_per_commit = 128;
constexpr std::uint32_t max_batches_out = 4;

std::string row_key(const std::string &key)
{
    return claim_row_prefix + key;
}

const table_row *find_row(const platform_answer &answer, const std::string &key)
{
    for (const table_row &row : answer.rows) {
        if (row.key == row_key(key)) {
            return &row;
        }
    }
    return nullptr;
}

void try_again(claim_write &write, time_point when)
{
    write.batch = 0;
    write.not_before = when;
}

/// Settles one write of a commit that met a conflict.
/// \returns none when the write is tried again
std::optional<claim_verdict> settle_conflict(const std::string &key, claim_write &write,
                                             const platform_answer &answer, time_point now)
{
    const table_row *row = find_row(answer, key);
    if (row == nullptr) {
        if (write.expected_version != 0) {
            return claim_verdict{claim_verdict::kind::gone, key, 0, {}};
        }
        try_again(write, now);
        return std::nullopt;
    }
    result<claim_row> read = decode_claim(row->value);
    claim_row found = succeeded(read) ? value_of(std::move(read)) : claim_row();
    bool own = found.token == write.row.token;
    if (own && found.state == write.row.state) {
        return claim_verdict{claim_verdict::kind::written, key, row->version, write.row};
    }
    if (row->version == write.expected_version || own) {
        // Another row of the commit met the conflict, or the own claim stands
        // at a version that a lost answer hid.
        write.expected_version = row->version;
        try_again(write, now);
        return std::nullopt;
    }
    return claim_verdict{claim_verdict::kind::found, key, row->version, std::move(found)};
}

/// The table is out: a claim that certainly was not written is dropped.
std::optional<claim_verdict> settle_unavailable(const std::string &key, claim_write &write,
                                                time_point now)
{
    bool is_claim = write.row.state == wire::claim_state::claimed;
    if (is_claim && !write.was_lost) {
        return claim_verdict{claim_verdict::kind::unavailable, key, 0, {}};
    }
    try_again(write, now + retry_pause);
    if (is_claim) {
        return claim_verdict{claim_verdict::kind::unsettled, key, 0, {}};
    }
    return std::nullopt;
}

std::optional<claim_verdict> settle(const claim_writer &it, const std::string &key,
                                    claim_write &write, const platform_answer &answer,
                                    time_point now)
{
    switch (answer.status) {
        case platform_status::done:
            return claim_verdict{claim_verdict::kind::written, key, write.expected_version + 1,
                                 write.row};
        case platform_status::conflict:
            return settle_conflict(key, write, answer, now);
        case platform_status::lost:
            if (!it.settle_lost_claims) {
                return claim_verdict{claim_verdict::kind::written, key, write.expected_version + 1,
                                     write.row};
            }
            // The write may have taken effect, or may yet. It is sent again
            // with the same token: the row then holds this token or another,
            // and a late first try can no longer take effect.
            write.was_lost = true;
            try_again(write, now + retry_pause);
            return std::nullopt;
        default:
            return settle_unavailable(key, write, now);
    }
}

}  // namespace

void order_write(claim_writer &it, const std::string &key, claim_write write)
{
    it.writes[key] = std::move(write);
}

std::optional<claim_batch> next_commit(claim_writer &it, time_point now)
{
    if (it.writes.empty() || now < it.next_commit || it.batches_out >= max_batches_out) {
        return std::nullopt;
    }
    claim_batch out{it.last_batch + 1, {}};
    for (auto next = it.writes.begin(); next != it.writes.end();) {
        claim_write &write = next->second;
        if (write.batch == 0 && now >= write.give_up_at) {
            next = it.writes.erase(next);
            continue;
        }
        if (write.batch == 0 && now >= write.not_before) {
            write.batch = out.number;
            out.commit.rows.push_back(
                row_write{row_key(next->first), write.expected_version, encode_claim(write.row)});
        }
        ++next;
        if (out.commit.rows.size() == max_rows_per_commit) {
            break;
        }
    }
    if (out.commit.rows.empty()) {
        return std::nullopt;
    }
    ++it.last_batch;
    ++it.batches_out;
    ++it.commits;
    it.rows += out.commit.rows.size();
    it.next_commit = now + group_interval;
    return out;
}

std::vector<claim_verdict> take_commit_answer(claim_writer &it, std::uint64_t batch,
                                              const platform_answer &answer, time_point now)
{
    std::vector<claim_verdict> out;
    --it.batches_out;
    for (auto next = it.writes.begin(); next != it.writes.end();) {
        claim_write &write = next->second;
        if (write.batch != batch) {
            ++next;
            continue;
        }
        std::optional<claim_verdict> verdict = settle(it, next->first, write, answer, now);
        bool ended = verdict && verdict->what != claim_verdict::kind::unsettled;
        if (verdict) {
            out.push_back(std::move(*verdict));
        }
        next = ended ? it.writes.erase(next) : std::next(next);
    }
    return out;
}

}  // namespace gullstall

#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

namespace {

/// After this time the answer of the zone's claim writer counts as lost.
constexpr duration writer_timeout = milliseconds(300);
/// After a lost answer the node commits its own claims for this long.
constexpr duration writer_backoff = seconds(2);

/// \returns the node that groups the claims of this zone. All nodes with the same
/// view of the members choose the same one. No election is needed, since a second
/// writer only causes more commits.
std::string claim_writer_of_zone(const node &n, time_point now)
{
    const std::string &self = n.settings.node.instance;
    if (now < n.direct_commit_until) {
        return self;
    }
    const member *best = nullptr;
    for (const auto &[instance, it] : n.members.members) {
        bool usable = it.zone == n.settings.node.zone && it.state == wire::member_state::alive;
        if (usable && (best == nullptr || hash_text(instance) < hash_text(best->instance))) {
            best = &it;
        }
    }
    return best == nullptr ? self : best->instance;
}

wire::claim_result_kind kind_of(platform_status status)
{
    switch (status) {
        case platform_status::done:
            return wire::claim_result_kind::done;
        case platform_status::conflict:
            return wire::claim_result_kind::conflict;
        case platform_status::lost:
            return wire::claim_result_kind::lost;
        default:
            return wire::claim_result_kind::unavailable;
    }
}

platform_status status_of(wire::claim_result_kind kind)
{
    switch (kind) {
        case wire::claim_result_kind::done:
            return platform_status::done;
        case wire::claim_result_kind::conflict:
            return platform_status::conflict;
        case wire::claim_result_kind::unavailable:
            return platform_status::unavailable;
        default:
            return platform_status::lost;
    }
}

std::unique_ptr<wire::claim_item_message> make_item(const std::string &key, std::uint64_t version,
                                                    const std::string &value)
{
    auto out = std::make_unique<wire::claim_item_message>();
    out->key = key;
    out->version = version;
    out->value.assign(value.begin(), value.end());
    return out;
}

void flush_group(step_context &t)
{
    if (std::optional<group_commit> group = next_group(t.n.claims, t.now)) {
        std::uint64_t number = group->number;
        platform_ref id =
            send_platform_request(t, platform_purpose::claim_commit, std::move(group->commit));
        t.n.claim_commits[id] = number;
    }
}

void forward_batch(step_context &t, claim_batch &&batch, const std::string &writer)
{
    wire::claim_batch_message message;
    message.number = batch.number;
    for (const row_write &row : batch.commit.rows) {
        message.rows.push_back(make_item(row.key, row.expected_version, row.value));
    }
    t.n.forwarded_batches[batch.number] = forwarded_claims{writer, t.now};
    send_to(t, writer, make_frame(std::move(message)));
}

void answer_batch(step_context &t, batch_answer &&it)
{
    if (it.origin == t.n.settings.node.instance) {
        handle_batch_answer(t, it.number, it.answer);
        return;
    }
    wire::claim_result_message message;
    message.number = it.number;
    message.kind = kind_of(it.answer.status);
    for (const table_row &row : it.answer.rows) {
        message.rows.push_back(make_item(row.key, row.version, row.value));
    }
    send_to(t, it.origin, make_frame(std::move(message)));
}

/// Fails a batch that the writer did not answer. Its rows may have been written, or
/// may still be.
void fail_forwarded_batch(step_context &t, std::uint64_t number)
{
    t.n.forwarded_batches.erase(number);
    t.n.direct_commit_until = t.now + writer_backoff;
    handle_batch_answer(t, number, platform_answer{platform_status::lost, {}, {}});
}

void on_claim_batch(step_context &t, const std::string &from,
                    const wire::claim_batch_message &message)
{
    forwarded_batch batch{from, message.number, {}};
    for (const auto &row : message.rows) {
        batch.rows.push_back(
            row_write{row->key, row->version, std::string(row->value.begin(), row->value.end())});
    }
    add_batch(t.n.claims, std::move(batch));
    flush_group(t);
}

void on_claim_result(step_context &t, const std::string &from,
                     const wire::claim_result_message &message)
{
    auto found = t.n.forwarded_batches.find(message.number);
    if (found == t.n.forwarded_batches.end() || found->second.writer != from) {
        return;  // already failed
    }
    t.n.forwarded_batches.erase(found);
    platform_answer answer{status_of(message.kind), {}, {}};
    for (const auto &row : message.rows) {
        answer.rows.push_back(
            table_row{row->key, row->version, std::string(row->value.begin(), row->value.end())});
    }
    handle_batch_answer(t, message.number, answer);
}

}  // namespace

void flush_claims(step_context &t)
{
    while (std::optional<claim_batch> batch = next_commit(t.n.idempotency.writer, t.now)) {
        std::string writer = claim_writer_of_zone(t.n, t.now);
        if (writer == t.n.settings.node.instance) {
            add_batch(t.n.claims,
                      forwarded_batch{writer, batch->number, std::move(batch->commit.rows)});
        } else {
            forward_batch(t, std::move(*batch), writer);
        }
    }
    flush_group(t);
}

void on_claim_frame(step_context &t, wire::frame_message &frame)
{
    if (const auto *batch = frame.payload.Asclaim_batch()) {
        on_claim_batch(t, frame.sender, *batch);
    } else if (const auto *answer = frame.payload.Asclaim_result()) {
        on_claim_result(t, frame.sender, *answer);
    }
}

void on_claim_commit(step_context &t, platform_ref request, const platform_answer &answer)
{
    auto found = t.n.claim_commits.find(request);
    std::uint64_t number = found->second;
    t.n.claim_commits.erase(found);
    for (batch_answer &it : take_group_answer(t.n.claims, number, answer)) {
        answer_batch(t, std::move(it));
    }
    flush_claims(t);
}

void on_claim_writer_gone(step_context &t, const std::string &instance)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[number, it] : t.n.forwarded_batches) {
        if (it.writer == instance) {
            lost.push_back(number);
        }
    }
    for (std::uint64_t number : lost) {
        fail_forwarded_batch(t, number);
    }
}

void expire_forwarded(step_context &t)
{
    while (!t.n.forwarded_batches.empty() &&
           t.now >= t.n.forwarded_batches.begin()->second.sent_at + writer_timeout) {
        fail_forwarded_batch(t, t.n.forwarded_batches.begin()->first);
    }
}

}  // namespace gullstall::internal

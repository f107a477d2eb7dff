#include "gullstall/src/bundle/publish.hpp"

#include <algorithm>
#include <limits>
#include <set>

namespace gullstall {

namespace {

constexpr duration first_pause = milliseconds(100);
constexpr duration longest_pause = seconds(2);
constexpr const char *no_previous = "none";

/// No row has this version: a commit that expects it changes nothing and is
/// answered with the rows as they stand, never from a stale copy.
constexpr std::uint64_t impossible_version = std::numeric_limits<std::uint64_t>::max();

std::string own_row_key(const publication &it)
{
    return bundle_version_key(it.head.version);
}

platform_request put_object(const publication &it)
{
    return object_put{bundle_object_name(it.head.object), it.stored};
}

platform_request read_rows(const publication &it)
{
    return table_commit{{row_write{bundle_head_key, impossible_version, ""},
                         row_write{own_row_key(it), impossible_version, ""}}};
}

platform_request commit_rows(const publication &it)
{
    std::string value = print_head(it.head);
    return table_commit{{row_write{bundle_head_key, it.head_row_version, value},
                         row_write{own_row_key(it), 0, value}}};
}

platform_request get_object(const bundle_head &of)
{
    return object_get{bundle_object_name(of.object)};
}

publish_action go(publication &it, publish_stage stage, platform_request what)
{
    it.stage = stage;
    return what;
}

publish_end published(const publication &it)
{
    return publish_end{
        publish_result::published,
        std::nullopt,
        {},
        "published version " + std::to_string(it.head.version) + " " + it.head.digest};
}

publish_end refused(const std::string &why)
{
    return publish_end{publish_result::refused, std::nullopt, {}, why};
}

/// The answer did not help: asks the same again after a pause that grows.
publish_action again(publication &it, platform_request what)
{
    if (++it.failures >= max_publish_failures) {
        return publish_end{publish_result::undecided,
                           std::nullopt,
                           {},
                           "the platform gave no answer that decides it; publish the same file "
                           "again, or see `bundle status`"};
    }
    duration pause = first_pause * (1U << std::min(it.failures - 1, 5U));
    return publish_pause{std::min(pause, longest_pause), std::move(what)};
}

const table_row *find_row(const platform_answer &answer, const std::string &key)
{
    auto it = std::find_if(answer.rows.begin(), answer.rows.end(),
                           [&](const table_row &row) { return row.key == key; });
    return it == answer.rows.end() ? nullptr : &*it;
}

publish_action lose_to(publication &it, const bundle_head &winner)
{
    it.winner = winner;
    return go(it, publish_stage::get_winner, get_object(winner));
}

/// The version that ours builds on is published: checks what it asks of ours.
publish_action follow_head(publication &it, const bundle_head &before)
{
    if (before.digest != it.content.head.previous) {
        return lose_to(it, before);  // another bundle than ours builds on took its place
    }
    if (it.checked_object == before.object) {
        return go(it, publish_stage::commit, commit_rows(it));
    }
    it.winner = before;
    return go(it, publish_stage::get_before, get_object(before));
}

publish_action consider_head(publication &it, const table_row *row)
{
    std::uint64_t wanted = it.head.version;
    if (row == nullptr) {
        it.head_row_version = 0;
        if (wanted != 1 || it.content.head.previous != no_previous) {
            return refused("version " + std::to_string(wanted) +
                           " follows no version: nothing is published");
        }
        return go(it, publish_stage::commit, commit_rows(it));
    }
    result<bundle_head> head = parse_head(row->value);
    if (!succeeded(head)) {
        return refused(error_of(head).message);
    }
    it.head_row_version = row->version;
    std::uint64_t now = value_of(head).version;
    if (now >= wanted) {
        return lose_to(it, value_of(head));
    }
    if (now + 1 < wanted) {
        return refused("version " + std::to_string(wanted) + " leaves a gap: version " +
                       std::to_string(now) + " is published");
    }
    return follow_head(it, value_of(head));
}

/// Takes the rows as they stand: ours accepted, another's accepted, or open.
publish_action consider_rows(publication &it, const platform_answer &answer)
{
    const table_row *own = find_row(answer, own_row_key(it));
    if (own == nullptr) {
        return consider_head(it, find_row(answer, bundle_head_key));
    }
    result<bundle_head> taken = parse_head(own->value);
    if (!succeeded(taken)) {
        return refused(error_of(taken).message);
    }
    // The same object under another token: this file was published before, and
    // whoever did it did not learn of it.
    bool ours = value_of(taken).token == it.head.token || value_of(taken).object == it.head.object;
    return ours ? publish_action(published(it)) : lose_to(it, value_of(taken));
}

publish_action on_object_put(publication &it, const platform_answer &answer)
{
    if (answer.status != platform_status::done) {
        return again(it, put_object(it));
    }
    return go(it, publish_stage::read_rows, read_rows(it));
}

publish_action on_rows_read(publication &it, const platform_answer &answer)
{
    if (answer.status != platform_status::conflict) {
        return again(it, read_rows(it));
    }
    return consider_rows(it, answer);
}

publish_action on_before_got(publication &it, const platform_answer &answer)
{
    if (answer.status != platform_status::done) {
        return again(it, get_object(*it.winner));
    }
    result<signed_bundle> before = parse_signed(answer.content);
    result<bundle> content = succeeded(before) ? parse_bundle("before", value_of(before).text)
                                               : result<bundle>(error_of(before));
    if (!succeeded(content)) {
        return refused("the version before: " + error_of(content).message);
    }
    std::set<std::string> signers;
    for (const bundle_signature &signature : it.parsed.signatures) {
        signers.insert(signature.signer);
    }
    std::uint32_t needed = value_of(content).head.signers_required;
    if (signers.size() < needed) {
        return refused("found " + std::to_string(signers.size()) + " signers, version " +
                       std::to_string(it.winner->version) + " asks for " + std::to_string(needed));
    }
    it.checked_object = it.winner->object;
    it.winner.reset();
    return go(it, publish_stage::commit, commit_rows(it));
}

publish_action on_committed(publication &it, const platform_answer &answer)
{
    switch (answer.status) {
        case platform_status::done:
            return published(it);
        case platform_status::conflict:
            return consider_rows(it, answer);
        case platform_status::lost:
            // The write may have taken effect: an operator who believes that it
            // did not would call an accepted bundle lost. Asking again for the
            // same conditional write is safe, since the first one has moved the
            // row on: it then conflicts, and the rows name our token.
            return it.guards.settle_lost ? again(it, commit_rows(it))
                                         : publish_action(refused("the write failed"));
        default:
            return again(it, commit_rows(it));
    }
}

publish_action on_winner_got(publication &it, const platform_answer &answer)
{
    bool readable = answer.status == platform_status::done;
    if (!readable && answer.status != platform_status::missing &&
        it.failures + 1 < max_publish_failures) {
        return again(it, get_object(*it.winner));
    }
    publish_end out{publish_result::lost_race, it.winner, {}, ""};
    result<signed_bundle> theirs = parse_signed(answer.content);
    if (succeeded(theirs)) {
        auto differences = diff_bundles(it.parsed.text, value_of(theirs).text);
        if (succeeded(differences)) {
            out.differences = value_of(std::move(differences));
        }
    }
    out.message = "version " + std::to_string(it.winner->version) + " is by " + it.winner->author +
                  " (" + it.winner->reference + "), digest " + it.winner->digest;
    return out;
}

}  // namespace

result<publication> begin_publication(const std::string &stored, const std::string &token,
                                      const std::vector<trusted_key> &trusted)
{
    result<signed_bundle> parsed = parse_signed(stored);
    if (!succeeded(parsed)) {
        return error_of(parsed);
    }
    if (value_of(parsed).signatures.empty()) {
        return error{error_code::bad_signature, "bundle: is not signed"};
    }
    if (!trusted.empty()) {
        result<verified_bundle> verified = verify_bundle(stored, trusted, 1);
        if (!succeeded(verified)) {
            return error_of(verified);
        }
    }
    result<bundle> content = parse_bundle("bundle", value_of(parsed).text);
    if (!succeeded(content)) {
        return error_of(content);
    }
    publication out;
    out.stored = stored;
    out.head = head_of(value_of(content), stored, value_of(parsed).text, token);
    out.parsed = value_of(std::move(parsed));
    out.content = value_of(std::move(content));
    return out;
}

publish_action first_action(const publication &it)
{
    return put_object(it);
}

publish_action on_publish_answer(publication &it, const platform_answer &answer)
{
    switch (it.stage) {
        case publish_stage::put_object:
            return on_object_put(it, answer);
        case publish_stage::read_rows:
            return on_rows_read(it, answer);
        case publish_stage::get_before:
            return on_before_got(it, answer);
        case publish_stage::commit:
            return on_committed(it, answer);
        case publish_stage::get_winner:
            break;
    }
    return on_winner_got(it, answer);
}

}  // namespace gullstall

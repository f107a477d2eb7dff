#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

namespace {

constexpr duration head_poll_interval = seconds(1);

}  // namespace

void on_head_answer(turn &t, const platform_answer &answer)
{
    if (answer.status != platform_status::done || answer.rows.empty()) {
        return;
    }
    result<bundle_head> head = parse_head(answer.rows.front().value);
    if (!succeeded(head) || value_of(head).version <= version_in_force(t.n.bundles)) {
        return;
    }
    ask(t, platform_purpose::bundle_object, object_get{bundle_object_name(value_of(head).digest)});
}

void on_bundle_object(turn &t, const platform_answer &answer)
{
    if (answer.status != platform_status::done) {
        return;
    }
    result<done> applied =
        apply_bundle(t.n.bundles, answer.content, t.n.settings.trusted_keys, t.now);
    if (!succeeded(applied)) {
        log(t, write_log::severity::warning, "bundle", error_of(applied).message);
        note_event(t.n.events, t.now, event_kind::bundle_refused, "", "",
                   error_of(applied).message);
        return;
    }
    std::string version = std::to_string(version_in_force(t.n.bundles));
    log(t, write_log::severity::info, "bundle", "version " + version + " is in force");
    note_event(t.n.events, t.now, event_kind::bundle_applied, "", version,
               t.n.bundles.in_force->digest);
}

void on_bundle_tick(turn &t)
{
    if (t.now >= t.n.bundles.next_poll) {
        t.n.bundles.next_poll = t.now + head_poll_interval;
        ask(t, platform_purpose::bundle_head, table_read{{bundle_head_key}});
    }
}

void on_bundle_frame(turn &t, wire::frame_message &frame)
{
    (void)t;
    (void)frame;
}

}  // namespace gullstall::internal

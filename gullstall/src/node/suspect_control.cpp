#include <algorithm>

#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

namespace {

/// \returns whether another member of the zone of \a instance is alive, so that
/// \a instance has failed rather than been cut off with its zone
bool has_live_zone_member(const node &n, const std::string &instance)
{
    auto gone = n.members.members.find(instance);
    if (gone == n.members.members.end()) {
        return false;
    }
    return std::any_of(n.members.members.begin(), n.members.members.end(), [&](const auto &entry) {
        const member &it = entry.second;
        return it.instance != instance && it.zone == gone->second.zone &&
               it.state == wire::member_state::alive;
    });
}

void broadcast(step_context &t, const wire::suspect_news_message &news)
{
    for (const auto &[instance, it] : t.n.members.members) {
        if (instance != t.n.settings.node.instance && it.state != wire::member_state::dead) {
            send_to(t, instance, make_frame(wire::suspect_news_message(news)));
        }
    }
}

void mark_suspect(step_context &t, const std::string &request, const crash &what)
{
    if (record_suspect(t.n.suspects, request, what, t.now)) {
        add_pending_report(t.n.suspects, request, what);
        note_event(t.n.events, t.now, event_kind::suspect_marked, request, what.name, "");
    }
}

}  // namespace

std::string suspect_id_of(const call_request &asked)
{
    if (!asked.request_id.empty()) {
        return asked.request_id;
    }
    if (!asked.key.empty()) {
        return asked.key;
    }
    // Without a request id or key, repeats are recognised by their content.
    std::string_view body(reinterpret_cast<const char *>(asked.body.data()), asked.body.size());
    return "content-" + std::to_string(hash_text(asked.service + "/" + asked.operation)) + "-" +
           std::to_string(hash_text(body));
}

bool is_refused_suspect(step_context &t, wire::call_message &request)
{
    std::size_t known = crashes_of(t.n.suspects, request.suspect_id);
    request.suspicion = std::max(request.suspicion, static_cast<std::uint8_t>(known));
    return t.n.suspects.refuse_suspects && request.suspicion >= crashes_to_refuse;
}

void on_run_lost(step_context &t, const active_run &run)
{
    mark_suspect(t, run.call.suspect_id,
                 local_crash(t.n.suspects, t.n.settings.node.instance, t.n.incarnation, t.now));
}

void on_run_answered(step_context &t, const active_run &run)
{
    bool was_suspect = clear_suspect(t.n.suspects, run.call.suspect_id);
    if (was_suspect || run.call.suspicion > 0) {
        t.n.suspects.pending_clearances.push_back(run.call.suspect_id);
    }
}

void on_attempt_lost(step_context &t, pending_call &call, const std::string &instance)
{
    auto known = t.n.members.members.find(instance);
    std::uint64_t incarnation = known == t.n.members.members.end() ? 0 : known->second.incarnation;
    mark_suspect(
        t, call.request.suspect_id,
        crash{"peer:" + instance + ":" + std::to_string(incarnation), instance, incarnation});
}

void on_suspect_tick(step_context &t)
{
    for (const suspect_report &it : t.n.suspects.pending_reports) {
        wire::suspect_news_message news;
        news.request_ids = it.requests;
        news.crash = it.what.name;
        news.lost_peer = it.what.lost_peer;
        news.lost_incarnation = it.what.incarnation;
        broadcast(t, news);
    }
    t.n.suspects.pending_reports.clear();
    if (!t.n.suspects.pending_clearances.empty()) {
        wire::suspect_news_message news;
        news.cleared = std::move(t.n.suspects.pending_clearances);
        t.n.suspects.pending_clearances.clear();
        broadcast(t, news);
    }
    prune_suspects(t.n.suspects, t.now, [&](const std::string &instance) {
        return has_live_zone_member(t.n, instance);
    });
}

void on_suspect_frame(step_context &t, wire::frame_message &frame)
{
    const auto *news = frame.payload.Assuspect_news();
    if (news == nullptr) {
        return;
    }
    for (const std::string &request : news->request_ids) {
        record_suspect(t.n.suspects, request,
                       crash{news->crash, news->lost_peer, news->lost_incarnation}, t.now);
    }
    for (const std::string &request : news->cleared) {
        clear_suspect(t.n.suspects, request);
    }
}

bool requires_exclusive_worker(const node &n, const wire::call_message &call)
{
    return n.suspects.isolate_suspects && call.suspicion > 0;
}

}  // namespace gullstall::internal

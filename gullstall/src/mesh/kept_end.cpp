#include "gullstall/src/mesh/kept_end.hpp"

#include <algorithm>

#include "gullstall/src/mesh/mesh_node.hpp"
#include "gullstall/src/mesh/status_relay.hpp"

namespace gullstall::mesh {

namespace {

/// Number of nodes that have to remember an end that the store does not keep, or all linked ones
/// if they are fewer: one of them may be killed, too.
constexpr std::size_t required_peers = 2;

/// Number of nodes that are asked at a time to remember an end.
constexpr std::size_t max_asked_peers = 3;

/// Time without enough confirmations after which other nodes are asked again.
constexpr duration ask_interval = milliseconds(200);

/// \returns the linked nodes, those of the own zone first
std::vector<std::string> linked_peers(const mesh_turn &t)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto &[name, view] : t.n.nodes.nodes) {
        bool is_available = view.linked && !is_silent(view, t.now);
        if (is_available && name != t.n.settings.node.name) {
            (view.address.zone == t.n.settings.node.zone ? near : far).push_back(name);
        }
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

announced_end read_end(const mesh_wire::announced_end_message &it)
{
    return announced_end{it.upstream, it.started_ms, it.sequence, it.departed};
}

std::size_t count_linked(const mesh_node &n)
{
    return static_cast<std::size_t>(
        std::count_if(n.nodes.nodes.begin(), n.nodes.nodes.end(), [&](const auto &entry) {
            return entry.second.linked && entry.first != n.settings.node.name;
        }));
}

/// Asks nodes that have not confirmed the end.
void ask_peers(mesh_turn &t)
{
    kept_end &it = t.n.upstream_end;
    it.told_at = t.now;
    mesh_wire::end_notice_message message;
    message.node = t.n.settings.node.name;
    message.end = print_end(*it.end);
    std::vector<std::string> peers = linked_peers(t);
    std::erase_if(peers, [&](const std::string &peer) { return it.peers.count(peer) > 0; });
    peers.resize(std::min(peers.size(), max_asked_peers));
    for (const std::string &peer : peers) {
        t.out.emplace_back(send_to_node{peer, mesh_frame(message)});
    }
}

bool is_kept(const mesh_node &n)
{
    const kept_end &it = n.upstream_end;
    std::size_t required = std::max<std::size_t>(1, std::min(required_peers, count_linked(n)));
    return it.end && (it.is_stored || it.peers.size() >= required);
}

void report_if_kept(mesh_turn &t)
{
    kept_end &it = t.n.upstream_end;
    if (it.is_reported || !is_kept(t.n)) {
        return;
    }
    it.is_reported = true;
    t.out.emplace_back(write_line{write_line::severity::info,
                                  "upstream",
                                  "announced-end-kept",
                                  {{"upstream", it.end->upstream},
                                   {"stored", it.is_stored ? "yes" : "no"},
                                   {"peers", std::to_string(it.peers.size())},
                                   {"after_ms", std::to_string(to_ms(t.now - it.announced_at))}}});
    t.out.emplace_back(end_kept{it.end->upstream});
}

}  // namespace

std::unique_ptr<mesh_wire::announced_end_message> print_end(const announced_end &it)
{
    auto out = std::make_unique<mesh_wire::announced_end_message>();
    out->upstream = it.upstream;
    out->started_ms = it.started_ms;
    out->sequence = it.sequence;
    out->departed = it.has_departed;
    return out;
}

void keep_end(mesh_turn &t, const announced_end &end)
{
    kept_end &it = t.n.upstream_end;
    it = kept_end{end, false, {}, false, t.now, t.now};
    t.out.emplace_back(store_end{end});
    ask_peers(t);
    report_if_kept(t);
}

bool is_end_kept(const mesh_node &n, const std::string &upstream)
{
    const kept_end &it = n.upstream_end;
    return it.is_reported && it.end->upstream == upstream;
}

void handle_end_stored(mesh_turn &t, const announced_end &end)
{
    if (t.n.upstream_end.end == end) {
        t.n.upstream_end.is_stored = true;
        report_if_kept(t);
    }
}

void handle_end_notice(mesh_turn &t, link_ref link, const mesh_wire::end_notice_message &notice)
{
    auto known = t.n.nodes.nodes.find(notice.node);
    if (known == t.n.nodes.nodes.end() || !notice.end) {
        return;
    }
    announced_end heard = read_end(*notice.end);
    std::optional<announced_end> &end = known->second.end;
    if (!end || is_newer_end(heard, *end)) {
        end = heard;
    }
    mesh_wire::end_remembered_message out;
    out.end = print_end(heard);
    t.out.emplace_back(send_to_link{link, mesh_frame(std::move(out))});
}

void handle_end_remembered(mesh_turn &t, const std::string &from,
                           const mesh_wire::end_remembered_message &what)
{
    kept_end &it = t.n.upstream_end;
    if (it.end && what.end && read_end(*what.end) == *it.end) {
        it.peers.insert(from);
        report_if_kept(t);
    }
}

void apply_earlier_end(mesh_turn &t, const announced_end &end, const char *event,
                       const std::vector<log_field> &source)
{
    restore_end(t.n.upstream, end);
    std::vector<log_field> fields{{"upstream", end.upstream},
                                  {"state", end.has_departed ? "departed" : "draining"},
                                  {"born", std::to_string(end.started_ms)},
                                  {"sequence", std::to_string(end.sequence)}};
    fields.insert(fields.end(), source.begin(), source.end());
    t.out.emplace_back(
        write_line{write_line::severity::info, "upstream", event, std::move(fields)});
    sync_gate(t);
    send_status_to_callers(t);
}

void handle_remembered_end(mesh_turn &t, const std::string &from,
                           const mesh_wire::announced_end_message &what)
{
    announced_end end = read_end(what);
    if (t.n.upstream_end.end || (t.n.upstream.stored_end && *t.n.upstream.stored_end == end)) {
        return;
    }
    apply_earlier_end(t, end, "remembered-end-read", {log_field{"peer", from}});
}

void kept_end_tick(mesh_turn &t)
{
    const kept_end &it = t.n.upstream_end;
    if (it.end && !it.is_reported && t.now - it.told_at >= ask_interval) {
        ask_peers(t);
    }
}

}  // namespace gullstall::mesh

#include "gullstall/src/mesh/crash_guard.hpp"

#include <algorithm>
#include <utility>

#include "gullstall/src/mesh/zone_duty.hpp"

namespace gullstall::mesh {

namespace {

/// Signatures that are sent and accepted in one frame. An upstream has hundreds of slots.
constexpr std::size_t max_signatures_in_frame = 1024;

std::vector<link_ref> links_with_crash_news(const mesh_node &n)
{
    std::vector<link_ref> out;
    for (const auto &[link, peer] : n.links) {
        if (peer.reads_crash_news) {
            out.push_back(link);
        }
    }
    return out;
}

std::vector<std::uint64_t> to_wire(const std::vector<request_signature> &signatures)
{
    std::vector<std::uint64_t> out;
    for (request_signature it : signatures) {
        if (out.size() < max_signatures_in_frame) {
            out.push_back(static_cast<std::uint64_t>(it));
        }
    }
    return out;
}

std::vector<request_signature> from_wire(const std::vector<std::uint64_t> &values)
{
    std::vector<request_signature> out;
    for (std::uint64_t it : values) {
        if (out.size() < max_signatures_in_frame) {
            out.push_back(request_signature{it});
        }
    }
    return out;
}

void broadcast(mesh_turn &t, mesh_wire::crash_news_message &&news)
{
    std::vector<link_ref> links = links_with_crash_news(t.n);
    if (!links.empty()) {
        t.out.emplace_back(send_to_links{std::move(links), mesh_frame(std::move(news))});
    }
}

/// Logs that the crash reported by \a from has put a request into quarantine.
void log_quarantine(mesh_turn &t, request_signature signature, const std::string &from)
{
    const crash_suspect &known = t.n.suspects.by_signature.at(signature);
    duration left = quarantine_left(t.n.suspects, signature, t.now);
    t.out.emplace_back(write_line{write_line::severity::warning,
                                  "upstream",
                                  "request-quarantined",
                                  {{"signature", print_signature(signature)},
                                   {"crashes", std::to_string(known.crashes)},
                                   {"blamed", std::to_string(known.blamed)},
                                   {"from", from},
                                   {"for_ms", std::to_string(to_ms(left))}}});
}

void apply_crash(mesh_turn &t, const std::vector<request_signature> &running,
                 std::optional<request_signature> blamed, const std::string &from)
{
    record_crash(t.n.suspects, running, blamed, t.now);
    if (blamed && suspicion_of(t.n.suspects, *blamed, t.now) == suspicion::quarantined) {
        log_quarantine(t, *blamed, from);
    }
}

void merge_known(mesh_turn &t, const mesh_wire::known_suspect_message &known,
                 const std::string &from)
{
    request_signature signature{known.signature};
    bool was_quarantined = suspicion_of(t.n.suspects, signature, t.now) == suspicion::quarantined;
    auto age = duration(static_cast<std::int64_t>(known.age_us));
    merge_suspect(t.n.suspects, signature,
                  crash_suspect{known.crashes, known.blamed, t.now - std::max(duration{}, age)});
    if (!was_quarantined &&
        suspicion_of(t.n.suspects, signature, t.now) == suspicion::quarantined) {
        log_quarantine(t, signature, from);
    }
}

/// \returns whether a run that has started keeps a suspect from starting: an isolated one runs
/// beside no other suspect
bool blocks(const mesh_node &n, const local_run &started, const local_run &waiting, suspicion level,
            time_point now)
{
    if (!started.started_at) {
        return false;
    }
    suspicion other = suspicion_of(n.suspects, started.signature, now);
    return started.signature == waiting.signature || other == suspicion::isolated ||
           (level == suspicion::isolated && other != suspicion::none);
}

/// \returns whether the loss of one more upstream would leave too few of the service: those
/// that crashed are back after seconds
bool is_service_weak(const mesh_node &n, time_point now)
{
    const std::string &service = n.upstream.latest->service;
    auto is_member = [&](const auto &entry) { return entry.second.status.service == service; };
    auto is_serving = [&](const auto &entry) { return is_usable(entry.second, service, now); };
    auto known = std::count_if(n.nodes.nodes.begin(), n.nodes.nodes.end(), is_member);
    auto serving = std::count_if(n.nodes.nodes.begin(), n.nodes.nodes.end(), is_serving);
    return serving * 2 < known;
}

/// Time by which the gates of a service start their trials of an isolated request one after the
/// other: it covers a run that crashes its upstream soon, and the news of that.
constexpr duration trial_interval = milliseconds(250);

/// Bounds the wait of an ordinary request whose other copies are at no earlier gate.
constexpr int max_trial_rank = 3;

/// \returns the number of upstreams of the service that try the request before the local one:
/// those whose nodes are closer to its signature
int trial_rank(const mesh_node &n, request_signature signature, time_point now)
{
    auto distance = [&](const std::string &node) {
        return hash_text(node) ^ static_cast<std::uint64_t>(signature);
    };
    const std::string &service = n.upstream.latest->service;
    const std::string &self = n.settings.node.name;
    std::uint64_t own = distance(self);
    auto is_earlier = [&](const auto &entry) {
        return entry.first != self && is_usable(entry.second, service, now) &&
               distance(entry.first) < own;
    };
    auto rank = std::count_if(n.nodes.nodes.begin(), n.nodes.nodes.end(), is_earlier);
    return static_cast<int>(std::min<std::ptrdiff_t>(rank, max_trial_rank));
}

/// \returns whether the local upstream may try an isolated request: the upstreams that are back
/// after crashes would otherwise all try it at once
bool is_trial_due(const mesh_node &n, const local_run &run, time_point now)
{
    if (!n.features.ordered_trials) {
        return true;
    }
    duration waited = now - std::max(run.arrived_at, n.crashes.service_weak_at);
    return waited >= max_trial_rank * trial_interval ||
           waited >= trial_rank(n, run.signature, now) * trial_interval;
}

/// Time for which a request that ended with a response is not blamed for a crash: a crashing
/// request never ends so, and a frequent one runs at many crashes that it does not cause.
constexpr duration completion_memory = seconds(1);

bool has_completed_recently(const mesh_node &n, request_signature signature, time_point now)
{
    auto found = n.crashes.completed.find(signature);
    return found != n.crashes.completed.end() && now - found->second < completion_memory;
}

}  // namespace

request_content content_of(const mesh_wire::call_message &call)
{
    std::string_view body(reinterpret_cast<const char *>(call.body.data()), call.body.size());
    return request_content{call.service,  call.route,  call.caller_service,
                           call.customer, call.method, call.target,
                           body};
}

suspect_verdict judge_run(const mesh_node &n, const local_run &run, time_point now)
{
    if (!n.features.crash_guard) {
        return suspect_verdict::start;
    }
    suspicion level = suspicion_of(n.suspects, run.signature, now);
    if (level == suspicion::none) {
        return suspect_verdict::start;
    }
    if (level == suspicion::quarantined) {
        return suspect_verdict::refuse;
    }
    bool is_isolated = level == suspicion::isolated;
    if (n.crashes.probing || (is_isolated && is_service_weak(n, now)) ||
        (is_isolated && !is_trial_due(n, run, now))) {
        return suspect_verdict::hold;
    }
    bool is_blocked = std::any_of(n.runs.begin(), n.runs.end(), [&](const auto &entry) {
        return blocks(n, entry.second, run, level, now);
    });
    return is_blocked ? suspect_verdict::hold : suspect_verdict::start;
}

suspicion judge_call(const mesh_node &n, entry_call &call, time_point now)
{
    if (!n.features.crash_guard || n.suspects.by_signature.empty()) {
        return suspicion::none;
    }
    if (!call.signature) {
        call.signature = signature_of(content_of(call.call));
    }
    return suspicion_of(n.suspects, *call.signature, now);
}

std::optional<request_signature> report_running_requests(
    mesh_turn &t, const std::vector<request_signature> &running)
{
    if (!t.n.features.crash_guard) {
        return std::nullopt;
    }
    std::optional<request_signature> blamed = sole_isolated(t.n.suspects, running, t.now);
    if (blamed && has_completed_recently(t.n, *blamed, t.now)) {
        blamed.reset();
    }
    apply_crash(t, running, blamed, t.n.settings.node.name);
    mesh_wire::crash_news_message news;
    news.running = to_wire(running);
    news.blamed = blamed ? static_cast<std::uint64_t>(*blamed) : 0;
    broadcast(t, std::move(news));
    return blamed;
}

void record_completed_run(mesh_turn &t, request_signature signature)
{
    t.n.crashes.completed[signature] = t.now;
    if (clear_suspect(t.n.suspects, signature)) {
        t.n.cleared_suspects.push_back(signature);
    }
}

void handle_crash_news(mesh_turn &t, const std::string &from,
                       const mesh_wire::crash_news_message &news)
{
    for (request_signature it : from_wire(news.cleared)) {
        clear_suspect(t.n.suspects, it);
    }
    auto blamed = news.blamed == 0 ? std::nullopt : std::optional(request_signature{news.blamed});
    apply_crash(t, from_wire(news.running), blamed, from);
    std::size_t n = std::min(news.known.size(), max_signatures_in_frame);
    for (std::size_t i = 0; i < n; ++i) {
        merge_known(t, *news.known[i], from);
    }
    dispatch_queued(t);
}

void greet_with_suspects(mesh_turn &t, link_ref link)
{
    const incoming_link &peer = t.n.links.at(link);
    bool is_near = peer.zone == t.n.settings.node.zone;
    if (!peer.reads_crash_news || (!is_near && !is_relay(t.n, t.now))) {
        return;
    }
    mesh_wire::crash_news_message news;
    for (const auto &[signature, known] : t.n.suspects.by_signature) {
        if (known.crashes < t.n.suspects.rules.crashes_to_isolate ||
            news.known.size() >= max_signatures_in_frame) {
            continue;
        }
        auto entry = std::make_unique<mesh_wire::known_suspect_message>();
        entry->signature = static_cast<std::uint64_t>(signature);
        entry->crashes = known.crashes;
        entry->blamed = known.blamed;
        entry->age_us = static_cast<std::uint64_t>((t.now - known.last_crash_at).count());
        news.known.push_back(std::move(entry));
    }
    if (!news.known.empty()) {
        t.out.emplace_back(send_to_link{link, mesh_frame(std::move(news))});
    }
}

void crash_guard_tick(mesh_turn &t)
{
    if (!t.n.cleared_suspects.empty()) {
        mesh_wire::crash_news_message news;
        news.cleared = to_wire(std::exchange(t.n.cleared_suspects, {}));
        broadcast(t, std::move(news));
    }
    t.n.suspects.rules.first_quarantine = from_seconds(t.n.settings.limits.quarantine_s);
    expire_suspects(t.n.suspects, t.now);
    std::erase_if(t.n.crashes.completed,
                  [&](const auto &entry) { return t.now - entry.second >= completion_memory; });
    kept_suspects_tick(t);
    if (!t.n.held_runs.empty()) {
        if (t.n.upstream.latest && is_service_weak(t.n, t.now)) {
            t.n.crashes.service_weak_at = t.now;
        }
        dispatch_queued(t);
    }
}

void log_quarantined_call(mesh_turn &t, const entry_call &call)
{
    request_signature signature = call.signature.value_or(signature_of(content_of(call.call)));
    auto found = t.n.suspects.by_signature.find(signature);
    crash_suspect known =
        found == t.n.suspects.by_signature.end() ? crash_suspect{} : found->second;
    t.out.emplace_back(
        write_line{write_line::severity::info,
                   "entry",
                   "quarantined-request",
                   {{"request", call.call.request_id},
                    {"signature", print_signature(signature)},
                    {"crashes", std::to_string(known.crashes)},
                    {"blamed", std::to_string(known.blamed)},
                    {"age_ms", std::to_string(to_ms(t.now - known.last_crash_at))}}});
}

}  // namespace gullstall::mesh

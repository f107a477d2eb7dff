#include "gullstall/src/mesh/kept_suspects.hpp"

#include <algorithm>
#include <utility>

#include "gullstall/src/mesh/mesh_node.hpp"
#include "gullstall/src/mesh/status_relay.hpp"
#include "gullstall/src/mesh/zone_duty.hpp"

namespace gullstall::mesh {

namespace {

/// Minimum time between two writes of a node. It bounds the writes of upstreams that crash in
/// quick succession.
constexpr duration write_interval = seconds(1);

using suspect_map = std::unordered_map<request_signature, crash_suspect>;

suspect_map to_map(const std::vector<kept_suspect> &row, time_point now)
{
    suspect_map out;
    for (const kept_suspect &it : row) {
        out[it.signature] = crash_suspect{it.crashes, it.blamed, now - it.age};
    }
    return out;
}

/// \returns whether both name the same requests with the same counts; times are rounded when
/// they are stored
bool has_same_counts(const suspect_map &a, const suspect_map &b)
{
    return a.size() == b.size() && std::all_of(a.begin(), a.end(), [&](const auto &entry) {
               auto found = b.find(entry.first);
               return found != b.end() && found->second.crashes == entry.second.crashes &&
                      found->second.blamed == entry.second.blamed;
           });
}

void log_read(mesh_turn &t, const std::vector<kept_suspect> &row)
{
    auto is_younger = [](const kept_suspect &a, const kept_suspect &b) { return a.age < b.age; };
    auto [newest, oldest] = std::minmax_element(row.begin(), row.end(), is_younger);
    auto print_age = [&](auto it) { return std::to_string(it == row.end() ? 0 : to_ms(it->age)); };
    t.out.emplace_back(
        write_line{write_line::severity::info,
                   "upstream",
                   "suspects-read",
                   {{"suspects", std::to_string(row.size())},
                    {"quarantined", std::to_string(count_quarantined(t.n.suspects, t.now))},
                    {"newest_age_ms", print_age(newest)},
                    {"oldest_age_ms", print_age(oldest)},
                    {"after_start_ms", std::to_string(to_ms(t.now - t.n.started_at))}}});
}

}  // namespace

bool awaits_suspects(const mesh_node &n, time_point now)
{
    const kept_suspects &it = n.stored_suspects;
    return n.features.crash_guard && n.features.kept_suspects && it.expected && !it.has_read &&
           now < it.wait_ends_at;
}

void handle_stored_suspects(mesh_turn &t, const std::vector<kept_suspect> &row)
{
    kept_suspects &it = t.n.stored_suspects;
    suspect_map read = to_map(row, t.now);
    for (const auto &[signature, known] : read) {
        bool was_cleared =
            it.stored.count(signature) > 0 && t.n.suspects.by_signature.count(signature) == 0;
        if (!was_cleared) {
            merge_suspect(t.n.suspects, signature, known);
        }
    }
    it.stored = std::move(read);
    it.stored_at = t.now;
    bool is_first = !std::exchange(it.has_read, true);
    log_read(t, row);
    dispatch_queued(t);
    if (is_first && t.n.upstream.latest) {
        send_status_to_service(t);  // the status sent in reply to hello said that it was absent
        dispatch_waiting_calls(t);
    }
}

void handle_suspects_saved(mesh_turn &t, bool written)
{
    kept_suspects &it = t.n.stored_suspects;
    it.is_writing = false;
    if (written) {
        it.stored = std::exchange(it.writing, {});
        it.stored_at = t.now;
    }
}

void kept_suspects_tick(mesh_turn &t)
{
    kept_suspects &it = t.n.stored_suspects;
    if (!t.n.features.kept_suspects || !it.has_read || it.is_writing || t.now < it.next_write_at) {
        return;
    }
    std::vector<kept_suspect> current = suspects_to_keep(t.n.suspects, t.now);
    suspect_map changed = to_map(current, t.now);
    if (has_same_counts(changed, it.stored) || !is_first_watcher(t.n, t.now)) {
        return;
    }
    it.is_writing = true;
    it.writing = std::move(changed);
    it.next_write_at = t.now + write_interval;
    t.out.emplace_back(store_suspects{std::move(current)});
}

}  // namespace gullstall::mesh

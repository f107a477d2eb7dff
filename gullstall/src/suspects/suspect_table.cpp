#include "gullstall/src/suspects/suspect_table.hpp"

#include <algorithm>

namespace gullstall {

namespace {

constexpr duration suspect_memory = seconds(600);
constexpr duration judging_interval = milliseconds(500);
constexpr duration one_crash = milliseconds(200);

/// A cut silences every node of a zone at once and crashes none.
/// \returns whether the crash is to be dropped
bool is_cut(suspect::seen_crash &seen, time_point now,
            const std::function<bool(const std::string &)> &zone_lives)
{
    if (seen.judged || now < seen.at + judge_after) {
        return false;
    }
    seen.judged = true;
    return !zone_lives(seen.what.lost_peer);
}

}  // namespace

bool note_suspect(suspect_table &it, const std::string &request, const crash &what, time_point now)
{
    suspect &one = it.suspects[request];
    one.forget_at = now + suspect_memory;
    return one.crashes
        .try_emplace(what.name, suspect::seen_crash{what, now, what.lost_peer.empty()})
        .second;
}

void tell_suspect(suspect_table &it, const std::string &request, const crash &what)
{
    auto found = std::find_if(it.to_tell.begin(), it.to_tell.end(),
                              [&](const suspect_report &one) { return one.what == what; });
    if (found == it.to_tell.end()) {
        found = it.to_tell.insert(it.to_tell.end(), suspect_report{what, {}});
    }
    found->requests.push_back(request);
}

crash own_crash(suspect_table &it, const std::string &instance, std::uint64_t incarnation,
                time_point now)
{
    if (it.own_crashes == 0 || now > it.last_loss + one_crash) {
        ++it.own_crashes;
    }
    it.last_loss = now;
    return crash{
        instance + ":" + std::to_string(incarnation) + ":" + std::to_string(it.own_crashes), "", 0};
}

bool clear_suspect(suspect_table &it, const std::string &request)
{
    auto found = it.suspects.find(request);
    if (found == it.suspects.end() || found->second.crashes.size() >= crashes_to_refuse) {
        return false;
    }
    it.suspects.erase(found);
    return true;
}

std::size_t crashes_of(const suspect_table &it, const std::string &request)
{
    auto found = it.suspects.find(request);
    return found == it.suspects.end() ? 0 : found->second.crashes.size();
}

void judge_suspects(suspect_table &it, time_point now,
                    const std::function<bool(const std::string &)> &zone_lives)
{
    if (now < it.next_judging) {
        return;
    }
    it.next_judging = now + judging_interval;
    for (auto next = it.suspects.begin(); next != it.suspects.end();) {
        auto &crashes = next->second.crashes;
        for (auto seen = crashes.begin(); seen != crashes.end();) {
            seen = is_cut(seen->second, now, zone_lives) ? crashes.erase(seen) : std::next(seen);
        }
        bool over = crashes.empty() || now >= next->second.forget_at;
        next = over ? it.suspects.erase(next) : std::next(next);
    }
}

}  // namespace gullstall

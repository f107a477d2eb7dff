#include "gullstall/src/suspects/crash_suspects.hpp"

#include <algorithm>
#include <tuple>

namespace gullstall {

namespace {

constexpr duration max_quarantine = seconds(3600);
constexpr int quarantine_growth = 4;

/// Time without a crash after which a request outside quarantine is no suspect any more.
constexpr duration suspect_lifetime = seconds(600);

/// \returns the duration of the quarantine after the last crash: each trial after one costs
/// an upstream
duration quarantine_of(const crash_suspect &it, const suspicion_rules &rules)
{
    if (it.blamed == 0 || rules.first_quarantine <= duration{}) {
        return duration{};
    }
    duration out = rules.first_quarantine;
    for (std::uint32_t i = 1; i < it.blamed && out < max_quarantine; ++i) {
        out *= quarantine_growth;
    }
    return std::min(out, max_quarantine);
}

bool has_expired(const crash_suspect &it, const suspicion_rules &rules, time_point now)
{
    return now - it.last_crash_at >= quarantine_of(it, rules) + suspect_lifetime;
}

/// Time in which an ordinary request that was running at two crashes ends elsewhere.
constexpr duration usual_clearing_time = seconds(1);

/// Orders suspects by how suspicious they are.
auto rank_of(const crash_suspect &it)
{
    return std::tuple(it.blamed, it.crashes, it.last_crash_at);
}

/// Makes room for one more suspect by removing the least suspicious one.
void make_room(crash_suspects &it)
{
    if (it.by_signature.size() < max_crash_suspects) {
        return;
    }
    auto least = std::min_element(
        it.by_signature.begin(), it.by_signature.end(),
        [](const auto &a, const auto &b) { return rank_of(a.second) < rank_of(b.second); });
    it.by_signature.erase(least);
}

crash_suspect &find_or_add(crash_suspects &it, request_signature signature)
{
    if (it.by_signature.count(signature) == 0) {
        make_room(it);
    }
    return it.by_signature[signature];
}

}  // namespace

void record_crash(crash_suspects &it, const std::vector<request_signature> &running,
                  std::optional<request_signature> blamed, time_point now)
{
    std::vector<request_signature> distinct = running;
    std::sort(distinct.begin(), distinct.end());
    distinct.erase(std::unique(distinct.begin(), distinct.end()), distinct.end());
    for (request_signature signature : distinct) {
        crash_suspect &each = find_or_add(it, signature);
        ++each.crashes;
        each.blamed += signature == blamed ? 1 : 0;
        each.last_crash_at = now;
    }
}

void merge_suspect(crash_suspects &it, request_signature signature, const crash_suspect &known)
{
    crash_suspect &each = find_or_add(it, signature);
    each.crashes = std::max(each.crashes, known.crashes);
    each.blamed = std::max(each.blamed, known.blamed);
    each.last_crash_at = std::max(each.last_crash_at, known.last_crash_at);
}

bool clear_suspect(crash_suspects &it, request_signature signature)
{
    return it.by_signature.erase(signature) > 0;
}

suspicion suspicion_of(const crash_suspects &it, request_signature signature, time_point now)
{
    auto found = it.by_signature.find(signature);
    if (found == it.by_signature.end() || has_expired(found->second, it.rules, now)) {
        return suspicion::none;
    }
    const crash_suspect &each = found->second;
    if (it.rules.crashes_to_quarantine > 0) {
        return each.crashes >= it.rules.crashes_to_quarantine ? suspicion::quarantined
                                                              : suspicion::none;
    }
    if (each.blamed > 0 && now < each.last_crash_at + quarantine_of(each, it.rules)) {
        return suspicion::quarantined;
    }
    return each.crashes >= it.rules.crashes_to_isolate ? suspicion::isolated : suspicion::suspected;
}

std::optional<request_signature> sole_isolated(const crash_suspects &it,
                                               const std::vector<request_signature> &running,
                                               time_point now)
{
    std::optional<request_signature> out;
    for (request_signature signature : running) {
        suspicion level = suspicion_of(it, signature, now);
        if (level == suspicion::none || out == signature) {
            continue;
        }
        if (out || level != suspicion::isolated) {
            return std::nullopt;
        }
        out = signature;
    }
    return out;
}

duration quarantine_left(const crash_suspects &it, request_signature signature, time_point now)
{
    auto found = it.by_signature.find(signature);
    if (found == it.by_signature.end()) {
        return duration{};
    }
    return std::max(duration{},
                    found->second.last_crash_at + quarantine_of(found->second, it.rules) - now);
}

std::size_t count_quarantined(const crash_suspects &it, time_point now)
{
    auto n = std::count_if(it.by_signature.begin(), it.by_signature.end(), [&](const auto &entry) {
        return suspicion_of(it, entry.first, now) == suspicion::quarantined;
    });
    return static_cast<std::size_t>(n);
}

void expire_suspects(crash_suspects &it, time_point now)
{
    std::erase_if(it.by_signature,
                  [&](const auto &entry) { return has_expired(entry.second, it.rules, now); });
}

std::vector<kept_suspect> suspects_to_keep(const crash_suspects &it, time_point now)
{
    std::vector<std::pair<request_signature, crash_suspect>> chosen;
    for (const auto &[signature, known] : it.by_signature) {
        bool is_settled = known.blamed > 0 || now - known.last_crash_at >= usual_clearing_time;
        if (suspicion_of(it, signature, now) >= suspicion::isolated && is_settled) {
            chosen.emplace_back(signature, known);
        }
    }
    std::sort(chosen.begin(), chosen.end(), [](const auto &a, const auto &b) {
        return std::pair(rank_of(b.second), b.first) < std::pair(rank_of(a.second), a.first);
    });
    chosen.resize(std::min(chosen.size(), max_kept_suspects));
    std::vector<kept_suspect> out;
    out.reserve(chosen.size());
    for (const auto &[signature, known] : chosen) {
        out.push_back(
            kept_suspect{signature, known.crashes, known.blamed, now - known.last_crash_at});
    }
    return out;
}

}  // namespace gullstall

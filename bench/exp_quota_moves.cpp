// Compares what a keeper of a quota may take for used when it follows another one: what a hot
// customer gets beyond its quota, and what a customer within its quota is refused.

#include <array>
#include <cmath>
#include <cstdio>
#include <deque>

#include "gullstall/core.hpp"
#include "gullstall/quota.hpp"

using namespace gullstall;

namespace {

constexpr duration window = seconds(5);
constexpr quota_terms terms{window, 0.1, 20};
constexpr duration length = seconds(60);
constexpr time_point begin{seconds(1000)};
constexpr int zones = 3;

enum class takeover
{
    evenly_used,   ///< the window before is taken for evenly used
    with_margin,   ///< the same, with limits so low that the rule holds
    at_most_used,  ///< the most that the limits allowed for each window
    told           ///< the previous keeper passes on its account
};

constexpr std::array ways{takeover::evenly_used, takeover::with_margin, takeover::at_most_used,
                          takeover::told};

const char *name_of(takeover way)
{
    switch (way) {
        case takeover::evenly_used:
            return "evenly-used";
        case takeover::with_margin:
            return "with-margin";
        case takeover::at_most_used:
            return "at-most-used";
        case takeover::told:
            return "told";
    }
    return "";
}

/// Part of the limits that the way with a margin hands out.
constexpr double margin_factor = 0.80;

struct quota_load
{
    request_quota quota;
    double per_s = 0;
    duration quiet{};  ///< between times of load, each as long as a window
};

struct moves_outcome
{
    double refused = 0;         ///< share of the requests
    double sum_of_allowed = 0;  ///< highest sum in a window, as a share of the allowed one
};

/// The keepers of one customer, one a zone, all replaced at once at each move.
class moving_keepers
{
public:
    moving_keepers(takeover way, const quota_load &load) : way_(way), load_(load) {}

    bool admit(std::size_t zone, time_point now)
    {
        quota_limits limits = limits_of();
        quota_account &account = open_account(ledgers_.at(zone), "c", limits, now);
        return draw_tokens(account, limits, token_request{}).tokens > 0;
    }

    void move(time_point now)
    {
        for (quota_ledger &it : ledgers_) {
            quota_ledger previous = it;
            it = quota_ledger{};
            it.members_since = now;
            quota_account &account = open_account(it, "c", limits_of(), now);
            if (way_ == takeover::told) {
                it.accounts = previous.accounts;
            } else if (way_ != takeover::at_most_used) {
                spread_evenly(account);
            }
        }
    }

private:
    quota_limits limits_of() const
    {
        quota_limits out = keeper_limits(load_.quota, terms, 1.0 / zones);
        if (way_ == takeover::with_margin) {
            out.in_window *= margin_factor;
            out.burst *= margin_factor;
        }
        return out;
    }

    /// Counts the window before, and the half second of the handover, as evenly used.
    void spread_evenly(quota_account &account) const
    {
        constexpr std::int64_t handover_slots = 5;
        account.sum = 0;
        for (std::size_t i = 0; i < slots_kept; ++i) {
            std::int64_t slot = account.newest + handover_slots - static_cast<std::int64_t>(i);
            double n = i <= slots_per_window ? limits_of().in_window / (slots_per_window + 1) : 0;
            account.used[static_cast<std::size_t>(slot) % slots_kept] = n;
            account.sum += n;
        }
    }

    takeover way_;
    quota_load load_;
    std::array<quota_ledger, zones> ledgers_;
};

double allowed_sum(const request_quota &it)
{
    return (it.rate_per_s * to_seconds(window) + it.burst) * (1 + terms.overage) + terms.slack;
}

moves_outcome play(takeover way, const quota_load &load, duration interval)
{
    moving_keepers keepers(way, load);
    random_source random(2026);
    std::deque<time_point> admitted;
    double all = 0;
    double refused = 0;
    double highest = 0;
    time_point next_move = begin + interval;
    for (time_point now = begin; now < begin + length;) {
        now += from_seconds(-std::log(1 - draw_fraction(random)) / load.per_s);
        if (load.quiet > duration(0) && (now - begin) % (load.quiet + window) < load.quiet) {
            continue;
        }
        while (next_move <= now) {
            keepers.move(next_move);
            next_move += interval;
        }
        ++all;
        if (!keepers.admit(draw_below(random, zones), now)) {
            ++refused;
            continue;
        }
        admitted.push_back(now);
        while (now - admitted.front() > window) {
            admitted.pop_front();
        }
        highest = std::max(highest, static_cast<double>(admitted.size()));
    }
    return moves_outcome{refused / all, highest / allowed_sum(load.quota)};
}

}  // namespace

int main()
{
    struct named_load
    {
        const char *name;
        quota_load load;
    };
    const std::array loads{
        named_load{"91/s, 0.6 of its rate", {{91, 91}, 55}},
        named_load{"91/s, 0.9 of its rate", {{91, 91}, 82}},
        named_load{"91/s, burst 182, 0.6", {{91, 182}, 55}},
        named_load{"6/s, 0.6 of its rate", {{6, 6}, 3.6}},
        named_load{"91/s, 8 times, by turns", {{91, 91}, 728, seconds(4)}},
        named_load{"91/s, burst 182, 8 times", {{91, 182}, 728, seconds(4)}},
    };
    for (duration interval : {seconds(3), seconds(10), seconds(30)}) {
        std::printf("all keepers replaced each %ld s\n%-26s %-14s %9s %15s\n",
                    static_cast<long>(to_seconds(interval)), "customer", "way", "refused",
                    "sum of allowed");
        for (const named_load &it : loads) {
            for (takeover way : ways) {
                moves_outcome out = play(way, it.load, interval);
                std::printf("%-26s %-14s %9.4f %15.3f\n", it.name, name_of(way), out.refused,
                            out.sum_of_allowed);
            }
        }
    }
}

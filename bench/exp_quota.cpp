// Compares ways to hold the quotas of customers over all nodes. Arrivals are random in time
// and over the entry nodes; the limits are those of token buckets, so that the load of the
// upstreams plays no part.

#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <string>
#include <vector>

#include "gullstall/core.hpp"
#include "gullstall/quota.hpp"

using namespace gullstall;

namespace {

constexpr duration window = seconds(5);
constexpr quota_terms terms{window, 0.1, 20};
constexpr duration length = seconds(40);
constexpr duration report_interval = milliseconds(100);
constexpr double lending_reserve = 0.25;

enum class quota_way
{
    node_shares,      ///< each node holds an equal part of the quota
    zone_keepers,     ///< a keeper a zone, without loans
    lending_keepers,  ///< a keeper a zone; short ones ask the others for tokens
    reported_counts   ///< entry nodes admit by the sums that were last reported
};

constexpr std::array ways{quota_way::node_shares, quota_way::zone_keepers,
                          quota_way::lending_keepers, quota_way::reported_counts};

const char *name_of(quota_way way)
{
    switch (way) {
        case quota_way::node_shares:
            return "node-shares";
        case quota_way::zone_keepers:
            return "zone-keepers";
        case quota_way::lending_keepers:
            return "lending-keepers";
        case quota_way::reported_counts:
            return "reported-counts";
    }
    return "";
}

struct deployment
{
    std::size_t nodes = 61;
    std::size_t zones = 3;
};

/// Requests of one customer.
struct quota_load
{
    request_quota quota;
    double per_s = 0;
    bool in_one_zone = false;
};

struct quota_outcome
{
    double refused = 0;         ///< share of the requests
    double sum_of_allowed = 0;  ///< highest sum in a window, as a share of the allowed one
    double messages = 0;        ///< per request
};

/// One way at work for one customer.
class quota_trial
{
public:
    quota_trial(quota_way way, const deployment &where, const quota_load &load)
        : way_(way), where_(where), load_(load), ledgers_(where.nodes)
    {
    }

    bool admit(std::size_t node, time_point now)
    {
        std::size_t zone = node % where_.zones;
        switch (way_) {
            case quota_way::node_shares:
                return draw(ledgers_[node], 1.0 / static_cast<double>(where_.nodes), now);
            case quota_way::zone_keepers:
                messages_ += 2;
                return draw(ledgers_[zone], zone_share(), now);
            case quota_way::lending_keepers:
                messages_ += 2;
                return draw(ledgers_[zone], zone_share(), now) || borrow(zone, now);
            case quota_way::reported_counts:
                return admit_by_reports(node, now);
        }
        return false;
    }

    double messages() const
    {
        return messages_;
    }

private:
    double zone_share() const
    {
        return 1.0 / static_cast<double>(where_.zones);
    }

    bool draw(quota_ledger &ledger, double share, time_point now, double reserve = 0)
    {
        quota_limits limits = keeper_limits(load_.quota, terms, share);
        quota_account &account = open_account(ledger, "c", limits, now);
        return draw_tokens(account, limits, {1, reserve * limits.burst}).tokens > 0;
    }

    bool borrow(std::size_t zone, time_point now)
    {
        for (std::size_t other = 0; other < where_.zones; ++other) {
            if (other == zone) {
                continue;
            }
            messages_ += 2;
            if (draw(ledgers_[other], zone_share(), now, lending_reserve)) {
                return true;
            }
        }
        return false;
    }

    /// The tokens of all nodes together are known as of the last report; each node adds what
    /// it has used itself since then.
    bool admit_by_reports(std::size_t node, time_point now)
    {
        quota_limits limits = keeper_limits(load_.quota, terms, 1);
        if (now - reported_at_ >= report_interval) {
            reported_at_ = now;
            quota_account &account = open_account(ledgers_[0], "c", limits, now);
            account.used[static_cast<std::size_t>(account.newest) % account.used.size()] += used_;
            account.sum += used_;
            reported_tokens_ = limits.in_window - account.sum;
            used_ = 0;
            used_by_node_.assign(where_.nodes, 0);
            messages_ += static_cast<double>(where_.nodes * (where_.nodes - 1));
        }
        if (reported_tokens_ - used_by_node_[node] < 1) {
            return false;
        }
        ++used_by_node_[node];
        ++used_;
        return true;
    }

    quota_way way_;
    deployment where_;
    quota_load load_;
    std::vector<quota_ledger> ledgers_;
    double messages_ = 0;
    time_point reported_at_{};
    double reported_tokens_ = 0;
    double used_ = 0;
    std::vector<double> used_by_node_ = std::vector<double>(where_.nodes);
};

double allowed_sum(const request_quota &it)
{
    return (it.rate_per_s * to_seconds(window) + it.burst) * (1 + terms.overage) + terms.slack;
}

quota_outcome play(quota_way way, const deployment &where, const quota_load &load)
{
    quota_trial trial(way, where, load);
    random_source random(2026);
    constexpr time_point begin{seconds(1000)};
    std::deque<time_point> admitted;
    double all = 0;
    double refused = 0;
    double highest = 0;
    for (time_point now = begin; now < begin + length;) {
        now += from_seconds(-std::log(1 - draw_fraction(random)) / load.per_s);
        std::size_t node = draw_below(random, where.nodes);
        node = load.in_one_zone ? node / where.zones * where.zones : node;
        ++all;
        if (!trial.admit(node % where.nodes, now)) {
            ++refused;
            continue;
        }
        admitted.push_back(now);
        while (now - admitted.front() > window) {
            admitted.pop_front();
        }
        highest = std::max(highest, static_cast<double>(admitted.size()));
    }
    return quota_outcome{refused / all, highest / allowed_sum(load.quota), trial.messages() / all};
}

}  // namespace

int main()
{
    struct named_load
    {
        const char *name;
        quota_load load;
    };
    const std::array loads{named_load{"large, 0.6 of its rate", {{480, 480}, 288}},
                           named_load{"small, 0.6 of its rate", {{13, 13}, 8}},
                           named_load{"smallest, 0.6 of its rate", {{2, 2}, 1.2}},
                           named_load{"small, 0.9, in one zone", {{13, 13}, 12, true}},
                           named_load{"large, 4.7 times its rate", {{480, 480}, 2256}},
                           named_load{"small, 4.7 times its rate", {{13, 13}, 61}}};
    for (const deployment &where : {deployment{61, 3}, deployment{195, 5}, deployment{560, 5}}) {
        std::printf("%zu nodes, %zu zones\n%-28s %-16s %9s %15s %9s\n", where.nodes, where.zones,
                    "customer", "way", "refused", "sum of allowed", "messages");
        for (const named_load &it : loads) {
            for (quota_way way : ways) {
                quota_outcome out = play(way, where, it.load);
                std::printf("%-28s %-16s %9.4f %15.3f %9.1f\n", it.name, name_of(way), out.refused,
                            out.sum_of_allowed, out.messages);
            }
        }
    }
}

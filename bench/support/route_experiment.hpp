#ifndef GULLSTALL_BENCH_SUPPORT_ROUTE_EXPERIMENT_HPP
#define GULLSTALL_BENCH_SUPPORT_ROUTE_EXPERIMENT_HPP

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "gullstall/route.hpp"

/// Experiments on the choice of upstream alone: routers of several entry nodes
/// over one service's workers with slots, in virtual time.
namespace gullstall::bench {

/// A worker of the service.
struct route_worker
{
    std::string instance;
    std::string zone;
    std::uint32_t slots;
    double slowness = 1;
    bool silent = false;    ///< takes calls and never answers
    bool refusing = false;  ///< refuses every call at once
    std::uint32_t running = 0;
    std::deque<std::function<void()>> queue;
};

/// What came of the calls.
struct route_outcome
{
    std::vector<double> latencies_ms;
    std::uint64_t calls = 0;
    std::uint64_t failed = 0;
    std::uint64_t far = 0;  ///< sent to another zone than the entry's

    double quantile(double q)
    {
        if (latencies_ms.empty()) {
            return 0;
        }
        auto n = static_cast<std::size_t>(q * static_cast<double>(latencies_ms.size() - 1));
        std::nth_element(latencies_ms.begin(),
                         latencies_ms.begin() + static_cast<std::ptrdiff_t>(n), latencies_ms.end());
        return latencies_ms[n];
    }
};

/// Chooses an instance; the experiment's variants differ in it.
using route_choice = std::function<std::optional<std::string>(
    router &, const member_table &, const route_request &, random_source &, time_point)>;

class route_experiment
{
public:
    static constexpr duration service_time = milliseconds(40);
    static constexpr duration patience = seconds(1);

    route_experiment(std::uint64_t seed, std::vector<std::string> entry_zones, route_choice choice)
        : random_(seed), choice_(std::move(choice)), zones_(std::move(entry_zones))
    {
        routers_.resize(zones_.size());
    }

    duration near_delay = microseconds(100);
    duration far_delay = milliseconds(1);

    void add_worker(const std::string &instance, const std::string &zone, std::uint32_t slots)
    {
        workers_.push_back({instance, zone, slots, 1, false, false, 0, {}});
        member news;
        news.instance = instance;
        news.zone = zone;
        news.service = "s";
        news.slots = slots;
        news.incarnation = static_cast<std::uint64_t>(now_.time_since_epoch().count());
        news.state = wire::member_state::alive;
        learn_member(members_, news);
    }

    route_worker &worker(const std::string &instance)
    {
        return *std::find_if(workers_.begin(), workers_.end(),
                             [&](const route_worker &it) { return it.instance == instance; });
    }

    /// Runs \a seconds_long of Poisson arrivals, \a rates calls a second at each entry.
    route_outcome run(double seconds_long, const std::vector<double> &rates)
    {
        route_outcome out;
        time_point end = now_ + duration(static_cast<std::int64_t>(seconds_long * 1e6));
        for (std::size_t i = 0; i < rates.size(); ++i) {
            arrive(i, rates[i], end, out);
        }
        while (!events_.empty() && events_.top().when <= end + patience * 2) {
            entry next = events_.top();
            events_.pop();
            now_ = next.when;
            next.what();
        }
        return out;
    }

private:
    struct entry
    {
        time_point when;
        std::uint64_t order;
        std::function<void()> what;

        bool operator<(const entry &other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };

    void after(duration d, std::function<void()> what)
    {
        events_.push(entry{now_ + d, ++last_, std::move(what)});
    }

    duration exponential(double mean_us)
    {
        return duration(
            static_cast<std::int64_t>(-std::log(1.0 - draw_fraction(random_)) * mean_us));
    }

    void arrive(std::size_t at, double rate, time_point end, route_outcome &out)
    {
        if (rate <= 0) {
            return;
        }
        after(exponential(1e6 / rate), [this, at, rate, end, &out] {
            if (now_ >= end) {
                return;
            }
            send(at, out);
            arrive(at, rate, end, out);
        });
    }

    void send(std::size_t at, route_outcome &out)
    {
        ++out.calls;
        route_request wanted{"s", "entry-" + std::to_string(at), zones_[at], {}, false};
        auto chosen = choice_(routers_[at], members_, wanted, random_, now_);
        if (!chosen) {
            ++out.failed;
            return;
        }
        record_sent(routers_[at], *chosen);
        route_worker &to = worker(*chosen);
        bool far = to.zone != zones_[at];
        out.far += far ? 1 : 0;
        duration hop = far ? far_delay : near_delay;
        auto done = std::make_shared<bool>(false);
        time_point sent = now_;
        after(patience, [this, at, name = *chosen, done, &out] {
            if (!*done) {
                *done = true;
                ++out.failed;
                record_answer(routers_[at], name, patience);
            }
        });
        after(hop, [this, at, name = *chosen, done, sent, hop, &out] {
            take(at, name, done, sent, hop, out);
        });
    }

    void take(std::size_t at, const std::string &name, const std::shared_ptr<bool> &done,
              time_point sent, duration hop, route_outcome &out)
    {
        route_worker &to = worker(name);
        if (to.silent) {
            return;
        }
        if (to.refusing) {
            after(hop, [this, at, name, done, &out] {
                *done = true;
                ++out.failed;
                record_refusal(routers_[at], name, now_);
            });
            return;
        }
        auto start = [this, at, name, done, sent, hop, &out] {
            route_worker &it = worker(name);
            ++it.running;
            double us = static_cast<double>(service_time.count()) * it.slowness *
                        (0.5 + draw_fraction(random_));
            after(duration(static_cast<std::int64_t>(us)), [this, at, name, done, sent, hop, &out] {
                finish(name);
                after(hop, [this, at, name, done, sent, &out] {
                    if (*done) {
                        return;
                    }
                    *done = true;
                    record_answer(routers_[at], name, now_ - sent);
                    out.latencies_ms.push_back(static_cast<double>((now_ - sent).count()) / 1e3);
                });
            });
        };
        if (to.running < to.slots) {
            start();
        } else {
            to.queue.emplace_back(start);
        }
    }

    void finish(const std::string &name)
    {
        route_worker &it = worker(name);
        --it.running;
        if (!it.queue.empty()) {
            auto next = std::move(it.queue.front());
            it.queue.pop_front();
            next();
        }
    }

    random_source random_;
    route_choice choice_;
    std::vector<std::string> zones_;
    std::vector<router> routers_;
    std::vector<route_worker> workers_;
    member_table members_;
    time_point now_{seconds(1000)};
    std::priority_queue<entry> events_;
    std::uint64_t last_ = 0;
};

}  // namespace gullstall::bench

#endif

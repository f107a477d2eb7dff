#ifndef GULLSTALL_BENCH_SUPPORT_OVERLOAD_EXPERIMENT_HPP
#define GULLSTALL_BENCH_SUPPORT_OVERLOAD_EXPERIMENT_HPP

#include <algorithm>
#include <cmath>
#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "test/support/world.hpp"

/// Experiments on overload: the nodes of one deployment in virtual time, with
/// small stand-ins for workers (slots, a service time, calls to other services
/// in turn) and for clients (open-loop arrivals, repeats at once).
namespace gullstall::bench {

/// Workers of one service.
struct service_plan
{
    std::string name;
    std::uint32_t workers;
    std::uint32_t slots;
};

/// A kind of call by clients.
struct traffic
{
    std::string service;
    std::string operation;
    double rate;  ///< calls a second at factor 1
};

/// One deployment.
struct site_plan
{
    std::string name;
    std::vector<std::string> zones;
    std::vector<service_plan> services;
    std::map<std::string, std::string> chains;  ///< service/operation -> what it calls
    std::vector<traffic> calls;
    std::string bottleneck;        ///< service that every whole call to it passes once
    std::string bundle;            ///< text of the classes and calls
    std::string protected_target;  ///< service/operation of the protected class
    std::string lookup_target;     ///< service/operation of the prompt lookups
    duration zone_delay;           ///< one way
    duration client_delay;         ///< one way
};

/// Mean service time of every worker when nothing is wrong.
constexpr duration usual_service = milliseconds(40);

inline constexpr const char *bundle_head =
    "[bundle]\nversion = 1\nprevious = none\nauthor = bench\nreference = CB-1\n"
    "[limits]\ndefault_time_ms = 3000\n";

inline site_plan mokoena()
{
    return {
        "mokoena",
        {"midrand", "germiston", "centurion"},
        {{"faultbook", 5, 110}, {"dispatcher", 4, 140}, {"photodesk", 3, 190}, {"boxwatch", 3, 20}},
        {{"faultbook/attach", "dispatcher/lookup"},
         {"faultbook/log", "dispatcher/lookup"},
         {"dispatcher/lookup", "boxwatch/status"},
         {"dispatcher/dispatch", "boxwatch/check"},
         {"photodesk/photo", "faultbook/attach"}},
        {{"boxwatch", "status", 300},
         {"dispatcher", "dispatch", 100},
         {"photodesk", "photo", 200},
         {"faultbook", "log", 200}},
        "boxwatch",
        "[class dispatch]\npriority = 0\nprotect = true\n[class status]\npriority = 1\n"
        "[class log]\npriority = 2\n[class photo]\npriority = 3\n"
        "[call dispatcher dispatch]\nclass_name = dispatch\ntime_ms = 5000\n"
        "[call boxwatch status]\nclass_name = status\ntime_ms = 1000\n"
        "[call faultbook log]\nclass_name = log\n"
        "[call photodesk photo]\nclass_name = photo\n",
        "dispatcher/dispatch",
        "boxwatch/status",
        milliseconds(1),
        milliseconds(8)};
}

inline site_plan swanbench()
{
    return {"swanbench",
            {"perth-a", "perth-b", "perth-c"},
            {{"catalogue", 5, 80}, {"till", 4, 100}, {"intake", 3, 130}, {"tracker", 3, 30}},
            {{"catalogue/price", "tracker/status"},
             {"till/deposit", "catalogue/price"},
             {"till/quote", "catalogue/price"},
             {"intake/photo", "till/quote"}},
            {{"tracker", "status", 300},
             {"catalogue", "price", 300},
             {"till", "deposit", 100},
             {"intake", "photo", 150}},
            "tracker",
            "[class counter]\npriority = 0\nprotect = true\n[class lookup]\npriority = 1\n"
            "[class photo]\npriority = 2\n"
            "[call till deposit]\nclass_name = counter\ntime_ms = 5000\n"
            "[call tracker status]\nclass_name = lookup\ntime_ms = 1000\n"
            "[call catalogue price]\nclass_name = lookup\ntime_ms = 1000\n"
            "[call intake photo]\nclass_name = photo\n",
            "till/deposit",
            "tracker/status",
            microseconds(500),
            milliseconds(1)};
}

/// \returns whole calls a second that the bottleneck can run at its usual speed
inline double capacity_of(const site_plan &site)
{
    double slots = 0;
    for (const service_plan &it : site.services) {
        slots += it.name == site.bottleneck ? it.workers * it.slots : 0;
    }
    return slots * 1e6 / static_cast<double>(usual_service.count());
}

/// \returns calls a second at factor 1
inline double rate_of(const site_plan &site)
{
    double sum = 0;
    for (const traffic &it : site.calls) {
        sum += it.rate;
    }
    return sum;
}

/// What came of one kind of call.
struct tally
{
    std::uint64_t requests = 0;
    std::uint64_t whole = 0;
    std::vector<duration> latencies;  ///< of whole answers, as clients see them

    duration quantile(double q)
    {
        if (latencies.empty()) {
            return {};
        }
        auto n = static_cast<std::ptrdiff_t>(q * static_cast<double>(latencies.size() - 1));
        std::nth_element(latencies.begin(), latencies.begin() + n, latencies.end());
        return latencies[static_cast<std::size_t>(n)];
    }
};

/// One run of one deployment.
class experiment
{
public:
    /// \param set_up changes a node's guards before the run
    experiment(site_plan site, std::uint64_t seed, const std::function<void(node &)> &set_up)
        : site_(std::move(site)), w_(seed), random_(seed + 1)
    {
        w_.link_delay = site_.zone_delay;
        publisher_.publish(w_.platform, bundle_head + site_.bundle);
        w_.on_run = [this](const std::string &at, run_on_worker &&run) { on_run(at, run); };
        w_.on_cancel = [this](const std::string &at, run_ref run) { end_run(at, run); };
        w_.on_answer = [this](const std::string &at, call_ref call, caller_answer &&answer) {
            on_answer(at, call, answer);
        };
        for (std::size_t i = 0; i < site_.services.size(); ++i) {
            add_workers(site_.services[i], set_up);
        }
        w_.run_for(seconds(3));
    }

    test::simulation &world()
    {
        return w_;
    }

    /// Starts clients that ask at \a factor times the site's rates; a rate in
    /// \a rates replaces that of its service/operation.
    void set_load(double factor, const std::map<std::string, double> &rates = {})
    {
        ++load_;
        for (const traffic &it : site_.calls) {
            auto own = rates.find(it.service + "/" + it.operation);
            arrive(it, own == rates.end() ? it.rate * factor : own->second, load_);
        }
    }

    void set_repeats(int repeats)
    {
        repeats_ = repeats;
    }

    /// Makes every worker of \a service \a factor times slower.
    void slow_down(const std::string &service, double factor)
    {
        slowness_[service] = factor;
    }

    /// Forgets what was counted and counts anew, by the time of a call's start.
    void start_counting()
    {
        tallies.clear();
        useful = wasted = duration{};
        slot_time_.clear();
        protected_out_of_turn = 0;
        wholes = 0;
        counting_since_ = w_.now;
    }

    void run_for(duration d)
    {
        w_.run_for(d);
    }

    /// \returns the share of calls begun in [from, from + d) that came back whole
    double whole_share(time_point from, duration d) const
    {
        double asked = 0;
        double whole = 0;
        for (time_point t = from; t < from + d; t += bucket) {
            auto it = buckets_.find(bucket_of(t));
            if (it != buckets_.end()) {
                asked += it->second.first;
                whole += it->second.second;
            }
        }
        return asked == 0 ? 1 : whole / asked;
    }

    double wasted_share() const
    {
        duration open{};
        for (const auto &[id, spent] : slot_time_) {
            open += finished_.count(id) > 0 ? spent : duration{};
        }
        double bad = static_cast<double>((wasted + open).count());
        double all = bad + static_cast<double>(useful.count());
        return all == 0 ? 0 : bad / all;
    }

    std::map<std::string, tally> tallies;     ///< by service/operation
    std::uint64_t wholes = 0;                 ///< whole answers that arrived while counting
    std::uint64_t protected_out_of_turn = 0;  ///< refused while lower work was admitted
    duration useful{};                        ///< slot time of calls that came back whole
    duration wasted{};                        ///< slot time of attempts that failed

private:
    static constexpr duration bucket = milliseconds(50);

    struct request
    {
        std::string id;
        const traffic *kind;
        time_point began;
        int repeats_left;
    };
    struct running
    {
        std::string request_id;
        std::string operation;
        std::string context;
        time_point began;
    };
    using run_key = std::pair<std::string, std::uint64_t>;

    static std::int64_t bucket_of(time_point t)
    {
        return t.time_since_epoch() / bucket;
    }

    void add_workers(const service_plan &service, const std::function<void(node &)> &set_up)
    {
        for (std::uint32_t i = 0; i < service.workers; ++i) {
            std::string name = service.name + "-" + std::to_string(i + 1);
            const std::string &zone = site_.zones[i % site_.zones.size()];
            auto number = static_cast<std::uint16_t>(entries_.size() + 1);
            set_up(w_.add_node(test::make_settings(name, zone, service.name, number, service.slots,
                                                   publisher_.trusted())));
            entries_.push_back(name);
            service_of_[name] = service.name;
        }
    }

    // Clients.

    void arrive(const traffic &kind, double rate, int load)
    {
        if (rate <= 0) {
            return;
        }
        double gap_us = -std::log(1 - draw_fraction(random_)) * 1e6 / rate;
        w_.after(duration(static_cast<std::int64_t>(gap_us)), [this, &kind, rate, load] {
            if (load != load_) {
                return;
            }
            request it{"r" + std::to_string(++last_), &kind, w_.now, repeats_};
            ++tallies[target_of(kind)].requests;
            ++buckets_[bucket_of(w_.now)].first;
            if (target_of(kind) == site_.protected_target) {
                protected_ids_.insert(it.id);
            }
            ask(std::move(it));
            arrive(kind, rate, load);
        });
    }

    static std::string target_of(const traffic &kind)
    {
        return kind.service + "/" + kind.operation;
    }

    void ask(request &&it)
    {
        w_.after(site_.client_delay, [this, it = std::move(it)]() mutable {
            const std::string &entry = entries_[draw_below(random_, entries_.size())];
            call_request call{it.kind->service, it.kind->operation, it.id, "", "", {}, {}};
            call_ref id = w_.call(entry, std::move(call));
            requests_.emplace(id, std::move(it));
        });
    }

    void on_answer(const std::string &at, call_ref call, const caller_answer &answer)
    {
        bool whole = answer.outcome == wire::outcome::ran && answer.status == 200;
        note_turn(answer);
        // A refusal can come before the call's reference is known here.
        w_.after(duration{}, [this, at, call, whole] {
            auto child = children_.find(call);
            if (child != children_.end()) {
                run_key parent = child->second;
                children_.erase(child);
                finish_run(parent, whole ? 200 : 502);
                return;
            }
            auto found = requests_.find(call);
            if (found == requests_.end()) {
                return;
            }
            request it = std::move(found->second);
            requests_.erase(found);
            w_.after(site_.client_delay, [this, whole, it = std::move(it)]() mutable {
                on_client_answer(std::move(it), whole);
            });
        });
    }

    void on_client_answer(request &&it, bool whole)
    {
        (whole ? useful : wasted) += std::exchange(slot_time_[it.id], duration{});
        if (whole) {
            ++wholes;
            finished_.insert(it.id);
            ++buckets_[bucket_of(it.began)].second;
            if (it.began >= counting_since_) {
                tally &count = tallies[target_of(*it.kind)];
                ++count.whole;
                count.latencies.push_back(w_.now - it.began);
            }
            return;
        }
        if (it.repeats_left == 0) {
            finished_.insert(it.id);
            return;
        }
        --it.repeats_left;
        ask(std::move(it));
    }

    /// Counts protected calls refused by a service that admits lower work.
    void note_turn(const caller_answer &answer)
    {
        if (answer.refusal != wire::refusal::overload ||
            protected_ids_.count(answer.request_id) == 0) {
            return;
        }
        for (const auto &[name, n] : w_.nodes) {
            if (service_of_[name] == answer.refused_by &&
                n.level.level.highest >= ranks_per_class) {
                ++protected_out_of_turn;
                return;
            }
        }
    }

    // Workers.

    void on_run(const std::string &at, const run_on_worker &run)
    {
        run_key key{at, static_cast<std::uint64_t>(run.run)};
        running_.emplace(key, running{run.request_id, run.operation, run.context, w_.now});
        auto slow = slowness_.find(service_of_[at]);
        double factor = slow == slowness_.end() ? 1 : slow->second;
        double took_us =
            static_cast<double>(usual_service.count()) * factor * (0.5 + draw_fraction(random_));
        w_.after(duration(static_cast<std::int64_t>(took_us)), [this, key] { call_next(key); });
    }

    void call_next(const run_key &key)
    {
        auto it = running_.find(key);
        if (it == running_.end()) {
            return;  // cancelled
        }
        auto next = site_.chains.find(service_of_[key.first] + "/" + it->second.operation);
        if (next == site_.chains.end()) {
            finish_run(key, 200);
            return;
        }
        std::size_t slash = next->second.find('/');
        call_ref id = w_.call(key.first, call_request{next->second.substr(0, slash),
                                                      next->second.substr(slash + 1),
                                                      "",
                                                      "",
                                                      it->second.context,
                                                      {},
                                                      {}});
        children_.emplace(id, key);
    }

    void finish_run(const run_key &key, std::uint16_t status)
    {
        if (end_run(key.first, run_ref{key.second})) {
            w_.answer_run(key.first, run_ref{key.second}, worker_end::answered, status);
        }
    }

    bool end_run(const std::string &at, run_ref run)
    {
        auto it = running_.find({at, static_cast<std::uint64_t>(run)});
        if (it == running_.end()) {
            return false;
        }
        duration spent = w_.now - it->second.began;
        slot_time_[it->second.request_id] += spent;
        running_.erase(it);
        return true;
    }

    site_plan site_;
    test::simulation w_;
    random_source random_;
    test::test_publisher publisher_;
    std::vector<std::string> entries_;
    std::map<std::string, std::string> service_of_;
    std::map<std::string, double> slowness_;
    std::unordered_map<call_ref, request> requests_;
    std::unordered_map<call_ref, run_key> children_;
    std::map<run_key, running> running_;
    std::unordered_map<std::string, duration> slot_time_;
    std::unordered_set<std::string> finished_;
    std::unordered_set<std::string> protected_ids_;
    std::map<std::int64_t, std::pair<double, double>> buckets_;  ///< asked, whole by start
    time_point counting_since_{};
    std::uint64_t last_ = 0;
    int load_ = 0;
    int repeats_ = 0;
};

}  // namespace gullstall::bench

#endif

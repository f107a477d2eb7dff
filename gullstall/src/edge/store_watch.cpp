#include "gullstall/src/edge/store_watch.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gullstall/src/edge/clock.hpp"

namespace gullstall::edge {

namespace asio = boost::asio;
using mesh::write_line;

namespace {

/// Largest delay after the first failed call. Entry nodes have to reconnect within about
/// two seconds of the store's recovery, and 85 nodes that reconnect within this delay
/// make fewer than 1,000 calls per second.
constexpr double initial_backoff_us = 150000;
constexpr double max_backoff_us = 1000000;

/// Interval at which a watch that is not wanted checks whether it is.
constexpr duration wanted_poll_interval = milliseconds(200);

/// A call of a watch that has ended, as it is logged.
struct watch_call
{
    const char *kind;  ///< "scan" or "feed"
    time_point sent_at{};
    time_point answered_at{};  ///< when the store had last answered a call of this watch
};

void report_state(const store_watch &it, bool works, const platform_answer &response,
                  const watch_call &call)
{
    time_point at = now();
    it.handlers.log(write_line{works ? write_line::severity::info : write_line::severity::warning,
                               "store",
                               works ? "store-regained" : "store-lost",
                               {{"table", it.prefix},
                                {"status", std::to_string(static_cast<int>(response.status))},
                                {"call", call.kind},
                                {"why", response.failure},
                                {"after_ms", std::to_string(to_ms(at - call.sent_at))},
                                {"unanswered_ms", std::to_string(to_ms(at - call.answered_at))}}});
    it.handlers.on_reachable(works);
}

/// What the last answer to a watch has shown.
struct last_answer
{
    time_point at{};
    duration delay{};            ///< beyond the time that the call was to wait
    std::uint64_t store_ms = 0;  ///< clock of the store, 0: not told
};

duration next_wait(const store_watch &it, const last_answer &last)
{
    std::uint64_t passed_ms = static_cast<std::uint64_t>(to_ms(now() - last.at));
    std::uint64_t store_ms = last.store_ms == 0 ? 0 : last.store_ms + passed_ms;
    return mesh::feed_wait(it.handlers.timing(), store_ms);
}

platform_request feed_request(const store_watch &it, std::uint64_t after, duration wait,
                              const last_answer &last)
{
    duration margin = mesh::answer_margin(last.delay, it.max_answer_margin);
    return table_feed{it.prefix, after, static_cast<std::uint32_t>(to_ms(wait)),
                      static_cast<std::uint32_t>(to_ms(margin))};
}

asio::awaitable<void> wait_until_wanted(asio::io_context &io, const store_watch &it)
{
    while (!it.handlers.is_wanted()) {
        co_await async_sleep(io, wanted_poll_interval);
    }
}

}  // namespace

duration draw_store_backoff(random_source &random, std::uint32_t failures)
{
    double backoff_us = initial_backoff_us;
    for (std::uint32_t i = 1; i < failures && backoff_us < max_backoff_us; ++i) {
        backoff_us *= 2;
    }
    backoff_us = std::min(backoff_us, max_backoff_us);
    return duration(static_cast<std::int64_t>(backoff_us * (1 + draw_fraction(random)) / 2));
}

asio::awaitable<void> async_sleep(asio::io_context &io, duration pause)
{
    boost::system::error_code ec;
    asio::steady_timer timer(io, pause);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> run_watch(asio::io_context &io, store_watch it)
{
    std::uint64_t last_version = 0;
    bool has_snapshot = false;
    std::uint32_t failures = 0;
    last_answer last{now(), {}, 0};
    while (true) {
        if (has_snapshot) {
            co_await wait_until_wanted(io, it);
        }
        duration wait = has_snapshot ? next_wait(it, last) : duration{};
        platform_request next = has_snapshot ? feed_request(it, last_version, wait, last)
                                             : platform_request(table_scan{it.prefix});
        watch_call call{has_snapshot ? "feed" : "scan", now(), last.at};
        platform_answer response = co_await it.call(std::move(next));
        if (response.status == platform_status::done) {
            if (failures > 0) {
                report_state(it, true, response, call);
            }
            failures = 0;
            has_snapshot = true;
            last_version = std::max(last_version, response.version);
            last = last_answer{now(), std::max(duration{}, now() - call.sent_at - wait),
                               response.now_ms};
            it.handlers.on_answer();
            for (const table_row &row : response.rows) {
                it.handlers.on_row(row);
            }
            continue;
        }
        // Rescan after a failure: a scan returns at once when the store has recovered,
        // whereas a feed returns only with the next change.
        has_snapshot = false;
        if (++failures == 1) {
            report_state(it, false, response, call);
        }
        co_await async_sleep(io, draw_store_backoff(it.random, failures));
    }
}

}  // namespace gullstall::edge

#include "gullstall/src/edge/store_watch.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace gullstall::edge {

namespace asio = boost::asio;
using mesh::write_line;

namespace {

/// First pause after a call that failed. Entries have to be back within about
/// two seconds of a store's return, and 85 nodes that come back within this
/// time stay below 1,000 calls a second.
constexpr double first_pause_us = 150000;
constexpr double longest_pause_us = 1000000;

void tell_state(const store_watch &it, bool works, const platform_answer &answer)
{
    it.handlers.log(write_line{
        works ? write_line::severity::info : write_line::severity::warning,
        "store",
        works ? "store-regained" : "store-lost",
        {{"table", it.prefix}, {"status", std::to_string(static_cast<int>(answer.status))}}});
}

}  // namespace

duration draw_store_pause(random_source &random, std::uint32_t failures)
{
    double most = first_pause_us;
    for (std::uint32_t i = 1; i < failures && most < longest_pause_us; ++i) {
        most *= 2;
    }
    most = std::min(most, longest_pause_us);
    return duration(static_cast<std::int64_t>(most * (1 + draw_fraction(random)) / 2));
}

asio::awaitable<void> wait_for(asio::io_context &io, duration pause)
{
    boost::system::error_code ec;
    asio::steady_timer timer(io, pause);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> run_watch(asio::io_context &io, store_watch it)
{
    std::uint64_t after = 0;
    bool has_read = false;
    std::uint32_t failures = 0;
    while (true) {
        platform_request next = has_read
                                    ? platform_request(table_feed{it.prefix, after, it.wait_ms})
                                    : platform_request(table_scan{it.prefix});
        platform_answer answer = co_await it.ask(std::move(next));
        if (answer.status == platform_status::done) {
            if (failures > 0) {
                tell_state(it, true, answer);
            }
            failures = 0;
            has_read = true;
            after = std::max(after, answer.version);
            for (const table_row &row : answer.rows) {
                it.handlers.changed(row);
            }
            continue;
        }
        // After a failure all is read anew: a short call shows at once whether the
        // store is back, and a feed shows it only with the next change.
        has_read = false;
        if (++failures == 1) {
            tell_state(it, false, answer);
        }
        co_await wait_for(io, draw_store_pause(it.random, failures));
    }
}

}  // namespace gullstall::edge

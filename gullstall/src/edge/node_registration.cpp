#include "gullstall/src/edge/node_registration.hpp"

#include <algorithm>

namespace gullstall::edge {

namespace asio = boost::asio;
using mesh::write_line;

namespace {

/// Interval at which all rows are read again to recover missed ones. With 560 nodes
/// this makes two calls per second in total.
constexpr duration rescan_interval = seconds(300);

/// Largest random extension of the interval, as a fraction, which spreads nodes that
/// started together.
constexpr double rescan_jitter = 0.2;

duration draw_rescan_delay(random_source &random)
{
    double factor = 1 + rescan_jitter * draw_fraction(random);
    return duration(
        static_cast<std::int64_t>(static_cast<double>(rescan_interval.count()) * factor));
}

platform_request scan_all(const node_registration &it)
{
    return table_scan{it.prefix};
}

platform_request write_own(const node_registration &it, std::uint64_t version)
{
    return table_commit{{row_write{it.own_row.key, version, it.own_row.value}}};
}

/// \returns this node's row in the store, with version 0 when there is none
table_row find_own_row(const node_registration &it, const std::vector<table_row> &rows)
{
    auto found = std::find_if(rows.begin(), rows.end(),
                              [&](const table_row &row) { return row.key == it.own_row.key; });
    return found == rows.end() ? table_row{it.own_row.key, 0, ""} : *found;
}

void log_state(const node_registration &it, write_line::severity level, const char *event)
{
    it.log(write_line{level, "store", event, {{"table", it.prefix}}});
}

}  // namespace

asio::awaitable<bool> register_once(node_registration &it)
{
    platform_request scan = scan_all(it);
    platform_answer before = co_await it.call(scan);
    if (before.status != platform_status::done) {
        co_return false;
    }
    table_row own = find_own_row(it, before.rows);
    if (own.value == it.own_row.value) {
        it.on_rows(before.rows);
        co_return true;
    }
    platform_request write = write_own(it, own.version);
    platform_answer written = co_await it.call(write);
    if (written.status != platform_status::done) {
        co_return false;  // the row may have been written; the next scan finds out
    }
    platform_answer after = co_await it.call(scan);
    if (after.status != platform_status::done) {
        co_return false;
    }
    it.on_rows(after.rows);
    co_return true;
}

asio::awaitable<void> run_registration(asio::io_context &io, node_registration it)
{
    while (true) {
        std::uint32_t failures = 0;
        while (!co_await register_once(it)) {
            if (++failures == 1) {
                log_state(it, write_line::severity::warning, "store-lost");
            }
            co_await async_sleep(io, draw_store_backoff(it.random, failures));
        }
        if (failures > 0) {
            log_state(it, write_line::severity::info, "store-regained");
        }
        co_await async_sleep(io, draw_rescan_delay(it.random));
    }
}

}  // namespace gullstall::edge

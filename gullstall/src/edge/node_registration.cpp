#include "gullstall/src/edge/node_registration.hpp"

#include <algorithm>

namespace gullstall::edge {

namespace asio = boost::asio;
using mesh::write_line;

namespace {

/// How often all rows are read again, against whatever went missing: with 560
/// nodes two calls a second in all.
constexpr duration reread_interval = seconds(300);

/// Up to this part more is waited, so that nodes that started together drift apart.
constexpr double reread_spread = 0.2;

duration draw_reread_pause(random_source &random)
{
    double factor = 1 + reread_spread * draw_fraction(random);
    return duration(
        static_cast<std::int64_t>(static_cast<double>(reread_interval.count()) * factor));
}

platform_request scan_all(const node_registration &it)
{
    return table_scan{it.prefix};
}

platform_request write_own(const node_registration &it, std::uint64_t version)
{
    return table_commit{{row_write{it.own.key, version, it.own.value}}};
}

/// \returns the own row as the store has it, version 0 when it has none
table_row own_row(const node_registration &it, const std::vector<table_row> &rows)
{
    auto found = std::find_if(rows.begin(), rows.end(),
                              [&](const table_row &row) { return row.key == it.own.key; });
    return found == rows.end() ? table_row{it.own.key, 0, ""} : *found;
}

void log_state(const node_registration &it, write_line::severity level, const char *event)
{
    it.log(write_line{level, "store", event, {{"table", it.prefix}}});
}

}  // namespace

asio::awaitable<bool> register_once(node_registration &it)
{
    platform_request scan = scan_all(it);
    platform_answer before = co_await it.ask(scan);
    if (before.status != platform_status::done) {
        co_return false;
    }
    table_row own = own_row(it, before.rows);
    if (own.value == it.own.value) {
        it.found(before.rows);
        co_return true;
    }
    platform_request write = write_own(it, own.version);
    platform_answer written = co_await it.ask(write);
    if (written.status != platform_status::done) {
        co_return false;  // it may be written all the same: the next scan tells
    }
    platform_answer after = co_await it.ask(scan);
    if (after.status != platform_status::done) {
        co_return false;
    }
    it.found(after.rows);
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
            co_await wait_for(io, draw_store_pause(it.random, failures));
        }
        if (failures > 0) {
            log_state(it, write_line::severity::info, "store-regained");
        }
        co_await wait_for(io, draw_reread_pause(it.random));
    }
}

}  // namespace gullstall::edge

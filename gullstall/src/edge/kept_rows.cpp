#include "gullstall/src/edge/kept_rows.hpp"

#include "gullstall/src/edge/clock.hpp"

namespace gullstall::edge {

namespace asio = boost::asio;
using mesh::write_line;

namespace {

void load_row(kept_rows &it, const table_row &row, std::uint64_t store_ms)
{
    std::string key = row.key.substr(it.prefix.size());
    it.versions[key] = row.version;
    result<done> read = it.on_row(kept_row{key, row.value, store_ms});
    if (!succeeded(read)) {
        it.log(write_line{write_line::severity::warning,
                          "store",
                          "row-unreadable",
                          {{"table", it.prefix}, {"key", key}, {"error", error_of(read).message}}});
    }
}

void record_store_clock(kept_rows &it, const platform_answer &answer)
{
    if (answer.now_ms > 0) {
        it.store_ms = answer.now_ms;
        it.heard_at = now();
    }
}

}  // namespace

std::uint64_t store_clock_ms(const kept_rows &it, time_point now)
{
    return it.store_ms == 0 ? 0
                            : it.store_ms + static_cast<std::uint64_t>(to_ms(now - it.heard_at));
}

asio::awaitable<void> load_rows(asio::io_context &io, kept_rows &it)
{
    std::uint32_t failures = 0;
    while (true) {
        platform_request scan = table_scan{it.prefix};
        platform_answer all = co_await it.call(scan);
        if (all.status == platform_status::done) {
            record_store_clock(it, all);
            for (const table_row &row : all.rows) {
                load_row(it, row, all.now_ms);
            }
            it.log(write_line{write_line::severity::info,
                              "store",
                              "rows-read",
                              {{"table", it.prefix}, {"rows", std::to_string(all.rows.size())}}});
            co_return;
        }
        if (++failures == 1) {
            it.log(write_line{
                write_line::severity::warning, "store", "store-lost", {{"table", it.prefix}}});
        }
        co_await async_sleep(io, draw_store_backoff(it.random, failures));
    }
}

asio::awaitable<platform_status> save_row(kept_rows &it, std::string key, std::string value)
{
    platform_request write =
        table_commit{{row_write{it.prefix + key, it.versions[key], std::move(value)}}};
    platform_answer written = co_await it.call(write);
    record_store_clock(it, written);
    if (written.status == platform_status::conflict) {
        for (const table_row &row : written.rows) {
            load_row(it, row, written.now_ms);
        }
    } else if (written.status == platform_status::done && written.version > 0) {
        it.versions[key] = written.version;
    }
    // After a lost response the row may or may not be written; the next save finds
    // out.
    it.log(write_line{write_line::severity::info,
                      "store",
                      written.status == platform_status::done ? "row-saved" : "row-not-saved",
                      {{"table", it.prefix}, {"key", key}}});
    co_return written.status;
}

}  // namespace gullstall::edge

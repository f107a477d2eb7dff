#include "gullstall/src/edge/chain_store.hpp"

namespace gullstall::edge {

namespace asio = boost::asio;
using mesh::write_line;

namespace {

void load_row(chain_store &it, const table_row &row)
{
    std::string route = row.key.substr(it.prefix.size());
    it.versions[route] = row.version;
    result<mesh::calls_per_run> calls = it.format.parse(row.value);
    if (!succeeded(calls)) {
        it.log(write_line{write_line::severity::warning,
                          "store",
                          "chain-row-unreadable",
                          {{"route", route}, {"error", error_of(calls).message}}});
        return;
    }
    it.on_chain(route, value_of(calls));
}

}  // namespace

asio::awaitable<void> load_chains(asio::io_context &io, chain_store &it)
{
    std::uint32_t failures = 0;
    while (true) {
        platform_request scan = table_scan{it.prefix};
        platform_answer all = co_await it.call(scan);
        if (all.status == platform_status::done) {
            for (const table_row &row : all.rows) {
                load_row(it, row);
            }
            it.log(write_line{write_line::severity::info,
                              "store",
                              "chains-read",
                              {{"routes", std::to_string(all.rows.size())}}});
            co_return;
        }
        if (++failures == 1) {
            it.log(write_line{
                write_line::severity::warning, "store", "store-lost", {{"table", it.prefix}}});
        }
        co_await async_sleep(io, draw_store_backoff(it.random, failures));
    }
}

asio::awaitable<void> save_chain(chain_store &it, std::string route, mesh::calls_per_run calls)
{
    platform_request write = table_commit{
        {row_write{it.prefix + route, it.versions[route], it.format.serialize(calls)}}};
    platform_answer written = co_await it.call(write);
    if (written.status == platform_status::conflict) {
        for (const table_row &row : written.rows) {
            load_row(it, row);
        }
    }
    // After a lost response the row may or may not be written; the next save finds
    // out.
    it.log(write_line{write_line::severity::info,
                      "store",
                      written.status == platform_status::done ? "chain-saved" : "chain-not-saved",
                      {{"route", route}}});
}

}  // namespace gullstall::edge

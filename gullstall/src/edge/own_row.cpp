#include "gullstall/src/edge/own_row.hpp"

namespace gullstall::edge {

namespace asio = boost::asio;
using mesh::write_line;

own_row::own_row(std::string key, store_call call,
                 std::function<void(const std::optional<std::string> &)> on_read,
                 std::function<void(const write_line &)> log, std::uint64_t seed)
    : key_(std::move(key)),
      call_(std::move(call)),
      on_read_(std::move(on_read)),
      log_(std::move(log)),
      random_(seed)
{
}

asio::awaitable<bool> own_row::read()
{
    platform_request what = table_read{{key_}};
    platform_answer answer = co_await call_(what);
    if (answer.status != platform_status::done) {
        co_return false;
    }
    value_.reset();
    version_ = 0;
    for (const table_row &row : answer.rows) {
        value_ = row.value;
        version_ = row.version;
    }
    co_return true;
}

asio::awaitable<void> own_row::load(asio::io_context &io)
{
    std::uint32_t failures = 0;
    while (!co_await read()) {
        co_await async_sleep(io, draw_store_backoff(random_, ++failures));
    }
    if (saves_ == 0) {
        on_read_(value_);
    }
}

asio::awaitable<bool> own_row::save(asio::io_context &io, std::string value)
{
    std::uint64_t own = ++saves_;
    for (std::uint32_t tries = 1; own == saves_; ++tries) {
        platform_request write = table_commit{{row_write{key_, version_, value}}};
        platform_answer written = co_await call_(write);
        bool is_done = written.status == platform_status::done;
        if (is_done) {
            version_ = written.version;
        }
        log_(write_line{is_done ? write_line::severity::info : write_line::severity::warning,
                        "store",
                        is_done ? "row-saved" : "row-not-saved",
                        {{"table", key_}, {"tries", std::to_string(tries)}}});
        if (is_done) {
            co_return true;
        }
        co_await async_sleep(io, draw_store_backoff(random_, tries));
        // The write may have been performed, or have met a row of an earlier process.
        co_await read();
    }
    co_return false;
}

}  // namespace gullstall::edge

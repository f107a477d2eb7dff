#include "gullstall/src/edge/upstream_client.hpp"

#include <algorithm>

#include "gullstall/src/edge/clock.hpp"
#include "gullstall/src/edge/spawn.hpp"
#include "gullstall/src/edge/upstream_connect.hpp"
#include "gullstall/src/edge/upstream_exchange.hpp"
#include "gullstall/src/runtime/tcp_options.hpp"

namespace gullstall::edge {

namespace asio = boost::asio;
using boost::system::error_code;

upstream_client::upstream_client(asio::io_context &io, asio::ip::tcp::endpoint to,
                                 header_names names, completion_handler on_complete,
                                 notice_handler on_notice, exception_handler on_exception)
    : io_(io),
      endpoint_(std::move(to)),
      names_(std::move(names)),
      on_complete_(std::move(on_complete)),
      on_notice_(std::move(on_notice)),
      on_exception_(std::move(on_exception))
{
}

std::optional<asio::ip::tcp::socket> upstream_client::take_idle_connection()
{
    time_point at = now();
    while (!idle_.empty()) {
        idle_connection last = std::move(idle_.back());
        idle_.pop_back();
        if (at - last.idle_since < last.keep_alive_time && runtime::is_fresh(last.socket)) {
            return std::move(last.socket);
        }
    }
    return std::nullopt;
}

void upstream_client::start(mesh::start_run &&order)
{
    run_ref id = order.run;
    auto exchange = std::make_shared<upstream_exchange>(*this, std::move(order));
    exchanges_[id] = exchange;
    spawn(
        io_, [exchange] { return exchange->run(); },
        [this, exchange](const std::string &what) {
            exchange->abort(mesh::run_end::lost);
            on_exception_(what);
        });
}

void upstream_client::cancel(run_ref run)
{
    auto found = exchanges_.find(run);
    if (found == exchanges_.end()) {
        return;
    }
    std::shared_ptr<upstream_exchange> exchange = std::move(found->second);
    exchanges_.erase(found);
    exchange->cancel();
}

void upstream_client::probe(std::function<void(mesh::upstream_probe)> on_result)
{
    spawn(
        io_,
        [this, on_result = std::move(on_result)]() -> asio::awaitable<void> {
            on_result(co_await open_probe());
        },
        on_exception_);
}

asio::awaitable<mesh::upstream_probe> upstream_client::open_probe()
{
    ++connections_opened_;
    auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
    std::uint64_t generation = generation_;
    error_code ec = co_await connect_upstream(*socket, endpoint_, socket);
    if (ec == asio::error::connection_refused) {
        co_return mesh::upstream_probe::refused;
    }
    if (ec || !runtime::set_tcp_options(*socket)) {
        co_return mesh::upstream_probe::unknown;
    }
    runtime::limit_unacknowledged_time(*socket, runtime::unacknowledged_limit);
    if (generation == generation_) {
        idle_.push_back({std::move(*socket), now(), default_keep_alive_time});
    }
    co_return mesh::upstream_probe::accepted;
}

void upstream_client::limit_response_memory(std::size_t bytes)
{
    max_response_bytes_ = bytes;
}

void upstream_client::add_response_bytes(std::size_t n)
{
    response_bytes_ += n;
    if (response_bytes_ <= max_response_bytes_) {
        return;
    }
    auto largest =
        std::max_element(exchanges_.begin(), exchanges_.end(), [](const auto &a, const auto &b) {
            return a.second->response_bytes() < b.second->response_bytes();
        });
    if (largest != exchanges_.end()) {
        std::shared_ptr<upstream_exchange> exchange = largest->second;
        exchange->abort(mesh::run_end::bad_answer);
    }
}

void upstream_client::discard_connections()
{
    ++generation_;
    idle_.clear();
}

void upstream_client::sweep(time_point now)
{
    std::erase_if(idle_, [now](const idle_connection &it) {
        return now - it.idle_since >= it.keep_alive_time;
    });
}

}  // namespace gullstall::edge

#ifndef GULLSTALL_TEST_STANDINS_PLATFORM_SERVER_HPP
#define GULLSTALL_TEST_STANDINS_PLATFORM_SERVER_HPP

#include <string>

#include "gullstall/src/runtime/platform_http.hpp"
#include "test/standins/platform_store.hpp"

namespace gullstall::standin {

/// Serves a platform_store over HTTP.
class platform_server
{
public:
    platform_server(boost::asio::io_context &io, std::uint16_t port, platform_store &store)
        : store_(store),
          server_(
              io, {boost::asio::ip::make_address("127.0.0.1"), port},
              runtime::http_limits{64U << 20U, 16384, 10000, seconds(10)},
              {[this](std::uint64_t id, runtime::http_request &&request) { answer(id, request); },
               [](std::uint64_t) {}})
    {
    }

private:
    void answer(std::uint64_t id, const runtime::http_request &request)
    {
        platform_answer out{platform_status::done, {}, {}};
        if (!set_fault(std::string(request.target()))) {
            auto what = runtime::decode_platform_request(request);
            out = succeeded(what) ? store_.ask(value_of(what))
                                  : platform_answer{platform_status::missing, {}, {}};
        }
        auto response = runtime::encode_platform_answer(out);
        response.prepare_payload();
        server_.answer(id, std::move(response));
    }

    /// Switches faults by POST /fault/NAME/on or off.
    bool set_fault(const std::string &target)
    {
        const std::string prefix = "/fault/";
        if (target.compare(0, prefix.size(), prefix) != 0) {
            return false;
        }
        std::string rest = target.substr(prefix.size());
        std::size_t slash = rest.find('/');
        bool on = slash != std::string::npos && rest.substr(slash + 1) == "on";
        std::string name = rest.substr(0, slash);
        if (name == "outage") {
            store_.outage = on;
        } else if (name == "lost-answers") {
            store_.lose_answers = on;
        } else {
            return false;
        }
        return true;
    }

    platform_store &store_;
    runtime::http_server server_;
};

}  // namespace gullstall::standin

#endif

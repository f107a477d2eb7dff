#ifndef GULLSTALL_TEST_SUPPORT_UPSTREAM_CONTROL_HPP
#define GULLSTALL_TEST_SUPPORT_UPSTREAM_CONTROL_HPP

#include <doctest/doctest.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "gullstall/src/edge/mesh_daemon.hpp"
#include "gullstall/src/runtime/tcp_options.hpp"
#include "platform/control_server.hpp"
#include "platform/operator_policy.hpp"
#include "platform/wire_names.hpp"
#include "test/support/loopback.hpp"

namespace gullstall::test {

inline constexpr std::size_t status_line_bytes = 12;  ///< up to the end of the code

inline constexpr const char *upstream_address = "127.0.0.1:9";

inline constexpr const char *draining_heartbeat =
    R"({"service":"books","address":"127.0.0.1:9","zone":"z1","state":"draining",)"
    R"("slots":9,"cold-remaining-ms":0,"seq":4,"born":1700000000000})";

/// First port of the range of the test programs that use this.
inline constexpr std::uint16_t first_control_port = 24100;

inline std::string free_address()
{
    static std::uint16_t next = first_control_port;
    return "127.0.0.1:" + std::to_string(test::free_port(next));
}

inline mesh::mesh_settings make_settings(const std::string &control)
{
    std::string text =
        "[node]\nname = n1\nzone = z1\nservice = books\n[listen]\ncallers = " + free_address() +
        "\npeers = " + free_address() + "\nreadiness = " + free_address() +
        "\ncontrol = " + control + "\nmetrics = " + free_address() +
        "\n[upstream]\nendpoint = " + upstream_address +
        "\n[store]\nendpoint = " + upstream_address + "\n";
    return value_of(mesh::parse_mesh_settings("test", text));
}

/// A node without peers, and what its upstream sends to it.
struct upstream_end_fixture
{
    boost::asio::io_context io;
    std::string control_address = free_address();
    mesh::mesh_settings settings = make_settings(control_address);
    std::vector<mesh::announced_end> saves;
    edge::mesh_daemon daemon{io, settings,
                             edge::platform_bindings{platform::field_names(),
                                                     [](std::string_view text) {
                                                         return platform::read_policy(text, {});
                                                     }},
                             1, 1};
    platform::control_server control{io, settings, daemon};
    boost::asio::ip::tcp::socket client{io};
    std::string answer;
    std::string status;  ///< of the answer; empty until its header is complete

    upstream_end_fixture()
    {
        daemon.set_end_saver([this](mesh::store_end &&it) { saves.push_back(it.end); });
    }

    void send(const std::string &method, const std::string &body)
    {
        client = boost::asio::ip::tcp::socket(io);
        answer.clear();
        status.clear();
        client.connect(runtime::tcp_endpoint(value_of(parse_endpoint(control_address))));
        boost::asio::write(client,
                           boost::asio::buffer(method +
                                               " /v1/instances/u1 HTTP/1.1\r\nHost: n\r\n"
                                               "Content-Length: " +
                                               std::to_string(body.size()) + "\r\n\r\n" + body));
        boost::asio::async_read_until(client, boost::asio::dynamic_buffer(answer), "\r\n\r\n",
                                      [this](const boost::system::error_code &, std::size_t) {
                                          status = answer.substr(0, status_line_bytes);
                                      });
    }

    void run_for(std::chrono::milliseconds d)
    {
        io.restart();
        io.run_for(d);
    }

    void check_acknowledged_once_stored()
    {
        run_for(std::chrono::milliseconds(300));
        REQUIRE(saves.size() == 1);
        CHECK(status.empty());
        daemon.set_end_stored(saves.front());
        run_for(std::chrono::milliseconds(100));
        CHECK(status == "HTTP/1.1 200");
    }
};

}  // namespace gullstall::test

#endif

#include "test/platform/soak/fleet.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <filesystem>
#include <fstream>

namespace gullstall::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

asio::ip::tcp::endpoint instance_address::at(std::uint16_t port) const
{
    return {asio::ip::make_address(ip), port};
}

void write_settings(const instance_address &it, const std::string &store, const std::string &file,
                    int retry_slack)
{
    auto at = [&](std::uint16_t port) { return it.ip + ":" + std::to_string(port) + "\n"; };
    std::string next = file + ".next";
    {
        std::ofstream out(next);
        out << "[node]\nname = " << it.name << "\nzone = " << it.zone
            << "\nservice = " << it.service
            << "\nmemory_mb = 260\n\n[listen]\ncallers = " << at(port::callers)
            << "peers = " << at(port::peers) << "readiness = " << at(port::readiness)
            << "control = " << at(port::control) << "metrics = " << at(port::metrics)
            << "\n[upstream]\nendpoint = " << at(port::upstream)
            << "heartbeat_interval_ms = 1500\n\n[store]\nendpoint = " << store << ":" << port::store
            << "\n\n[limits]\nstop_s = 6\nretry_ratio = 0.2\nretry_slack = " << retry_slack
            << "\nretry_window_s = 10\n";
    }
    std::filesystem::rename(next, file);
}

int start_process(const std::string &program, const std::string &settings, const std::string &log)
{
    std::string variable = "GULLSTALL_SETTINGS=" + settings;
    int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    int pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        constexpr unsigned first_other = 3;
        ::close_range(first_other, ~0U, 0);  // connections of this process must not stay open
        std::string path = program;
        std::array<char *, 2> arguments{path.data(), nullptr};
        std::array<char *, 2> environment{variable.data(), nullptr};
        ::execve(program.c_str(), arguments.data(), environment.data());
        ::_exit(127);
    }
    ::close(out);
    return pid;
}

asio::awaitable<unsigned> exchange(asio::io_context &io, asio::ip::tcp::endpoint to,
                                   http_request request, duration timeout)
{
    boost::beast::tcp_stream stream(io);
    stream.expires_after(timeout);
    error_code ec;
    auto token = asio::redirect_error(asio::use_awaitable, ec);
    co_await stream.async_connect(to, token);
    request.prepare_payload();
    if (!ec) {
        co_await http::async_write(stream, request, token);
    }
    boost::beast::flat_buffer buf;
    http_response response;
    if (!ec) {
        co_await http::async_read(stream, buf, response, token);
    }
    co_return ec ? 0 : response.result_int();
}

asio::awaitable<void> sleep_for(asio::io_context &io, duration time)
{
    asio::steady_timer timer(io, time);
    co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace gullstall::standin

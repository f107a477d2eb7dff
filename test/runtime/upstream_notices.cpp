#include <doctest/doctest.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "gullstall/src/edge/notice_fields.hpp"
#include "test/support/upstream_orders.hpp"

using namespace gullstall;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

struct received_notice
{
    std::optional<run_ref> run;
    mesh::upstream_notice notice;
};

/// A client and an upstream that answers each request with the next of the given texts.
struct upstream_answers_fixture
{
    asio::io_context io;
    tcp::acceptor acceptor{io, {asio::ip::make_address("127.0.0.1"), 0}};
    std::vector<received_notice> notices;
    std::vector<mesh::run_result> results;
    std::vector<std::size_t> notices_at_result;
    edge::upstream_client client{
        io, acceptor.local_endpoint(), test::short_names,
        [this](run_ref, mesh::run_result &&it) {
            notices_at_result.push_back(notices.size());
            results.push_back(std::move(it));
        },
        [this](std::optional<run_ref> run, const mesh::upstream_notice &it) {
            notices.push_back({run, it});
        }};

    /// Sends a request of the run 7 and answers it with \a text.
    void exchange(const std::string &text)
    {
        client.start(test::make_order(7, "r"));
        tcp::socket peer(io);
        std::string request;
        acceptor.async_accept(peer, [&](const boost::system::error_code &) {
            asio::async_read_until(peer, asio::dynamic_buffer(request), "\r\n\r\n",
                                   [&](const boost::system::error_code &, std::size_t) {
                                       asio::write(peer, asio::buffer(text));
                                       peer.close();
                                   });
        });
        io.restart();
        io.run_for(std::chrono::seconds(2));
    }

    static std::string answer(const std::string &status, const std::string &lines)
    {
        return "HTTP/1.1 " + status + "\r\n" + lines + "Content-Length: 2\r\n\r\nok";
    }
};

}  // namespace

// Guards against a limit that is passed on to the caller and read by nobody.
TEST_CASE_FIXTURE(upstream_answers_fixture, "answer, limit and leave, are reported before it ends")
{
    exchange(answer("200 OK", "Id: r\r\nLimit: 38.1\r\nLeaving: 1\r\n"));
    REQUIRE(results.size() == 1);
    CHECK(results[0].end == mesh::run_end::answered);
    REQUIRE(notices.size() == 1);
    CHECK(notices_at_result[0] == 1);
    CHECK(notices[0].run == run_ref{7});
    CHECK(notices[0].notice == mesh::upstream_notice{38.1, true, ""});
    CHECK(results[0].header_lines.find("Limit: 38.1") != std::string::npos);
}

// Guards against limits in answers to requests that were not run.
TEST_CASE_FIXTURE(upstream_answers_fixture, "answer, not executed with a limit, is reported")
{
    exchange(answer("503 Busy", "Not-Run: 1\r\nLimit: 0\r\n"));
    REQUIRE(notices.size() == 1);
    CHECK(notices[0].notice.limit_per_s == 0.0);
}

// Guards against a limit of another incarnation that is taken for that of the expected one.
TEST_CASE_FIXTURE(upstream_answers_fixture, "answer, of another incarnation, is not reported")
{
    exchange(answer("421 Misdirected Request", "Limit: 1\r\nLeaving: 1\r\n"));
    CHECK(results.size() == 1);
    CHECK(notices.empty());
}

// Guards against a late answer that is taken for one to the current request.
TEST_CASE_FIXTURE(upstream_answers_fixture,
                  "answer, to an earlier request, is reported without run")
{
    exchange(answer("200 OK", "Id: earlier\r\nLimit: 5\r\n") + answer("200 OK", "Id: r\r\n"));
    REQUIRE(notices.size() == 2);
    CHECK_FALSE(notices[0].run);
    CHECK(notices[0].notice.limit_per_s == 5.0);
    CHECK(notices[1].run == run_ref{7});
    CHECK_FALSE(notices[1].notice.limit_per_s);
}

// Guards against an answer whose header came and whose body was cut off.
TEST_CASE_FIXTURE(upstream_answers_fixture, "answer, cut off after its header, is reported")
{
    exchange("HTTP/1.1 200 OK\r\nId: r\r\nLimit: 5\r\nContent-Length: 20\r\n\r\nok");
    REQUIRE(results.size() == 1);
    CHECK(results[0].end == mesh::run_end::bad_answer);
    REQUIRE(notices.size() == 1);
    CHECK(notices[0].notice.limit_per_s == 5.0);
}

// Guards against texts that are no limit and end the process or lift the limit.
TEST_CASE("limit, unreadable or out of range, is told apart")
{
    struct example
    {
        const char *text;
        std::optional<double> limit;
    };
    const std::string long_number(400, '9');
    for (const example &it :
         {example{"38.1", 38.1}, example{"0", 0.0}, example{"5.", 5.0}, example{".5", 0.5},
          example{"-1", std::nullopt}, example{"+1", std::nullopt}, example{"nan", std::nullopt},
          example{"inf", std::nullopt}, example{"1e3", std::nullopt}, example{"", std::nullopt},
          example{"1.2.3", std::nullopt}, example{"0x10", std::nullopt},
          example{"5, 6", std::nullopt}, example{".", std::nullopt},
          example{long_number.c_str(), 1e9}}) {
        INFO(it.text);
        CHECK(mesh::parse_request_rate(it.text) == it.limit);
    }
}

// Guards against one of several fields that is overlooked.
TEST_CASE("limit, named twice, is the lowest that can be read")
{
    boost::beast::http::fields fields;
    fields.insert("Limit", "9");
    fields.insert("Limit", "4");
    fields.insert("Limit", "many");
    fields.insert("Leaving", "yes");
    mesh::upstream_notice notice = edge::read_notice(fields, test::short_names);
    CHECK(notice.limit_per_s == 4.0);
    CHECK_FALSE(notice.is_leaving);
    CHECK(notice.unreadable == "Leaving: yes");
}

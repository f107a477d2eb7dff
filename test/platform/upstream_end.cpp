#include "test/support/upstream_control.hpp"

using namespace gullstall;

using test::upstream_end_fixture;

// Guards against an end that is acknowledged before anything but this process keeps it.
TEST_CASE_FIXTURE(upstream_end_fixture, "leave, is acknowledged once the store has it")
{
    send("DELETE", "");
    check_acknowledged_once_stored();
}

// The same of an end that a heartbeat announces.
TEST_CASE_FIXTURE(upstream_end_fixture, "draining, is acknowledged once the store has it")
{
    send("PUT", test::draining_heartbeat);
    check_acknowledged_once_stored();
}

// Guards against an upstream that waits in vain and exits unheard: it is told to ask again.
TEST_CASE_FIXTURE(upstream_end_fixture, "leave that nobody keeps, is not acknowledged")
{
    send("DELETE", "");
    run_for(std::chrono::milliseconds(1000));
    CHECK(status == "HTTP/1.1 503");
}

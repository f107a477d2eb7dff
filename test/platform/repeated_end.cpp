#include "test/support/upstream_control.hpp"

using namespace gullstall;

using test::upstream_end_fixture;

// Guards against an end that is acknowledged when its heartbeat comes again, although nobody keeps
// it.
TEST_CASE_FIXTURE(upstream_end_fixture,
                  "draining that nobody keeps, sent again, is not acknowledged")
{
    for (int i = 0; i < 2; ++i) {
        INFO(i);
        send("PUT", test::draining_heartbeat);
        run_for(std::chrono::milliseconds(1000));
        CHECK(status == "HTTP/1.1 503");
    }
}

#include "gullstall/src/edge/spawn.hpp"

namespace gullstall::edge {

std::string describe(const std::exception_ptr &error)
{
    try {
        std::rethrow_exception(error);
    } catch (const std::exception &e) {
        return e.what();
    } catch (...) {
        return "unknown exception";
    }
}

}  // namespace gullstall::edge

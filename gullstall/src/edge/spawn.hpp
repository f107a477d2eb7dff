#ifndef GULLSTALL_EDGE_SPAWN_HPP
#define GULLSTALL_EDGE_SPAWN_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <string>
#include <utility>

namespace gullstall::edge {

/// \returns what an exception says
std::string describe(const std::exception_ptr &error);

/// Starts a coroutine that ends a part of the process, such as a connection, when it throws.
/// \param coroutine function that returns an awaitable
/// \param on_exception is called with what the exception says
template <class Coroutine>
void spawn(boost::asio::io_context &io, Coroutine coroutine,
           std::function<void(const std::string &what)> on_exception)
{
    boost::asio::co_spawn(
        io, std::move(coroutine),
        [on_exception = std::move(on_exception)](const std::exception_ptr &error) {
            if (error) {
                on_exception(describe(error));
            }
        });
}

/// Starts a coroutine that the process can't do without: an exception leaves
/// io_context::run().
template <class Coroutine>
void spawn_essential(boost::asio::io_context &io, Coroutine &&coroutine)
{
    boost::asio::co_spawn(io, std::forward<Coroutine>(coroutine),
                          [](const std::exception_ptr &error) {
                              if (error) {
                                  std::rethrow_exception(error);
                              }
                          });
}

}  // namespace gullstall::edge

#endif

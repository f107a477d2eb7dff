#ifndef GULLSTALL_RUNTIME_MAILBOX_HPP
#define GULLSTALL_RUNTIME_MAILBOX_HPP

#include <sys/eventfd.h>
#include <unistd.h>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <boost/system/system_error.hpp>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <memory>
#include <utility>

namespace gullstall::runtime {

/// Bounded ring from one producing thread to the thread of an io_context. The
/// consumer is woken once for any number of entries, through an eventfd: a post
/// would wake it while the producer still holds the io_context's mutex, and the
/// consumer would go to sleep again on that mutex.
template <class T>
class mailbox
{
public:
    /// \param consumer whose thread takes the entries
    /// \param take is called there for each entry, in order
    /// \throws boost::system::system_error when the system has no descriptor left
    mailbox(boost::asio::io_context &consumer, std::size_t capacity, std::function<void(T &&)> take)
        : signal_(consumer, open_signal()),
          ring_(capacity),
          capacity_(capacity),
          take_(std::move(take))
    {
        wait();
    }

    mailbox(const mailbox &) = delete;
    mailbox &operator=(const mailbox &) = delete;

    ~mailbox()
    {
        ring_.consume_all([](T *entry) { delete entry; });
    }

    /// Moves \a entry into the ring.
    /// \returns false when the ring is full; the entry is then left as it was,
    /// and the producer refuses what it stands for
    bool push(T &entry)
    {
        return push_leaving(entry, 0);
    }

    /// As push(), but refuses when fewer than \a reserve entries would stay
    /// free, so that entries which must not be lost still find room.
    bool push_leaving(T &entry, std::size_t reserve)
    {
        if (ring_.write_available() <= reserve) {
            return false;
        }
        auto held = std::make_unique<T>(std::move(entry));
        if (!ring_.push(held.get())) {
            entry = std::move(*held);
            return false;
        }
        (void)held.release();
        if (!scheduled_.exchange(true)) {
            wake();
        }
        return true;
    }

    /// \returns whether the consumer has taken all entries; to be asked by the producer
    bool is_drained() const
    {
        return ring_.write_available() == capacity_;
    }

private:
    static int open_signal()
    {
        int descriptor = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
        if (descriptor < 0) {
            throw boost::system::system_error(errno, boost::system::system_category(), "eventfd");
        }
        return descriptor;
    }

    void wake()
    {
        const std::uint64_t one = 1;
        // It can't be full: there is at most one unread signal.
        if (::write(signal_.native_handle(), &one, sizeof one) != sizeof one) {
            std::abort();
        }
    }

    void wait()
    {
        signal_.async_read_some(boost::asio::buffer(&count_, sizeof count_),
                                [this](const boost::system::error_code &ec, std::size_t) {
                                    if (!ec) {
                                        drain();
                                        wait();
                                    }
                                });
    }

    void drain()
    {
        // Cleared before the ring is read: an entry pushed from here on signals
        // again, so none is left behind without a wake-up.
        scheduled_.store(false);
        ring_.consume_all([this](T *entry) {
            std::unique_ptr<T> held(entry);
            take_(std::move(*held));
        });
    }

    boost::asio::posix::stream_descriptor signal_;
    std::uint64_t count_ = 0;
    boost::lockfree::spsc_queue<T *> ring_;
    std::size_t capacity_;
    std::function<void(T &&)> take_;
    std::atomic<bool> scheduled_{false};
};

}  // namespace gullstall::runtime

#endif

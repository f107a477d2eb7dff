#ifndef GULLSTALL_RUNTIME_MAILBOX_HPP
#define GULLSTALL_RUNTIME_MAILBOX_HPP

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace gullstall::runtime {

/// Bounded ring from one producing thread to the thread of an io_context. The
/// consumer is woken once for any number of entries.
template <class T>
class mailbox
{
public:
    /// \param consumer whose thread takes the entries
    /// \param take is called there for each entry, in order
    mailbox(boost::asio::io_context &consumer, std::size_t capacity, std::function<void(T &&)> take)
        : consumer_(consumer), ring_(capacity), take_(std::move(take))
    {
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
            boost::asio::post(consumer_, [this] { drain(); });
        }
        return true;
    }

private:
    void drain()
    {
        // Cleared before the ring is read: an entry pushed from here on posts a
        // further drain, so none is left behind without a wake-up.
        scheduled_.store(false);
        ring_.consume_all([this](T *entry) {
            std::unique_ptr<T> held(entry);
            take_(std::move(*held));
        });
    }

    boost::asio::io_context &consumer_;
    boost::lockfree::spsc_queue<T *> ring_;
    std::function<void(T &&)> take_;
    std::atomic<bool> scheduled_{false};
};

}  // namespace gullstall::runtime

#endif

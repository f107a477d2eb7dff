#include "gullstall/src/mesh/retry_quota.hpp"

namespace gullstall::mesh {

namespace {

/// Part of the limit that is kept for the most urgent class.
constexpr double urgent_reserve = 0.5;

void forget_until(std::deque<time_point> &times, time_point end)
{
    while (!times.empty() && times.front() <= end) {
        times.pop_front();
    }
}

void forget_before_window(retry_quota &it, duration window, time_point now)
{
    for (std::deque<time_point> *times : {&it.requests, &it.urgent, &it.others}) {
        forget_until(*times, now - window);
    }
}

double count(const std::deque<time_point> &times)
{
    return static_cast<double>(times.size());
}

}  // namespace

void record_request(retry_quota &it, duration window, time_point now)
{
    forget_until(it.requests, now - window);
    it.requests.push_back(now);
}

bool grant(retry_quota &it, const retry_quota_limit &limit, bool is_urgent, time_point now)
{
    forget_before_window(it, limit.window, now);
    double allowed = limit.ratio * count(it.requests) + limit.slack;
    bool fits = count(it.urgent) + count(it.others) + 1 <= allowed;
    bool fits_class = is_urgent || count(it.others) + 1 <= allowed * (1 - urgent_reserve);
    if (!fits || !fits_class) {
        return false;
    }
    (is_urgent ? it.urgent : it.others).push_back(now);
    return true;
}

void take_back_grant(retry_quota &it, bool is_urgent)
{
    (is_urgent ? it.urgent : it.others).pop_back();
}

}  // namespace gullstall::mesh

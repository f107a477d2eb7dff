#ifndef GULLSTALL_METRICS_LATENCY_HPP
#define GULLSTALL_METRICS_LATENCY_HPP

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "gullstall/src/core/time.hpp"

namespace gullstall {

/// Histogram of durations. A bucket's edge, in seconds, belongs to the bucket
/// above it, as Boost.Histogram counts.
struct latency_histogram
{
    using axis = boost::histogram::axis::variable<double>;
    using storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<axis>, storage> buckets;
    double sum_s = 0;  ///< of all durations, seconds

    /// Edges from 0.5 ms to 10 s.
    latency_histogram();
};

/// Counts one duration.
void note_latency(latency_histogram &it, duration d);

/// \returns the histogram \a name in the text exposition format
std::string print_latency(const std::string &name, const latency_histogram &it);

/// Latencies that a node measures.
struct node_latencies
{
    latency_histogram call;        ///< of a call taken here, until its answer
    latency_histogram queue_wait;  ///< of a run, until the own worker gets it
    latency_histogram run;         ///< of a run at the own worker
};

}  // namespace gullstall

#endif

#include "gullstall/src/metrics/latency.hpp"

#include <array>
#include <cstdio>

namespace gullstall {

namespace {

constexpr std::array edges_s{0.0, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                             0.1, 0.2,    0.5,   1.0,   2.0,   5.0,  10.0};

std::string print_number(double n)
{
    constexpr std::size_t digits = 32;
    std::array<char, digits> text{};
    std::snprintf(text.data(), text.size(), "%.9g", n);
    return text.data();
}

}  // namespace

latency_histogram::latency_histogram()
    : buckets(
          boost::histogram::make_histogram_with(storage{}, axis(edges_s.begin(), edges_s.end())))
{
}

void note_latency(latency_histogram &it, duration d)
{
    double s = std::chrono::duration<double>(d).count();
    it.buckets(s);
    it.sum_s += s;
}

std::string print_latency(const std::string &name, const latency_histogram &it)
{
    std::string full = "gullstall_" + name;
    std::string out = "# TYPE " + full + " histogram\n";
    const auto &axis = it.buckets.axis();
    std::uint64_t total = it.buckets.at(-1);
    for (int i = 0; i < axis.size(); ++i) {
        total += it.buckets.at(i);
        out += full + "_bucket{le=\"" + print_number(axis.bin(i).upper()) + "\"} " +
               std::to_string(total) + "\n";
    }
    total += it.buckets.at(axis.size());
    return out + full + "_bucket{le=\"+Inf\"} " + std::to_string(total) + "\n" + full + "_sum " +
           print_number(it.sum_s) + "\n" + full + "_count " + std::to_string(total) + "\n";
}

}  // namespace gullstall

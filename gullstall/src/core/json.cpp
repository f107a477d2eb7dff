/// Boost.JSON's own source, compiled once here.
#include <boost/json/src.hpp>

#ifndef GULLSTALL_CUSTOMERS_HPP
#define GULLSTALL_CUSTOMERS_HPP

/// Customers module: the customers of the system, their API keys and their request quotas.

#include "gullstall/src/customers/customer_index.hpp"
#include "gullstall/src/customers/key_digest.hpp"

#endif

// Problem: Asio's and Beast's definitions must be compiled in exactly one unit.
// Approach: this unit. Header-only use multiplies the build time of every other unit.

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>

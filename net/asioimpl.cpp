// Problem: the definitions of Asio and Beast must be compiled in exactly one translation unit.
// Approach: this file includes both. Header-only use would compile them again in every other unit and multiply the build time.

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>

// Problem: the definitions of Boost.JSON must be compiled in exactly one translation unit.
// Approach: this one. Compiling them in every unit would multiply the build time.

#include <boost/json/src.hpp>

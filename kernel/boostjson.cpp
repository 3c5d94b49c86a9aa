// Problem: Boost.JSON's definitions must be compiled in exactly one unit.
// Approach: this unit. Header-only use in every unit would multiply the build time.

#include <boost/json/src.hpp>

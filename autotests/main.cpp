// Problem: Catch2's main function is slow to compile and needed only once.
// Approach: this file contains nothing else.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

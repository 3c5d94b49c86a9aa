// Problem: Catch2's main is slow to compile and needed once.
// Approach: this unit holds it.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

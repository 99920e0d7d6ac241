/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file slopes_main.cpp The slopes behind docs/CAPACITY.md. */

#include <benchmark/benchmark.h>

BENCHMARK_MAIN();

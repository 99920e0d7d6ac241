/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file main.cpp Runs the unit and property tests. */

#define DOCTEST_CONFIG_IMPLEMENT
#include "metrics/log.h"
#include <cstdlib>
#include <doctest/doctest.h>

int main(int argc, char **argv)
{
	// The same cases on every run; another seed can be given in the environment.
	setenv("RC_PARAMS", "seed=20261202 max_success=300", 0);
	cottonspool::InitLog("error", "text", "test");
	return doctest::Context(argc, argv).run();
}

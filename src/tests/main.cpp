/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest.h>

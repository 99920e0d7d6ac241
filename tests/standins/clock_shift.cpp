/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file clock_shift.cpp Library for LD_PRELOAD that shifts the clocks of a program under test. */

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <dlfcn.h>

static constexpr long MS_PER_S = 1000;
static constexpr long NS_PER_MS = 1000000;
static constexpr long NS_PER_S = 1000000000;

/** @return The number in the file whose path is in the environment variable \a name; 0 without one. */
static long ReadShiftMs(const char *name)
{
	const char *path = getenv(name);
	FILE *file = path == nullptr ? nullptr : fopen(path, "re");
	long shift = 0;
	if (file == nullptr) return 0;
	if (fscanf(file, "%ld", &shift) != 1) shift = 0;
	fclose(file);
	return shift;
}

/**
 * Replaces the function of the C library. CLOCK_REALTIME is shifted by both variables, and CLOCK_BOOTTIME by the simulated time of
 * suspension. CLOCK_MONOTONIC and timers are not shifted, as they do not count suspension on a real machine either.
 */
extern "C" int clock_gettime(clockid_t clock, struct timespec *time)
{
	using Function = int (*)(clockid_t, struct timespec *);
	static auto real = reinterpret_cast<Function>(dlsym(RTLD_NEXT, "clock_gettime"));
	int result = real(clock, time);
	if (result != 0 || (clock != CLOCK_REALTIME && clock != CLOCK_BOOTTIME)) return result;
	long shift = ReadShiftMs("COTTONSPOOL_TEST_SUSPENDED");
	if (clock == CLOCK_REALTIME) shift += ReadShiftMs("COTTONSPOOL_TEST_CLOCK");
	time->tv_sec += shift / MS_PER_S;
	time->tv_nsec += (shift % MS_PER_S) * NS_PER_MS;
	if (time->tv_nsec < 0) {
		time->tv_nsec += NS_PER_S;
		time->tv_sec--;
	}
	if (time->tv_nsec >= NS_PER_S) {
		time->tv_nsec -= NS_PER_S;
		time->tv_sec++;
	}
	return 0;
}

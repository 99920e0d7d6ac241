/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file clock_shift.cpp A wall clock that tests can set: loaded before the C library into a program under test. */

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <dlfcn.h>

static constexpr long MS_PER_S = 1000;       ///< Milliseconds in a second.
static constexpr long NS_PER_MS = 1000000;   ///< Nanoseconds in a millisecond.
static constexpr long NS_PER_S = 1000000000; ///< Nanoseconds in a second.

/** @return By how many milliseconds the file that the variable \a name names shifts a clock. */
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
 * Takes the C library's place: the time of day is shifted, and the clock that counts suspension goes on by the time for which the machine
 * is said to have been suspended. The steady clock and timers stand still meanwhile, as they do on a machine that is.
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

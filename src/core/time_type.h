/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file time_type.h Time types of the decision core; a time is always handed in, never read. */

#pragma once

#include <chrono>
#include <ctime>

namespace cottonspool {

/** Length of time, in whole microseconds. */
using Duration = std::chrono::microseconds;

/** The clock of the core: never set, and going on while the machine is suspended. */
struct MonotonicClock {
	using duration = Duration;                                  ///< Its unit.
	using rep = duration::rep;                                  ///< Number of units.
	using period = duration::period;                            ///< Length of a unit.
	using time_point = std::chrono::time_point<MonotonicClock>; ///< A point on it.
	static constexpr bool is_steady = true;                     ///< It is never set.
};

/** A point on the instance's monotonic clock (microseconds since an arbitrary start). */
using TimePoint = MonotonicClock::time_point;

/** @return \a duration in seconds. */
inline double Seconds(Duration duration)
{
	return std::chrono::duration<double>(duration).count();
}

/** @return \a seconds as a Duration. */
inline Duration FromSeconds(double seconds)
{
	return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/**
 * @return The current time of the monotonic clock; for shells only, never called by the decision core. The C++ library's steady clock
 *         stands still while a machine is suspended: deadlines, leases and the age of tables would count from before.
 */
inline TimePoint MonotonicNow()
{
	timespec now{};
	clock_gettime(CLOCK_BOOTTIME, &now);
	return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace cottonspool

/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file time_type.h Time types of the decision code, which gets the current time as a parameter and never reads a clock. */

#pragma once

#include <chrono>
#include <ctime>

namespace cottonspool {

/** Duration in whole microseconds. */
using Duration = std::chrono::microseconds;

/** Clock that is never set and also advances while the machine is suspended. */
struct MonotonicClock {
	using duration = Duration;                                  ///< Unit of the clock.
	using rep = duration::rep;                                  ///< Number of units.
	using period = duration::period;                            ///< Length of a unit.
	using time_point = std::chrono::time_point<MonotonicClock>; ///< Point in time on this clock.
	static constexpr bool is_steady = true;                     ///< The clock is never set.
};

/** Point in time on the monotonic clock (microseconds since an arbitrary start). */
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
 * @return The current time of the monotonic clock; not to be called by the decision code. std::chrono::steady_clock is not used as it stops
 * while the machine is suspended, which would extend deadlines and leases.
 */
inline TimePoint MonotonicNow()
{
	timespec now{};
	clock_gettime(CLOCK_BOOTTIME, &now);
	return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace cottonspool

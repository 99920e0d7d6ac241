/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file time_type.h Time types of the decision core; a time is always handed in, never read. */

#pragma once

#include <chrono>

namespace cottonspool {

/** Length of time, in whole microseconds. */
using Duration = std::chrono::microseconds;

/** A point on the instance's monotonic clock (microseconds since an arbitrary start). */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

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

/** @return The current time of the monotonic clock; for shells only, never called by the decision core. */
inline TimePoint MonotonicNow()
{
	return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace cottonspool

/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file held_counter.h Counts the bytes that connections hold in memory. */

#pragma once

#include "core/held_bytes_type.h"
#include <functional>
#include <memory>

namespace cottonspool {

/** Sum of the bytes held by all connections of a process. */
class HeldCounter {
public:
	/** Replace \a before by \a after bytes in \a part of the sum. */
	void Change(size_t HeldBytes::*part, size_t before, size_t after)
	{
		this->held.*part += after;
		this->held.*part -= before;
		if (after > before && this->held.Committed() >= this->notify_from && this->on_growth) this->on_growth();
	}

	/** @return The sum. */
	const HeldBytes &Held() const { return this->held; }

	size_t notify_from = SIZE_MAX;    ///< Committed bytes from which on_growth is called at each growth.
	std::function<void()> on_growth;  ///< The sum has grown; it may pause connections, but must not close any.
	size_t max_read_bytes = SIZE_MAX; ///< Most bytes that a connection reads at once.
	bool full = false;                ///< Each connection pauses its source as soon as it cannot pass bytes on.

private:
	HeldBytes held; ///< Sum.
};

/** The bytes that one owner contributes to a HeldCounter; they are subtracted when it is destroyed. */
class HeldPart {
public:
	HeldPart() = default;
	~HeldPart() { this->Set(0); }
	HeldPart(const HeldPart &) = delete;
	HeldPart &operator=(const HeldPart &) = delete;

	/** Count in \a part of \a sum from now on; nothing is counted without this, or if \a sum is null. */
	void Bind(std::shared_ptr<HeldCounter> sum, size_t HeldBytes::*part)
	{
		this->Set(0);
		this->counter = std::move(sum);
		this->member = part;
	}

	/** The owner holds \a now bytes. */
	void Set(size_t now)
	{
		size_t before = this->bytes;
		this->bytes = now;
		if (this->counter && before != now) this->counter->Change(this->member, before, now);
	}

	/** @return Most bytes that the owner may read at once. */
	size_t MaxReadBytes() const { return this->counter ? this->counter->max_read_bytes : SIZE_MAX; }

	/** @return Bytes that the owner holds. */
	size_t Bytes() const { return this->bytes; }

private:
	std::shared_ptr<HeldCounter> counter;            ///< Sum; null for none.
	size_t HeldBytes::*member = &HeldBytes::answers; ///< Part of the sum.
	size_t bytes = 0;                                ///< Bytes held at present.
};

} // namespace cottonspool

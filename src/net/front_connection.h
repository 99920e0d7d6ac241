/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file front_connection.h A connection of a caller to HttpFront. */

#pragma once

#include "net/http_front.h"

namespace cottonspool {

/** A connection of a caller. */
class FrontConnection : public std::enable_shared_from_this<FrontConnection> {
public:
	FrontConnection(HttpFront &front, std::shared_ptr<TcpStream> stream);

	/** Install the callbacks of the connection. */
	void Begin();

	/** Check the timeouts. */
	void OnTick(TimePoint now);

	/** @return Whether there is no request at present. */
	bool IsIdle() const { return !this->exchange && !this->reader.IsInsideMessage(); }

	/** Close the connection. @param notify Call on_disconnect of the current request. */
	void Close(bool notify);

	/** Handle the end of the current answer. */
	void OnAnswered(bool keep_alive);

	/** Reset the connection, so that the caller does not take the answer for complete. */
	void Break();

	/** @return The bytes that this connection holds and their properties. */
	MemoryHolder Holder() const;

	/** @return The request that is being received; null for none. */
	const FrontExchange *Receiving() const { return this->in_handler ? nullptr : this->exchange.get(); }

	/** Pause or continue everything that makes this connection hold more bytes. */
	void SetPaused(bool pause);

	/** Reject the request that is being received with 503 and \a headers, and discard the rest of its body. */
	void RejectReceiving(const HttpHeaders &headers);

	HttpFront &front;                                                    ///< Server.
	uint64_t id;                                                         ///< Number of this connection.
	std::shared_ptr<TcpStream> stream;                                   ///< TCP connection.
	std::list<std::shared_ptr<FrontConnection>>::iterator list_position; ///< Position in the server's list.

private:
	void OnData(std::string_view bytes);
	void OnHead(HttpHead &&head);
	void OnBody(std::string_view bytes);
	void OnComplete();
	void ReadPipelined();
	void Refuse(int status);
	void RefuseMalformed();
	void Unregister();
	/** @return Whether the caller, who waits for its answer \a until then at least, has read nothing for the idle timeout. */
	bool IsUnread(TimePoint now, TimePoint until) const;

	RequestReader reader;                    ///< Parser of the requests.
	std::shared_ptr<FrontExchange> exchange; ///< Request being received or processed.
	bool in_handler = false;                 ///< The request was passed to the handler.
	bool in_reader = false;                  ///< The parser is running, so that it must not be resumed.
	TimePoint waiting_since;                 ///< Start of the time to which the current timeout applies.
	bool unregistered = false;               ///< Removed from the server's list.
	bool refused = false;                    ///< Further input is ignored.
	HeldPart held_pipelined;                 ///< Counts the bytes read behind the current request.
	TimePoint paused_since;                  ///< When it was paused.
	bool paused = false;                     ///< Reading, or the source of the answer, is paused as memory is scarce.
	bool discarding = false;                 ///< The request was rejected, and the rest of its body is discarded.
	bool keep_after_discarding = false;      ///< The connection stays open after that.
	TimePoint awaited_until;                 ///< Until when the caller waits for the answers that it has not read yet.
	uint64_t sent_bytes = 0;                 ///< Bytes sent until the last tick.
	TimePoint progress_at;                   ///< Last tick at which nothing was unsent, or the caller had read something.
};

} // namespace cottonspool

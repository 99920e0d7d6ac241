/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file curl_answer.cpp Reads the answers to libcurl's requests with AnswerReader. */

#include "http/curl_answer.h"

namespace cottonspool {

/** libcurl callback: bytes of the head or of the body were received. */
static size_t OnAnswerBytes(char *data, size_t size, size_t count, void *user)
{
	return static_cast<AnswerReader *>(user)->Add({data, size * count}) ? size * count : 0;
}

void ReadAnswerWith(CURL *easy, AnswerReader &reader)
{
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnAnswerBytes);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, &reader);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnAnswerBytes);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &reader);
	// The reader removes the chunks itself.
	curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
}

} // namespace cottonspool

/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file curl_answer.h Reads the answers to libcurl's requests with AnswerReader. */

#pragma once

#include "net/answer_reader.h"
#include <curl/curl.h>

namespace cottonspool {

/**
 * Let libcurl pass the answer to the request of \a easy to \a reader, byte for byte. libcurl is made to accept what servers send, so it
 * only finds out where the answer ends. Where the reader finds a fault, libcurl ends the transfer with CURLE_WRITE_ERROR.
 */
void ReadAnswerWith(CURL *easy, AnswerReader &reader);

} // namespace cottonspool

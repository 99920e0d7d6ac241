/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file compressed_message.h Long messages between instances, compressed. */

#pragma once

#include "core/error_type.h"
#include <string>

namespace cottonspool {

/** @return \a message, compressed where it is long: whole tables and configurations take an eighth then, and links of 20 Mbit/s are full
 *          with the others. */
std::string CompressMessage(std::string message);

/** @return Whether \a bytes are a compressed message; no message in CBOR begins like one. */
bool IsCompressed(const std::string &bytes);

/** @return The message in the compressed \a bytes; an error where they hold none, or a longer one than instances send. */
Result<std::string> DecompressMessage(const std::string &bytes);

} // namespace cottonspool

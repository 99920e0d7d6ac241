/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file compressed_message.h Compression of long messages between instances. */

#pragma once

#include "core/error_type.h"
#include <string>

namespace cottonspool {

/** @return \a message, compressed if it is long, as table snapshots and configurations would congest slow links between instances. */
std::string CompressMessage(std::string message);

/** @return Whether \a bytes are a compressed message; no CBOR message starts the same way. */
bool IsCompressed(const std::string &bytes);

/** @return The decompressed message in \a bytes; an error if they are malformed or the message exceeds the size limit. */
Result<std::string> DecompressMessage(const std::string &bytes);

} // namespace cottonspool

#pragma once

#include "kernel/errors.h"

#include <string>
#include <string_view>

namespace knapweedslip
{
/** A secret read from a file. Its text never goes into a log, a dump or a message. */
struct Secret
{
    std::string m_text;
};

/** Reads a secret from the first line of a file; an empty one or one shorter than 16 characters is an error. */
Result<Secret> readSecret(const std::string &path);

/** SHA-256 in lower-case hexadecimal. */
std::string sha256Hex(std::string_view text);
/** HMAC-SHA-256 as 32 raw bytes. */
std::string hmacSha256(const Secret &secret, std::string_view text);
/** Compares in constant time for texts of equal length. */
bool equalSecrets(std::string_view a, std::string_view b);

std::string encodeBase64(std::string_view bytes);
/** Error MalformedRequest when it is not base64. */
Result<std::string> decodeBase64(std::string_view text);
}

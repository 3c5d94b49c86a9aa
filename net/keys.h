#pragma once

#include "kernel/errors.h"

#include <string>
#include <string_view>

namespace knapweedslip
{
/** A secret that was read from a file. It must not appear in logs, dumps or messages. */
struct Secret
{
    std::string m_text;
};

/** Reads a secret from the first line of a file. Fails with InvalidSetting if the file cannot be read or the secret is shorter than 16 characters. */
Result<Secret> readSecret(const std::string &path);

/** Returns the SHA-256 digest of @p text in lower-case hexadecimal. */
std::string sha256Hex(std::string_view text);
/** Returns the HMAC-SHA-256 of @p text as 32 raw bytes. */
std::string hmacSha256(const Secret &secret, std::string_view text);
/** Compares two secrets. For equal lengths the time does not depend on the contents. */
bool equalSecrets(std::string_view a, std::string_view b);

std::string encodeBase64(std::string_view bytes);
/** Fails with MalformedRequest if @p text is not valid base64. */
Result<std::string> decodeBase64(std::string_view text);
}

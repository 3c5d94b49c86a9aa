// Problem: callers, operators and peers must authenticate, and keys must not leak.
// Approach: keys are read from files; workspace keys are stored only as hashes; peers sign each frame; comparisons take constant time.
// Keys in command-line arguments show up in process lists, and the time of a plain comparison reveals how many leading characters match.

#include "net/keys.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <array>
#include <fstream>

namespace knapweedslip
{
namespace
{
constexpr std::size_t MinSecretLength = 16;

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}
}

Result<Secret> readSecret(const std::string &path)
{
    std::ifstream file(path);
    std::string line;
    if (!file || !std::getline(file, line)) {
        return Error{ErrorCode::InvalidSetting, "cannot read a key from '" + path + "'"};
    }
    if (line.size() < MinSecretLength) {
        return Error{ErrorCode::InvalidSetting, "the key in '" + path + "' is shorter than 16 characters"};
    }
    return Secret{line};
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(bytesOf(text), text.size(), digest.data());
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string hex;
    for (const unsigned char byte : digest) {
        hex += Digits[byte >> 4U];
        hex += Digits[byte & 15U];
    }
    return hex;
}

std::string hmacSha256(const Secret &secret, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.m_text.data(), static_cast<int>(secret.m_text.size()), bytesOf(text), text.size(), digest.data(), &length);
    return std::string(reinterpret_cast<const char *>(digest.data()), length);
}

bool equalSecrets(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string encodeBase64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), bytesOf(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

Result<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0) {
        return Error{ErrorCode::MalformedRequest, "not base64"};
    }
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), bytesOf(text), static_cast<int>(text.size()));
    if (length < 0) {
        return Error{ErrorCode::MalformedRequest, "not base64"};
    }
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}
}

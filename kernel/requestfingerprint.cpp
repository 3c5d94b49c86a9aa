// Problem: a client that sends a request again gives it a new id, through whichever daemon it reaches.
// Approach: a hash over workspace, target and body, each hashed with the one before as its seed, so that no two ways of dividing a text are equal.

#include "kernel/requestfingerprint.h"

#include "kernel/hashing.h"

namespace knapweedslip
{
std::uint64_t requestFingerprint(std::string_view workspace, std::string_view target, std::string_view body)
{
    return hash64(body, hash64(target, hash64(workspace)));
}
}

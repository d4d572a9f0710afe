#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtail {

// Returns the SHA-256 digest of the bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

// Returns the HMAC-SHA256 of the bytes with the secret as the key, as 32 raw bytes.
std::string hmacSha256(std::string_view secret, std::string_view bytes);

// Compares two strings in a time that depends only on their lengths, so that the time reveals nothing about their contents.
bool equalInConstantTime(std::string_view left, std::string_view right);

// Encodes bytes as Base64 with the URL-safe alphabet and without padding.
std::string base64UrlEncode(std::string_view bytes);

// Decodes the output of base64UrlEncode. Returns false if the text is not valid.
bool base64UrlDecode(std::string_view text, std::string& bytes);

// Returns a 64-bit hash that is the same in every process and build (FNV-1a with a finalizer).
uint64_t stableHash(std::string_view bytes);

// Returns the score of a member for a key in rendezvous hashing. The member with the highest score owns the key.
uint64_t rendezvousScore(std::string_view key, std::string_view member);

// Returns the score of a member for a key in weighted rendezvous hashing. The member with the highest score owns the key, and the
// probability that a member owns a key is proportional to its weight.
double weightedRendezvousScore(std::string_view key, std::string_view member, double weight);

}

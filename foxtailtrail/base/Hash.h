#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtail {

// The SHA-256 digest of the bytes, as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

// The HMAC-SHA256 of the bytes under the secret, as 32 raw bytes.
std::string hmacSha256(std::string_view secret, std::string_view bytes);

// Compares two strings in a time that depends on their lengths only.
bool equalInConstantTime(std::string_view left, std::string_view right);

// Base64 with the URL-safe alphabet and without padding.
std::string base64UrlEncode(std::string_view bytes);

// The reverse of base64UrlEncode. Returns false when the text is not valid.
bool base64UrlDecode(std::string_view text, std::string& bytes);

// A 64-bit hash that is the same in every process and build (FNV-1a with a final mix).
uint64_t stableHash(std::string_view bytes);

// The weight of a member for a key in rendezvous hashing: the member with the highest weight owns the key.
uint64_t rendezvousScore(std::string_view key, std::string_view member);

// The score of a member for a key in weighted rendezvous hashing: the member with the highest score owns the key, with a probability
// in proportion to its weight.
double weightedRendezvousScore(std::string_view key, std::string_view member, double weight);

}

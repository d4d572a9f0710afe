#include "foxtailtrail/base/Hash.h"

#include <array>
#include <cmath>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace foxtail {

namespace {

    constexpr std::string_view base64UrlAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

    // Mixes the bits of a hash with the 64-bit finalizer of MurmurHash3.
    uint64_t finalizeHash(uint64_t hash)
    {
        hash ^= hash >> 33;
        hash *= 0xff51afd7ed558ccdULL;
        hash ^= hash >> 33;
        hash *= 0xc4ceb9fe1a85ec53ULL;
        hash ^= hash >> 33;
        return hash;
    }

}

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 15]);
    }
    return text;
}

std::string hmacSha256(std::string_view secret, std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
        digest.data(), &length);
    return { reinterpret_cast<const char*>(digest.data()), length };
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string base64UrlEncode(std::string_view bytes)
{
    std::string text;
    uint32_t buffer = 0;
    int bits = 0;
    for (const char character : bytes) {
        buffer = (buffer << 8) | static_cast<unsigned char>(character);
        bits += 8;
        while (bits >= 6) {
            bits -= 6;
            text.push_back(base64UrlAlphabet[(buffer >> bits) & 63]);
        }
    }
    if (bits > 0)
        text.push_back(base64UrlAlphabet[(buffer << (6 - bits)) & 63]);
    return text;
}

bool base64UrlDecode(std::string_view text, std::string& bytes)
{
    bytes.clear();
    uint32_t buffer = 0;
    int bits = 0;
    for (const char character : text) {
        const size_t value = base64UrlAlphabet.find(character);
        if (value == std::string_view::npos)
            return false;
        buffer = (buffer << 6) | static_cast<uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes.push_back(static_cast<char>((buffer >> bits) & 255));
        }
    }
    // A valid text ends with fewer than 6 unused bits, which are all zero. 6 bits are left over by a single character after the last group
    // of four, which cannot hold a byte.
    return bits < 6 && (buffer & ((1U << bits) - 1)) == 0;
}

uint64_t stableHash(std::string_view bytes)
{
    uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char character : bytes) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    return finalizeHash(hash);
}

uint64_t rendezvousScore(std::string_view key, std::string_view member)
{
    return finalizeHash(stableHash(key) ^ (stableHash(member) * 0x9e3779b97f4a7c15ULL));
}

double weightedRendezvousScore(std::string_view key, std::string_view member, double weight)
{
    const double uniform = (static_cast<double>(rendezvousScore(key, member)) + 1) / (static_cast<double>(UINT64_MAX) + 2);
    return weight / -std::log(uniform);
}

}

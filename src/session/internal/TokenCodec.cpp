// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "session/internal/TokenCodec.h"

#include "base/ResultTable.h"
#include "session/generated/SessionToken.pb.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace stepledge::session {

namespace {

constexpr std::uint32_t Version = 1;
constexpr std::size_t SignatureBytes = 32;

std::string sign(const std::string &secret, const std::string &body) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int n = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char *>(body.data()), body.size(),
       buf.data(), &n);
  return {reinterpret_cast<const char *>(buf.data()), n};
}

bool equalSignatures(const std::string &left, const std::string &right) {
  return left.size() == SignatureBytes && right.size() == SignatureBytes &&
         CRYPTO_memcmp(left.data(), right.data(), SignatureBytes) == 0;
}

} // namespace

const settings::SessionKey *TokenCodec::findKey(std::uint32_t id) const {
  for (const auto &it : Keys)
    if (it.Id == id)
      return &it;
  return nullptr;
}

std::string TokenCodec::encode(const SessionMarks &marks) const {
  if (marks.empty() || Keys.empty())
    return {};
  wire::TokenBody body;
  body.set_version(Version);
  for (const auto &[database, list] : marks.all()) {
    for (const auto &it : list) {
      auto *entry = body.add_marks();
      entry->set_database(database.str());
      entry->set_term(it.WrittenIn.Number);
      entry->set_position(it.Position.Offset);
    }
  }
  wire::SignedToken token;
  token.set_key_id(Keys.front().Id);
  token.set_body(body.SerializeAsString());
  token.set_signature(sign(Keys.front().Secret, token.body()));
  return absl::WebSafeBase64Escape(token.SerializeAsString());
}

absl::StatusOr<SessionMarks> TokenCodec::decode(std::string_view token) const {
  if (token.size() > Limits.TokenBytes)
    return makeStatus(
        ResultCode::TokenTooLarge,
        absl::StrCat("a token may have ", Limits.TokenBytes, " bytes"));
  std::string bytes;
  wire::SignedToken parsed;
  if (!absl::WebSafeBase64Unescape(
          absl::string_view(token.data(), token.size()), &bytes) ||
      !parsed.ParseFromString(bytes))
    return makeStatus(ResultCode::TokenBroken, "the token can't be decoded");
  const auto *key = findKey(parsed.key_id());
  if (key == nullptr ||
      !equalSignatures(sign(key->Secret, parsed.body()), parsed.signature()))
    return makeStatus(ResultCode::TokenForged,
                      "the token isn't signed by a key in use");
  wire::TokenBody body;
  if (!body.ParseFromString(parsed.body()) || body.version() != Version)
    return makeStatus(ResultCode::TokenBroken,
                      "the token is of another version");
  SessionMarks marks;
  for (const auto &it : body.marks())
    marks.add(DatabaseId(it.database()),
              {Term{it.term()}, LogPosition{it.position()}});
  return marks;
}

absl::StatusOr<SessionMarks>
TokenCodec::decodeAll(const std::vector<std::string> &tokens) const {
  if (tokens.size() > Limits.Tokens)
    return makeStatus(
        ResultCode::TokenTooLarge,
        absl::StrCat("at most ", Limits.Tokens, " tokens may be sent"));
  SessionMarks merged;
  for (const auto &it : tokens) {
    auto marks = decode(it);
    if (!marks.ok())
      return marks.status();
    merged.merge(*marks);
  }
  return merged;
}

} // namespace stepledge::session

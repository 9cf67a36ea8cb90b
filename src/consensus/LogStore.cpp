// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "consensus/LogStore.h"

#include "absl/strings/str_cat.h"

#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <string>
#include <unistd.h>

namespace stepledge::consensus {

namespace {

constexpr std::string_view FilePrefix = "log-";
/// Bytes of the length and checksum before each record.
constexpr std::size_t HeaderBytes = 12;

absl::Status failure(const char *what) {
  return absl::UnavailableError(absl::StrCat(what, ": ", std::strerror(errno)));
}

std::string frame(const wire::Record &record) {
  const std::string body = record.SerializeAsString();
  const auto length = static_cast<std::uint32_t>(body.size());
  const std::uint64_t sum = XXH64(body.data(), body.size(), length);
  std::string out(HeaderBytes, '\0');
  std::memcpy(out.data(), &length, sizeof(length));
  std::memcpy(out.data() + sizeof(length), &sum, sizeof(sum));
  return out + body;
}

/// Reads the record at \p offset and moves \p offset behind it; returns nothing
/// for a torn record.
std::optional<wire::Record> readRecord(const std::string &bytes,
                                       std::size_t &offset) {
  if (bytes.size() - offset < HeaderBytes)
    return std::nullopt;
  std::uint32_t length = 0;
  std::uint64_t sum = 0;
  std::memcpy(&length, bytes.data() + offset, sizeof(length));
  std::memcpy(&sum, bytes.data() + offset + sizeof(length), sizeof(sum));
  if (length == 0 || bytes.size() - offset - HeaderBytes < length)
    return std::nullopt;
  const char *body = bytes.data() + offset + HeaderBytes;
  wire::Record record;
  if (XXH64(body, length, length) != sum ||
      !record.ParseFromArray(body, static_cast<int>(length)))
    return std::nullopt;
  offset += HeaderBytes + length;
  return record;
}

void applyRecord(wire::Record record, LoadedLog &log) {
  if (record.identity() != 0)
    log.Identity = record.identity();
  if (record.has_vote()) {
    log.State.Term = record.term();
    log.State.VotedFor = record.voted_for();
  }
  if (record.has_snapshot())
    log.State.Snapshot = std::move(*record.mutable_snapshot());
  if (!record.has_entry())
    return;
  auto &entries = log.State.Entries;
  while (!entries.empty() && entries.back().index() >= record.entry().index())
    entries.pop_back();
  entries.push_back(std::move(*record.mutable_entry()));
}

bool writeAll(int descriptor, const std::string &bytes, std::uint64_t offset) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto n =
        ::pwrite(descriptor, bytes.data() + done, bytes.size() - done,
                 static_cast<off_t>(offset + done));
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0)
      return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

std::string frameAll(const std::vector<wire::Record> &records) {
  std::string bytes;
  for (const auto &it : records)
    bytes += frame(it);
  return bytes;
}

} // namespace

LogStore::~LogStore() {
  if (Descriptor >= 0)
    ::close(Descriptor);
}

std::filesystem::path LogStore::fileOf(std::uint64_t number) const {
  return Folder / absl::StrCat(std::string(FilePrefix), number);
}

absl::Status LogStore::syncFolder() const {
  const int folder = ::open(Folder.c_str(), O_RDONLY | O_DIRECTORY);
  if (folder < 0)
    return failure("cannot open the data folder");
  const int rc = ::fsync(folder);
  ::close(folder);
  return rc == 0 ? absl::OkStatus() : failure("cannot sync the data folder");
}

absl::StatusOr<std::optional<LoadedLog>> LogStore::load() {
  std::error_code ec;
  std::filesystem::create_directories(Folder, ec);
  std::vector<std::uint64_t> numbers;
  for (const auto &it : std::filesystem::directory_iterator(Folder, ec)) {
    const std::string name = it.path().filename().string();
    if (name.starts_with(FilePrefix))
      numbers.push_back(
          std::strtoull(name.c_str() + FilePrefix.size(), nullptr, 10));
  }
  if (ec)
    return absl::UnavailableError("cannot list the data folder");
  std::sort(numbers.rbegin(), numbers.rend());
  if (!numbers.empty())
    Number = numbers.front();
  for (const auto number : numbers) {
    std::ifstream in(fileOf(number), std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(in), {}};
    LoadedLog log;
    bool isComplete = false;
    std::size_t offset = 0;
    while (auto record = readRecord(bytes, offset)) {
      isComplete |= record->is_complete();
      applyRecord(std::move(*record), log);
    }
    if (!isComplete)
      continue;
    Descriptor = ::open(fileOf(number).c_str(), O_RDWR);
    // NOTE: bytes behind a torn record were never acknowledged.
    if (Descriptor < 0 ||
        ::ftruncate(Descriptor, static_cast<off_t>(offset)) != 0 ||
        ::fsync(Descriptor) != 0)
      return failure("cannot truncate the torn end of the log");
    Size = offset;
    std::erase_if(log.State.Entries, [&](const wire::Entry &it) {
      return it.index() <= log.State.Snapshot.index();
    });
    return std::optional<LoadedLog>(std::move(log));
  }
  return std::optional<LoadedLog>();
}

absl::Status LogStore::append(const std::vector<wire::Record> &records) {
  if (Descriptor < 0)
    return absl::FailedPreconditionError("the log file is not open");
  const std::string bytes = frameAll(records);
  if (!writeAll(Descriptor, bytes, Size))
    return failure("cannot write the log");
  if (::fdatasync(Descriptor) != 0)
    return failure("cannot sync the log");
  Size += bytes.size();
  return absl::OkStatus();
}

absl::Status LogStore::rewrite(const std::vector<wire::Record> &records) {
  const std::uint64_t number = Number + 1;
  wire::Record end;
  end.set_is_complete(true);
  const std::string bytes = frameAll(records) + frame(end);
  const std::string path = fileOf(number).string();
  // NOTE: the configuration contains the clients' keys.
  constexpr mode_t OwnerOnly = 0600;
  const int descriptor =
      ::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC, OwnerOnly);
  if (descriptor < 0)
    return failure("cannot create a log file");
  if (!writeAll(descriptor, bytes, 0) || ::fsync(descriptor) != 0) {
    auto status = failure("cannot write a log file");
    ::close(descriptor);
    ::unlink(path.c_str());
    return status;
  }
  if (Descriptor >= 0)
    ::close(Descriptor);
  Descriptor = descriptor;
  Size = bytes.size();
  Number = number;
  if (auto status = syncFolder(); !status.ok())
    return status;
  removeOthers(number);
  return absl::OkStatus();
}

void LogStore::removeOthers(std::uint64_t number) const {
  std::error_code ec;
  std::vector<std::filesystem::path> old;
  for (const auto &it : std::filesystem::directory_iterator(Folder, ec))
    if (it.path() != fileOf(number))
      old.push_back(it.path());
  for (const auto &it : old)
    std::filesystem::remove(it, ec);
}

} // namespace stepledge::consensus

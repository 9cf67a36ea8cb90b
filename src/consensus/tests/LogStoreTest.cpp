// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The log file after power losses: synced records are kept, a torn end
/// is truncated, and an incomplete file is ignored.

#include "consensus/LogStore.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <string>

using namespace stepledge::consensus;

namespace {

namespace fs = std::filesystem;

/// A folder that is removed with this object.
class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string name = (fs::temp_directory_path() / "stepledge-XXXXXX");
    Path = ::mkdtemp(name.data());
  }
  ~TemporaryFolder() { fs::remove_all(Path); }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  fs::path Path;
};

std::vector<wire::Record> beginning(MemberNumber number) {
  wire::Record identity;
  identity.set_identity(number);
  wire::Record base;
  base.mutable_snapshot()->set_index(3);
  base.mutable_snapshot()->set_state("state");
  return {identity, base};
}

wire::Record entryAt(std::uint64_t index, std::uint64_t term = 1) {
  wire::Record record;
  record.mutable_entry()->set_index(index);
  record.mutable_entry()->set_term(term);
  record.mutable_entry()->set_command("command " + std::to_string(index));
  return record;
}

fs::path newestFile(const fs::path &folder) {
  fs::path newest;
  for (const auto &it : fs::directory_iterator(folder))
    if (newest.empty() || it.path() > newest)
      newest = it.path();
  return newest;
}

std::string bytesOf(const fs::path &path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

void writeBytes(const fs::path &path, const std::string &bytes) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

LoadedLog loadFrom(const fs::path &folder) {
  LogStore store(folder);
  auto loaded = store.load();
  REQUIRE(loaded.ok());
  REQUIRE(loaded->has_value());
  return **loaded;
}

} // namespace

TEST_CASE("LogStore_EmptyFolderHoldsNothing") {
  const TemporaryFolder folder;
  LogStore store(folder.Path / "data");
  const auto loaded = store.load();
  REQUIRE(loaded.ok());
  CHECK(!loaded->has_value());
}

TEST_CASE("LogStore_IsReadableByItsOwnerOnly") {
  TemporaryFolder folder;
  LogStore store(folder.Path);
  REQUIRE(store.load().ok());
  REQUIRE(store.rewrite(beginning(7)).ok());
  for (const auto &it : fs::directory_iterator(folder.Path))
    CHECK((it.status().permissions() &
           (fs::perms::group_all | fs::perms::others_all)) == fs::perms::none);
}

TEST_CASE("LogStore_KeepsAppendedRecords") {
  const TemporaryFolder folder;
  {
    LogStore store(folder.Path);
    REQUIRE(store.load().ok());
    REQUIRE(store.rewrite(beginning(7)).ok());
    REQUIRE(store.append({entryAt(4), entryAt(5)}).ok());
  }
  const auto log = loadFrom(folder.Path);
  CHECK(log.Identity == 7);
  CHECK(log.State.Snapshot.state() == "state");
  REQUIRE(log.State.Entries.size() == 2);
  CHECK(log.State.Entries[1].command() == "command 5");
}

TEST_CASE("LogStore_LaterEntryReplacesThoseFromItsIndexOn") {
  const TemporaryFolder folder;
  {
    LogStore store(folder.Path);
    REQUIRE(store.load().ok());
    REQUIRE(store.rewrite(beginning(7)).ok());
    REQUIRE(store.append({entryAt(4), entryAt(5), entryAt(6)}).ok());
    REQUIRE(store.append({entryAt(5, 2)}).ok());
  }
  const auto log = loadFrom(folder.Path);
  REQUIRE(log.State.Entries.size() == 2);
  CHECK(log.State.Entries[1].term() == 2);
}

TEST_CASE("LogStore_TornEndIsTruncatedAtEveryByte") {
  const TemporaryFolder folder;
  {
    LogStore store(folder.Path);
    REQUIRE(store.load().ok());
    REQUIRE(store.rewrite(beginning(7)).ok());
    REQUIRE(store.append({entryAt(4)}).ok());
  }
  const fs::path file = newestFile(folder.Path);
  const std::string synced = bytesOf(file);
  {
    LogStore store(folder.Path);
    REQUIRE(store.load().ok());
    REQUIRE(store.append({entryAt(5)}).ok());
  }
  const std::string complete = bytesOf(file);
  for (std::size_t n = synced.size(); n < complete.size(); ++n) {
    writeBytes(file, complete.substr(0, n));
    const auto log = loadFrom(folder.Path);
    CHECK(log.State.Entries.size() == 1);
    CHECK(bytesOf(file).size() == synced.size());
  }
}

TEST_CASE("LogStore_MissingWriteHidesTheLaterOnes") {
  const TemporaryFolder folder;
  std::size_t before = 0;
  std::size_t after = 0;
  {
    LogStore store(folder.Path);
    REQUIRE(store.load().ok());
    REQUIRE(store.rewrite(beginning(7)).ok());
    before = bytesOf(newestFile(folder.Path)).size();
    REQUIRE(store.append({entryAt(4)}).ok());
    after = bytesOf(newestFile(folder.Path)).size();
    REQUIRE(store.append({entryAt(5)}).ok());
  }
  const fs::path file = newestFile(folder.Path);
  std::string bytes = bytesOf(file);
  std::fill(bytes.begin() + static_cast<std::ptrdiff_t>(before),
            bytes.begin() + static_cast<std::ptrdiff_t>(after), '\0');
  writeBytes(file, bytes);
  CHECK(loadFrom(folder.Path).State.Entries.empty());
}

TEST_CASE("LogStore_IncompleteFileIsIgnored") {
  const TemporaryFolder folder;
  {
    LogStore store(folder.Path);
    REQUIRE(store.load().ok());
    REQUIRE(store.rewrite(beginning(7)).ok());
    REQUIRE(store.append({entryAt(4)}).ok());
  }
  const fs::path old = newestFile(folder.Path);
  const std::string kept = bytesOf(old);
  {
    LogStore store(folder.Path);
    REQUIRE(store.load().ok());
    auto records = beginning(7);
    records[1].mutable_snapshot()->set_index(4);
    REQUIRE(store.rewrite(records).ok());
  }
  // Power was lost before the new file was complete; the old one is still
  // there.
  const fs::path file = newestFile(folder.Path);
  const std::string complete = bytesOf(file);
  writeBytes(old, kept);
  for (std::size_t n = 0; n < complete.size(); n += 3) {
    writeBytes(file, complete.substr(0, n));
    const auto log = loadFrom(folder.Path);
    CHECK(log.State.Entries.size() == 1);
    CHECK(log.State.Snapshot.index() == 3);
  }
  writeBytes(file, complete);
  CHECK(loadFrom(folder.Path).State.Snapshot.index() == 4);
}

TEST_CASE("LogStore_DamagedBytesNeverYieldAnEntry") {
  const TemporaryFolder folder;
  {
    LogStore store(folder.Path);
    REQUIRE(store.load().ok());
    REQUIRE(store.rewrite(beginning(7)).ok());
    REQUIRE(store.append({entryAt(4), entryAt(5), entryAt(6)}).ok());
  }
  const fs::path file = newestFile(folder.Path);
  const std::string complete = bytesOf(file);
  std::mt19937_64 random(3);
  for (int i = 0; i < 300; ++i) {
    std::string bytes = complete;
    auto &damaged = bytes[random() % bytes.size()];
    damaged =
        static_cast<char>(damaged ^ static_cast<char>(1 + random() % 255));
    writeBytes(file, bytes);
    LogStore store(folder.Path);
    const auto loaded = store.load();
    REQUIRE(loaded.ok());
    if (!loaded->has_value())
      continue;
    std::uint64_t index = 4;
    for (const auto &it : (*loaded)->State.Entries)
      CHECK(it.command() == "command " + std::to_string(index++));
  }
}

TEST_CASE("LogStore_MutatedFilesYieldNoUnwrittenRecords") {
  std::mt19937_64 random(5);
  for (int i = 0; i < 400; ++i) {
    const TemporaryFolder folder;
    {
      LogStore store(folder.Path);
      REQUIRE(store.rewrite(beginning(9)).ok());
      REQUIRE(store.append({entryAt(4), entryAt(5), entryAt(6)}).ok());
    }
    const fs::path file = newestFile(folder.Path);
    std::string bytes;
    {
      std::ifstream in(file, std::ios::binary);
      bytes.assign(std::istreambuf_iterator<char>(in), {});
    }
    for (std::uint64_t n = 1 + random() % 4; n > 0; --n)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    if (random() % 3 == 0)
      bytes.resize(random() % bytes.size());
    std::ofstream(file, std::ios::binary | std::ios::trunc) << bytes;
    LogStore store(folder.Path);
    const auto loaded = store.load();
    if (!loaded.ok() || !*loaded)
      continue;
    CHECK((*loaded)->Identity == 9);
    for (const auto &it : (*loaded)->State.Entries)
      CHECK(it.command() == "command " + std::to_string(it.index()));
  }
}

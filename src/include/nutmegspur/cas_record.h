/// \file cas_record.h
/// A key of the store that is written by compare-and-swap only.
///
/// A write without a reply may still be executed seconds later. Each write of the record is
/// conditional on the revision that it replaces, so of several writes that were sent after the same
/// read at most one takes effect, and a value that was acknowledged or read is replaced by nothing
/// that was sent before.
#pragma once

#include <nutmegspur/platform.h>

#include <optional>
#include <string>

namespace nutmegspur {

/// What became of a write of the record.
enum class cas_result {
  applied,
  replaced, ///< The record has another revision: nothing was written.
  unknown,  ///< The write may have been executed, or may be later.
};

template <> struct enum_names<cas_result> {
  static constexpr std::array<enum_name<cas_result>, 3> table{{
      {cas_result::applied, "applied"},
      {cas_result::replaced, "replaced"},
      {cas_result::unknown, "unknown"},
  }};
};

/// One writer's knowledge of the record. After a write that was not applied for certain, the record
/// must be read before the next write.
class cas_record {
 public:
  explicit cas_record(std::string key) : key_(std::move(key)) {}

  [[nodiscard]] const std::string& key() const { return key_; }

  /// Whether the record can be written without being read first.
  [[nodiscard]] bool known() const { return revision_.has_value(); }

  /// The revision of the record as last read or written; zero if there is no record.
  [[nodiscard]] revision current() const { return revision_.value_or(revision{}); }

  /// Assumes that there is no record; a write that finds one is `replaced`.
  void assume_absent() { revision_ = revision{}; }

  /// The record must be read before it is written again.
  void forget() { revision_.reset(); }

  /// The call that reads the record.
  [[nodiscard]] kv_range read() const { return {key_, ""}; }

  /// Takes the revision from a reply to read(). Returns the value, null if there is no record.
  const std::string* on_read(const kv_range_reply& reply);
  /// The call that replaces the record by `value`; it must be known(). The caller may add
  /// conditions and other writes.
  [[nodiscard]] kv_txn write(std::string value, lease_id lease) const;
  /// Takes the revision from the reply to a write.
  cas_result on_written(const platform_reply& reply);

 private:
  std::string key_;
  std::optional<revision> revision_ = std::nullopt;
};

} // namespace nutmegspur

/// \file store_era.h
/// Positions in the store's history across restores of the store from a copy.
///
/// A restored store has lost its newest changes and gives their revisions out again, to other
/// changes; the platform counts its eras. A `revision` that this process holds therefore combines
/// the era and the store's own revision number, so that everything of a later era is newer. The
/// numbers alone are used only in calls to the store.
#pragma once

#include <nutmegspur/ids.h>
#include <nutmegspur/names.h>
#include <nutmegspur/platform.h>

#include <cstdint>
#include <optional>

namespace nutmegspur {

/// Bits of a position that hold the store's revision number; the era is above them.
inline constexpr int revision_number_bits = 40;

/// The position of the store's revision `number` in `era`. Zero, "before all revisions", stays
/// zero.
constexpr revision
store_position(std::int64_t era, std::int64_t number) {
  return number == 0 ? revision{} : revision{(era << revision_number_bits) + number};
}

constexpr std::int64_t
era_of(revision at) {
  return at.value >> revision_number_bits;
}

constexpr std::int64_t
number_of(revision at) {
  return at.value & ((std::int64_t{1} << revision_number_bits) - 1);
}

/// Whether a change at `found` may stem from the copy that the store was restored from, although
/// its position sorts after `held`: an old change keeps its number when the era rises.
constexpr bool
may_be_from_copy(revision found, revision held) {
  return era_of(found) > era_of(held) && number_of(found) <= number_of(held);
}

/// Replaces the revisions in a reply of the store by positions in `era`.
void add_era(platform_answer& answer, std::int64_t era);
/// Replaces positions in a request by the store's own revision numbers.
void remove_era(platform_request& request);

/// The era that the store is in, from its replies and from peers.
class store_era {
 public:
  /// What a reply of the store is worth.
  enum class verdict {
    usable,
    restored, ///< The first reply of a new era. The call was made in an earlier one: not usable.
    outdated, ///< The reply or its call belongs to an earlier era: not usable.
  };

  /// The current era; zero while none is known, or if the store states none.
  [[nodiscard]] std::int64_t current() const { return current_.value_or(0); }

  /// The current era; empty before the first reply.
  [[nodiscard]] std::optional<std::int64_t> known() const { return current_; }

  /// Judges a reply to a call that was made when `known()` was `sent_in`. `stated` is the era that
  /// the reply states, if any.
  verdict on_reply(std::optional<std::int64_t> sent_in, std::optional<std::int64_t> stated);
  /// A peer has read the store in `era`. Returns whether that is a new era. Has no effect before
  /// the first reply: a peer that has read nothing yet is in era 0.
  bool on_peer(std::int64_t era);

 private:
  std::optional<std::int64_t> current_;
};

template <> struct enum_names<store_era::verdict> {
  static constexpr std::array<enum_name<store_era::verdict>, 3> table{{
      {store_era::verdict::usable, "usable"},
      {store_era::verdict::restored, "restored"},
      {store_era::verdict::outdated, "outdated"},
  }};
};

} // namespace nutmegspur

/// \file zone_relays.h
/// Selects the instances that forward notices within and between availability zones (relays), and
/// the relay that this instance reports to.
///
/// The relays of all zones exchange notices about the instances that report to them (their branch),
/// and tell those instances about all others. Every instance computes the relays independently from
/// the list of instances by rendezvous order. A relay that stays silent is excluded for a while. In
/// a zone of a few instances all of them are relays.
///
/// Instances may disagree on the relays for a while, so nothing that must happen exactly once may
/// depend on them.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>

#include <map>
#include <optional>
#include <vector>

namespace nutmegspur {

/// The relays of all zones, as computed by one instance.
class zone_relays {
 public:
  /// Minimum number of relays of a zone; two may fail at the same time.
  static constexpr std::size_t min_relays = 3;
  /// A zone has one relay for this many instances, but at least `min_relays`.
  static constexpr std::size_t instances_per_relay = 8;
  /// A relay whose notices stop for this long is excluded; later if two of its rounds take longer.
  static constexpr milliseconds silence_timeout{1'500};
  /// The same for a relay that has not answered since it was selected. Shorter, because it is
  /// notified of its selection at once.
  static constexpr milliseconds first_answer_timeout{750};
  /// An instance that receives no notice from any instance for this long acts as a relay regardless
  /// of the list.
  static constexpr milliseconds isolation_timeout{3'000};
  /// An excluded relay becomes a candidate again after this time.
  static constexpr milliseconds exclusion_period{4'000};
  /// A longer interval between two steps means that this process itself was paused.
  static constexpr milliseconds self_pause_threshold{700};

  zone_relays(instance_id self, zone_id zone) : self_(std::move(self)), zone_(std::move(zone)) {}

  void add(const instance_id& id, const zone_id& zone);
  void remove(const instance_id& id);
  /// Records a notice sent by `id` itself, which sends the next one after `round`.
  void on_notice(const moment& now, const instance_id& id, milliseconds round);
  /// Excludes silent relays and selects the relays anew. Must be called several times in each
  /// `silence_timeout`.
  void step(const moment& now);

  /// Whether this instance is a relay of its zone.
  [[nodiscard]] bool is_relay() const { return !own_relay_.has_value(); }

  /// The relay that this instance reports to; empty if it is itself a relay.
  [[nodiscard]] const std::optional<instance_id>& own_relay() const { return own_relay_; }

  /// The relays of all zones except this instance, sorted by name.
  [[nodiscard]] const std::vector<instance_id>& other_relays() const { return other_relays_; }

  /// The zone of an instance other than this one; null if it is not known.
  [[nodiscard]] const zone_id* zone_of(const instance_id& id) const;

 private:
  struct member {
    zone_id zone;
    time_point last_notice{};
    milliseconds round{0}; ///< Interval of its notices; zero if it has sent none.
    time_point excluded_until{};
    std::optional<time_point> expected_since; ///< Empty while its notices are not expected.
  };

  [[nodiscard]] static bool silent(const moment& now, const member& it);
  void choose_relays(const moment& now);
  void update_expected(const moment& now);

  instance_id self_;
  zone_id zone_;
  std::map<instance_id, member> members_; ///< Excludes this instance.
  std::optional<instance_id> own_relay_;
  std::vector<instance_id> other_relays_;
  time_point last_step_{};
  time_point last_notice_from_any_{}; ///< Time of the last notice from any instance.
};

} // namespace nutmegspur

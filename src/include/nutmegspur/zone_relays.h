/// \file zone_relays.h
/// Which instances pass notices on between availability zones, and from which of them this instance
/// takes its own.
///
/// A few instances of each zone, its relays, tell each other of the work of the instances that
/// report to them (their branch), and tell these of everybody else's. All instances work the relays
/// out alike, from the list of instances, by rendezvous order; an expected relay that stays silent
/// is passed over for a while. In a zone of a few instances all of them are relays.
///
/// Nothing that must happen once depends on this: two views may differ for a while.
#pragma once

#include <nutmegspur/clock.h>
#include <nutmegspur/ids.h>

#include <map>
#include <optional>
#include <vector>

namespace nutmegspur {

class zone_relays {
 public:
  /// Relays that a zone has at least: two may be lost at once.
  static constexpr std::size_t min_relays = 3;
  /// Instances that one relay serves; a zone has more relays if it is larger.
  static constexpr std::size_t instances_per_relay = 8;
  /// A relay that should be heard and is silent for so long is passed over: a few notices' time.
  static constexpr milliseconds silence_timeout{1'500};
  /// The same for one that never answered since it was chosen: it is told of that at once.
  static constexpr milliseconds first_answer_timeout{750};
  /// Who hears nobody at all for so long is a relay, whatever the list says.
  static constexpr milliseconds isolation_timeout{3'000};
  /// A relay that was passed over is tried again after this.
  static constexpr milliseconds exclusion_period{4'000};
  /// A time between two steps over which this process was itself paused.
  static constexpr milliseconds self_pause_threshold{700};

  zone_relays(instance_id self, zone_id zone) : self_(std::move(self)), zone_(std::move(zone)) {}

  void add(const instance_id& id, const zone_id& zone);
  void remove(const instance_id& id);
  /// A notice came from `id` itself.
  void on_notice(const moment& now, const instance_id& id);
  /// Passes over relays that are silent. To be called several times in each `silence_timeout`.
  void step(const moment& now);

  /// Whether this instance is a relay of its zone.
  [[nodiscard]] bool is_relay() const { return !own_relay_.has_value(); }

  /// The relay that this instance reports to; empty if it is one itself.
  [[nodiscard]] const std::optional<instance_id>& own_relay() const { return own_relay_; }

  /// The relays of all zones but this instance, in the order of their names.
  [[nodiscard]] const std::vector<instance_id>& other_relays() const { return other_relays_; }

 private:
  struct member {
    zone_id zone;
    time_point last_notice{};
    time_point excluded_until{};
    std::optional<time_point> expected_since; ///< While it should be heard.
  };

  [[nodiscard]] static bool silent(const moment& now, const member& it);
  void choose_relays(const moment& now);
  void update_expected(const moment& now);

  instance_id self_;
  zone_id zone_;
  std::map<instance_id, member> members_; ///< Without this instance.
  std::optional<instance_id> own_relay_;
  std::vector<instance_id> other_relays_;
  time_point last_step_{};
  time_point last_notice_from_any_{}; ///< Of anybody.
};

} // namespace nutmegspur

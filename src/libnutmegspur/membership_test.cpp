// Tests of membership in a simulated cluster. They guard against instances that disagree on the
// ring after failures, pauses or network partitions, against leaving signals that do not reach
// every instance, and against engines polled by too few or too many instances.
// labels: P12
#include "testing/member_cluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegspur {
namespace {

using testing::cluster_instance;
using testing::member_cluster;

constexpr seconds propagation_limit{4}; ///< Bound for propagating a leaving signal.

// `zones` zones of `size` instances and 2 engines each, run until stable.
struct settled_cluster : member_cluster {
  explicit settled_cluster(int zones, int size) {
    for (int zone = 0; zone < zones; ++zone) {
      const std::string name = "z" + std::to_string(zone);
      for (int n = 0; n < size; ++n) {
        add(name, name + "-i" + std::to_string(n));
      }
      add_engine(name, name + "-e0");
      add_engine(name, name + "-e1");
    }
    run(seconds{8});
  }

  [[nodiscard]] bool rings_agree() const {
    return all_running([this](const cluster_instance& it) {
      std::size_t running = 0;
      for (const auto& [id, other] : instances) {
        running += other.running && other.listed.zone == it.listed.zone ? 1U : 0U;
      }
      return it.part->members().ring(it.listed.zone).size() == running;
    });
  }

  [[nodiscard]] bool all_agree_leaving(const upstream_id& upstream, bool leaving) const {
    return all_running([&](const cluster_instance& it) {
      const auto found = it.part->upstreams().find(upstream);
      return found != it.part->upstreams().end() && found->second.leaving == leaving;
    });
  }

  [[nodiscard]] instance_id relay(const std::string& zone, std::size_t n = 0) const {
    return instances.begin()->second.part->relays(zone_id{zone}).at(n);
  }
};

TEST(member_ring, parents_and_children_are_consistent) {
  for (const std::size_t size : {1U, 2U, 3U, 7U, 10U, 11U, 74U}) {
    std::size_t edges = 0;
    for (std::size_t rank = 0; rank < size; ++rank) {
      EXPECT_LE(child_ranks(rank, size).size(), tree_branching * 2 + 1);
      for (const auto child : child_ranks(rank, size)) {
        const auto parents = parent_ranks(child);
        EXPECT_NE(std::find(parents.begin(), parents.end(), rank), parents.end());
        ++edges;
      }
    }
    EXPECT_EQ(edges, size <= 1 ? 0 : 1 + 2 * (size - 2)) << size;
  }
}

RC_GTEST_PROP(member_ring, a_departure_keeps_the_order_of_the_others, ()) {
  const auto names =
      *rc::gen::unique<std::vector<std::string>>(rc::gen::nonEmpty(rc::gen::string<std::string>()));
  RC_PRE(!names.empty());
  std::vector<instance_id> all;
  all.reserve(names.size());
  for (const auto& it : names) {
    all.emplace_back(it);
  }
  auto order = rendezvous_order("zone", all);
  const instance_id gone = *rc::gen::elementOf(all);
  std::erase(all, gone);
  std::erase(order, gone);
  RC_ASSERT(rendezvous_order("zone", all) == order);
}

TEST(membership, a_zone_agrees_on_one_ring_with_bounded_connections) {
  settled_cluster cluster(3, 24);
  EXPECT_TRUE(cluster.rings_agree());
  std::size_t relays = 0;
  for (const auto& [id, it] : cluster.instances) {
    relays += it.part->is_relay() ? 1U : 0U;
    EXPECT_LE(cluster.connection_count(id), 2 * tree_branching + 2 + relay_count * 2) << id.value;
  }
  EXPECT_EQ(relays, 3 * relay_count);
}

TEST(membership, only_relays_read_the_instance_list) {
  settled_cluster cluster(2, 12);
  for (auto& [id, it] : cluster.instances) {
    it.list_calls = 0;
  }
  cluster.run(seconds{20});
  for (const auto& [id, it] : cluster.instances) {
    EXPECT_EQ(it.list_calls > 0, it.part->is_relay()) << id.value;
  }
}

TEST(membership, each_engine_is_polled_by_two_instances_of_its_zone) {
  settled_cluster cluster(3, 7);
  std::map<upstream_id, int> poller_counts;
  for (const auto& [id, it] : cluster.instances) {
    for (const auto& upstream : it.polled_engines) {
      EXPECT_EQ(it.part->upstreams().at(upstream).listed.zone, it.listed.zone);
      ++poller_counts[upstream];
    }
  }
  EXPECT_EQ(poller_counts.size(), 6U);
  for (const auto& [id, n] : poller_counts) {
    EXPECT_EQ(n, static_cast<int>(pollers_per_engine)) << id.value;
  }
}

TEST(membership, a_leaving_mark_in_the_list_reaches_every_instance) {
  settled_cluster cluster(3, 24);
  for (auto& it : cluster.list) {
    it.leaving = it.leaving || it.name == "z1-e0";
  }
  EXPECT_TRUE(cluster.run_until(
      [&] { return cluster.all_agree_leaving(upstream_id{"z1-e0"}, true); }, propagation_limit));
}

TEST(membership, a_closing_signal_of_an_upstream_reaches_every_instance) {
  settled_cluster cluster(3, 24);
  const instance_id poller = [&] {
    for (const auto& [id, it] : cluster.instances) {
      if (!it.polled_engines.empty() && !it.part->is_relay()) {
        return id;
      }
    }
    return cluster.relay("z0");
  }();
  const upstream_id upstream = cluster.instances.at(poller).polled_engines.front();
  cluster.deliver(poller, upstream_closing{upstream, false, seconds{5}});
  EXPECT_TRUE(cluster.run_until([&] { return cluster.all_agree_leaving(upstream, true); },
                                propagation_limit));
  // It is still listed as live and still reports, but the closing signal holds.
  cluster.deliver(poller, engine_report{upstream, {}, 0, false, {}, {}, cluster.clock.now()});
  cluster.run(seconds{10});
  EXPECT_TRUE(cluster.all_agree_leaving(upstream, true));
}

TEST(membership, a_report_makes_a_gone_upstream_available_on_every_instance) {
  settled_cluster cluster(2, 7);
  const upstream_id upstream{"z0-e0"};
  const instance_id poller = cluster.relay("z0");
  cluster.deliver(poller, upstream_closing{upstream, true, seconds{0}});
  ASSERT_TRUE(cluster.run_until([&] { return cluster.all_agree_leaving(upstream, true); },
                                propagation_limit));
  cluster.deliver(poller, engine_report{upstream, {}, 0, false, {}, {}, cluster.clock.now()});
  EXPECT_TRUE(cluster.run_until([&] { return cluster.all_agree_leaving(upstream, false); },
                                propagation_limit));
}

TEST(membership, a_drain_takes_effect_at_once) {
  settled_cluster cluster(1, 3);
  const upstream_id upstream{"z0-e0"};
  for (auto& [id, it] : cluster.instances) {
    it.drains.insert(upstream);
  }
  cluster.round();
  EXPECT_TRUE(cluster.all_running([&](const cluster_instance& it) {
    return !it.part->upstreams().at(upstream).takes_work(cluster.clock.now().boot);
  }));
}

TEST(membership, dead_relays_are_replaced_and_signals_still_propagate) {
  settled_cluster cluster(2, 24);
  const instance_id first = cluster.relay("z0", 0);
  const instance_id second = cluster.relay("z0", 1);
  cluster.instances.at(first).running = false;
  cluster.instances.at(second).running = false;
  ASSERT_TRUE(cluster.run_until([&] { return cluster.rings_agree(); }, seconds{20}));
  for (auto& it : cluster.list) {
    it.leaving = it.leaving || it.name == "z0-e1";
  }
  EXPECT_TRUE(cluster.run_until(
      [&] { return cluster.all_agree_leaving(upstream_id{"z0-e1"}, true); }, seconds{10}));
}

TEST(membership, a_paused_instance_rejoins_the_ring) {
  settled_cluster cluster(1, 7);
  const instance_id id = cluster.relay("z0");
  cluster.instances.at(id).running = false;
  ASSERT_TRUE(cluster.run_until([&] { return cluster.rings_agree(); }, seconds{20}));
  cluster.instances.at(id).running = true;
  EXPECT_TRUE(cluster.run_until([&] { return cluster.rings_agree(); }, seconds{20}));
}

TEST(membership, a_partitioned_zone_keeps_its_state_and_recovers) {
  settled_cluster cluster(2, 7);
  const zone_id partitioned{"z1"};
  cluster.reachable = [&](const auto& one, const auto& other) {
    return (one.listed.zone == partitioned) == (other.listed.zone == partitioned);
  };
  cluster.list_unavailable = true;
  cluster.run(seconds{30});
  EXPECT_TRUE(cluster.rings_agree());
  EXPECT_TRUE(cluster.all_running(
      [](const cluster_instance& it) { return it.part->upstreams().size() == 4; }));
  cluster.reachable = [](const auto&, const auto&) { return true; };
  cluster.list_unavailable = false;
  cluster.run(seconds{25});
  cluster.deliver(cluster.relay("z0"), upstream_closing{upstream_id{"z0-e0"}, false, seconds{5}});
  EXPECT_TRUE(cluster.run_until(
      [&] { return cluster.all_agree_leaving(upstream_id{"z0-e0"}, true); }, propagation_limit));
}

TEST(membership, a_partition_within_a_zone_recovers) {
  settled_cluster cluster(1, 2);
  cluster.reachable = [](const auto&, const auto&) { return false; };
  cluster.run(seconds{20});
  EXPECT_FALSE(cluster.rings_agree());
  cluster.reachable = [](const auto&, const auto&) { return true; };
  EXPECT_TRUE(cluster.run_until([&] { return cluster.rings_agree(); }, seconds{30}));
}

TEST(membership, a_leaving_instance_loses_its_rank_on_every_instance) {
  settled_cluster cluster(1, 12);
  const instance_id id = cluster.relay("z0");
  cluster.deliver(id, stop_requested{});
  EXPECT_FALSE(cluster.instances.at(id).part->is_relay());
  EXPECT_TRUE(cluster.run_until(
      [&] {
        return cluster.all_running([&](const cluster_instance& it) { return !it.part->alive(id); });
      },
      propagation_limit));
}

TEST(membership, loads_reach_the_zone_and_states_reach_all_zones) {
  settled_cluster cluster(2, 24);
  const upstream_id upstream{"z0-e0"};
  engine_load load;
  load.waiting_tokens = 77;
  const engine_state state{engine_role::decode, model_id{"m"}, "v1", {"a"}};
  for (const auto& [id, it] : cluster.instances) {
    if (!it.polled_engines.empty() && it.polled_engines.front() == upstream) {
      cluster.deliver(id, engine_report{upstream, {3}, 4, false, state, load, cluster.clock.now()});
      break;
    }
  }
  EXPECT_TRUE(cluster.run_until(
      [&] {
        return cluster.all_running([&](const cluster_instance& it) {
          const auto& held = it.part->upstreams().at(upstream);
          return held.state == state && (held.load == load || it.listed.zone != zone_id{"z0"});
        });
      },
      seconds{10}));
}

TEST(membership, a_new_instance_joins_the_ring_and_receives_the_list) {
  settled_cluster cluster(1, 12);
  const instance_id id = cluster.add("z0", "late");
  EXPECT_TRUE(cluster.run_until([&] { return cluster.rings_agree(); }, seconds{10}));
  EXPECT_EQ(cluster.instances.at(id).part->upstreams().size(), 2U);
}

TEST(membership, an_update_source_without_a_list_does_not_clear_the_lists_of_others) {
  settled_cluster cluster(1, 3);
  cluster.list_unavailable = true;
  // The relays restart without state, while the third instance still has the list.
  cluster.start(cluster.relay("z0", 0));
  cluster.start(cluster.relay("z0", 1));
  std::size_t min_known_upstreams = 2;
  cluster.run_until(
      [&] {
        std::size_t known_upstreams = 0;
        for (const auto& [id, it] : cluster.instances) {
          known_upstreams = std::max(known_upstreams, it.part->upstreams().size());
        }
        min_known_upstreams = std::min(min_known_upstreams, known_upstreams);
        return false;
      },
      seconds{20});
  EXPECT_EQ(min_known_upstreams, 2U);
}

// Instances fail, pause, resume and restart in random order. Once that ends, the rings must agree
// again and a leaving signal must reach every instance.
RC_GTEST_PROP(membership, rings_agree_after_any_faults, ()) {
  settled_cluster cluster(2, 6);
  const auto faults = *rc::gen::inRange(1, 6);
  for (int n = 0; n < faults; ++n) {
    std::vector<instance_id> ids;
    for (const auto& [id, it] : cluster.instances) {
      ids.push_back(id);
    }
    const instance_id id = *rc::gen::elementOf(ids);
    cluster_instance& it = cluster.instances.at(id);
    if (it.running) {
      it.running = false;
    } else if (*rc::gen::arbitrary<bool>()) {
      it.running = true;
    } else {
      cluster.start(id);
    }
    cluster.run(milliseconds{*rc::gen::inRange(0, 8000)});
  }
  for (auto& [id, it] : cluster.instances) {
    it.running = true;
  }
  RC_ASSERT(cluster.run_until([&] { return cluster.rings_agree(); }, seconds{60}).has_value());
  cluster.run(seconds{15});
  cluster.deliver(cluster.instances.begin()->first,
                  upstream_closing{upstream_id{"z0-e0"}, false, seconds{5}});
  RC_ASSERT(cluster
                .run_until([&] { return cluster.all_agree_leaving(upstream_id{"z0-e0"}, true); },
                           propagation_limit)
                .has_value());
}

} // namespace
} // namespace nutmegspur

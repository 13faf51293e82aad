//! Roll-outs: tables of single plans, and simulated roll-outs in which engines stop responding.

use bilberryford_coord::{EngineView, LoadState, RolloutPlan, RolloutView, RolloutWait};
use bilberryford_types::WeightVersion;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

fn version(name: &str) -> WeightVersion {
    name.parse().unwrap()
}

/// Engines from one character each: a letter for the version served; or, with version `a`, `+` for loading, `?` for
/// unresponsive, `!` for gone and `x` for leaving.
fn engines(sketch: &str) -> Vec<EngineView> {
    let engine = |(index, mark): (usize, char)| EngineView {
        endpoint: format!("engine-{index:02}").parse().unwrap(),
        is_leaving: mark == 'x',
        served: match mark {
            'x' | '+' | '?' | '!' => vec![version("a")],
            letter => vec![version(&letter.to_string())],
        },
        load: match mark {
            '+' => LoadState::Loading,
            '?' => LoadState::Unresponsive,
            '!' => LoadState::Gone,
            _ => LoadState::Idle,
        },
    };
    sketch.chars().enumerate().map(engine).collect()
}

fn plan(sketch: &str, in_force: Option<&str>, floor: u32, is_settled: bool) -> RolloutPlan {
    let in_force = in_force.map(version);
    RolloutView {
        target: &version("b"),
        in_force: in_force.as_ref(),
        previous: Some(&version("a")),
        is_settled,
        engines: &engines(sketch),
        min_available: floor,
        max_loads: 2,
    }
    .plan()
}

#[rstest]
#[case::nothing_agreed_yet("aaab", None, 1, Some("a"), 0, None)]
#[case::first_deployment("bbbb", None, 1, Some("b"), 0, None)]
#[case::two_loads_at_most("aaaa", Some("a"), 1, None, 2, Some(RolloutWait::Loads))]
#[case::the_store_is_busy("++aa", Some("a"), 1, None, 0, Some(RolloutWait::Loads))]
#[case::unresponsive_counts_as_loading("?+aa", Some("a"), 1, None, 0, Some(RolloutWait::Loads))]
#[case::gone_does_not_count("!aaa", Some("a"), 1, None, 2, Some(RolloutWait::Loads))]
#[case::at_the_floor("aaa", Some("a"), 3, None, 0, Some(RolloutWait::Floor))]
#[case::one_above_the_floor("aaa", Some("a"), 2, None, 1, Some(RolloutWait::Floor))]
#[case::half_serve_the_target("aabb", Some("a"), 1, Some("b"), 0, None)]
#[case::as_many_as_the_floor_allows("aaab", Some("a"), 3, Some("b"), 0, None)]
#[case::both_versions_count_for_the_floor("aaab", Some("b"), 3, None, 1, Some(RolloutWait::Floor))]
#[case::less_than_half("aaab", Some("a"), 1, None, 2, Some(RolloutWait::Loads))]
#[case::a_third_version_goes_first("aacc", Some("a"), 2, None, 2, Some(RolloutWait::Loads))]
#[case::the_rest_after_the_change("aabb", Some("b"), 2, None, 2, None)]
#[case::leaving_engines_get_no_order("xxbb", Some("b"), 1, None, 0, None)]
#[case::done("bbbb", Some("b"), 1, None, 0, None)]
fn a_plan_follows_from_what_engines_report(
    #[case] sketch: &str,
    #[case] in_force: Option<&str>,
    #[case] floor: u32,
    #[case] put_in_force: Option<&str>,
    #[case] orders: usize,
    #[case] wait: Option<RolloutWait>,
) {
    let plan = plan(sketch, in_force, floor, true);
    assert_eq!(plan.put_in_force, put_in_force.map(version));
    assert_eq!((plan.orders.len(), plan.wait), (orders, wait));
}

#[test]
fn engines_of_the_old_version_are_ordered_only_after_instances_observed_the_new_one() {
    let plan = plan("aabb", Some("b"), 1, false);
    assert!(plan.orders.is_empty());
    assert_eq!(plan.wait, Some(RolloutWait::Settling));
}

struct Fleet {
    rng: StdRng,
    /// The version served and the remaining steps of a load.
    engines: Vec<(WeightVersion, u32)>,
    unresponsive: Vec<u32>,
    in_force: Option<WeightVersion>,
    previous: Option<WeightVersion>,
}

impl Fleet {
    fn new(seed: u64, count: usize) -> Self {
        let engines = vec![(version("a"), 0); count];
        Self {
            rng: StdRng::seed_from_u64(seed),
            engines,
            unresponsive: vec![0; count],
            in_force: None,
            previous: None,
        }
    }

    fn views(&self) -> Vec<EngineView> {
        let states = self.engines.iter().zip(&self.unresponsive).enumerate();
        let view = |(index, ((served, remaining), unresponsive)): (
            usize,
            (&(WeightVersion, u32), &u32),
        )| {
            let load = match (unresponsive, remaining) {
                (0, 0) => LoadState::Idle,
                (0, _) => LoadState::Loading,
                _ => LoadState::Unresponsive,
            };
            let endpoint = format!("engine-{index:02}").parse().unwrap();
            EngineView { endpoint, is_leaving: false, served: vec![served.clone()], load }
        };
        states.map(view).collect()
    }

    /// The number of engines that new requests may use.
    fn usable(&self) -> usize {
        let versions = self.in_force.iter().chain(&self.previous);
        versions.map(|version| self.serving(version)).sum()
    }

    fn serving(&self, version: &WeightVersion) -> usize {
        self.engines
            .iter()
            .filter(|(served, remaining)| served == version && *remaining == 0)
            .count()
    }

    /// Advances time by one step: loads end, and engines become unresponsive or respond again.
    fn advance(&mut self, target: &WeightVersion) {
        for (index, (served, remaining)) in self.engines.iter_mut().enumerate() {
            if *remaining == 1 {
                *served = target.clone();
            }
            *remaining = remaining.saturating_sub(1);
            let unresponsive = &mut self.unresponsive[index];
            *unresponsive = unresponsive.saturating_sub(1);
            if self.rng.random_ratio(1, 30) {
                *unresponsive = self.rng.random_range(1..4);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_roll_out_ends_and_keeps_its_bounds(seed: u64, count in 2_usize..20, floor_share in 0_u32..100) {
        let floor = u32::try_from(count).unwrap() * floor_share / 100;
        let target = version("b");
        let mut fleet = Fleet::new(seed, count);
        let mut is_done = false;
        for _ in 0..600 {
            let views = fleet.views();
            let plan = RolloutView {
                target: &target,
                in_force: fleet.in_force.as_ref(),
                previous: fleet.previous.as_ref(),
                is_settled: true,
                engines: &views,
                min_available: floor,
                max_loads: 2,
            }
            .plan();
            if let Some(version) = plan.put_in_force {
                fleet.previous = fleet.in_force.replace(version);
                prop_assert!(fleet.usable() >= floor as usize);
            }
            let before = fleet.usable();
            for endpoint in &plan.orders {
                let index: usize = endpoint.as_str().strip_prefix("engine-").unwrap().parse().unwrap();
                prop_assert_eq!(fleet.engines[index].1, 0, "an engine that is loading was ordered");
                fleet.engines[index].1 = fleet.rng.random_range(1..6);
            }
            let loading = fleet.engines.iter().filter(|(_, remaining)| *remaining > 0).count();
            prop_assert!(loading <= 2);
            let after = fleet.usable();
            prop_assert!(after >= floor as usize || after == before);
            fleet.advance(&target);
            is_done |= fleet.serving(&target) == count;
        }
        prop_assert!(is_done, "the roll-out did not end");
    }
}

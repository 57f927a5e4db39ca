//! Expert maps: all ranks use the same map in every forward pass, and a plan is made only if it saves more than it
//! costs.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use bilberryloft_coordination::expert_map::Costs;
use bilberryloft_coordination::expert_map::Placement;
use bilberryloft_coordination::expert_map::Popularity;
use bilberryloft_coordination::expert_map::Preset;
use bilberryloft_coordination::expert_map::RankMessage;
use bilberryloft_coordination::expert_map::RankReply;
use bilberryloft_coordination::expert_map::RankSwitch;
use bilberryloft_coordination::expert_map::Shape;
use bilberryloft_coordination::expert_map::SwitchPlanner;
use bilberryloft_coordination::expert_map::align;
use bilberryloft_coordination::expert_map::pack;
use bilberryloft_coordination::expert_map::plan_moves;
use bilberryloft_state::expert_map_register::Decision;
use bilberryloft_state::expert_map_register::DecisionRegister;
use quickcheck::Arbitrary;
use quickcheck::Gen;

const RANKS: u64 = 4;
/// Number of random runs.
const SEEDS: u64 = 500;
/// Number of events in one run.
const EVENTS: usize = 3_000;

/// A message in the network, with the token of its planner and the number of its rank.
enum Message {
    ToRank(u64, u64, RankMessage),
    ToPlanner(u64, u64, RankReply),
}

/// A group with its planners, some of which are outdated without knowing it, and the decision register.
struct Group {
    ranks: Vec<RankSwitch>,
    planners: BTreeMap<u64, SwitchPlanner>,
    register: DecisionRegister,
    network: Vec<Message>,
    incarnation: u64,
    /// Number of forward passes run with each map version.
    steps: BTreeMap<u64, u64>,
    /// Whether a restarting rank settles the register; false breaks the protocol.
    settles_on_restart: bool,
    /// Whether an armed rank waits for the decision; false breaks the protocol.
    waits_for_decision: bool,
    violation: Option<String>,
}

impl Group {
    fn new(settles_on_restart: bool, waits_for_decision: bool) -> Group {
        Group {
            ranks: (0..RANKS).map(|_| RankSwitch::new()).collect(),
            planners: BTreeMap::new(),
            register: DecisionRegister::default(),
            network: Vec::new(),
            incarnation: 1,
            steps: BTreeMap::new(),
            settles_on_restart,
            waits_for_decision,
            violation: None,
        }
    }

    /// Runs one forward pass on all ranks, unless one of them has to wait for a decision.
    fn step(&mut self) {
        let version_of =
            |rank: &RankSwitch| match (rank.version_for_next_step(), self.waits_for_decision) {
                (None, false) => Some(0),
                (version, _) => version,
            };
        let versions: Vec<Option<u64>> = self.ranks.iter().map(version_of).collect();
        if versions.iter().any(|it| it.is_none()) {
            return;
        }
        if versions.iter().any(|it| *it != versions[0]) {
            self.violation.get_or_insert(format!(
                "step {:?} ran with maps {versions:?}",
                self.ranks[0].next_step()
            ));
        }
        *self.steps.entry(versions[0].unwrap()).or_default() += 1;
        self.ranks.iter_mut().for_each(RankSwitch::do_step);
    }

    fn start_planner(&mut self) {
        let token = self.register.next_token();
        let version = self.register.last_version() + 1;
        self.planners.insert(token, SwitchPlanner::new(version, token, RANKS, 3));
        if self.planners.len() > 2 {
            self.planners.pop_first();
        }
    }

    fn send_all(&mut self) {
        for (token, planner) in &self.planners {
            for (rank, message) in planner.messages() {
                self.network.push(Message::ToRank(*token, rank, message));
            }
        }
    }

    fn decide(&mut self, token: u64) {
        let Some(planner) = self.planners.get(&token) else {
            return;
        };
        let Some(decision) = planner.decision() else {
            return;
        };
        let version = planner.version;
        let decision = self.register.decide(version, decision, token);
        self.planners.remove(&token);
        for rank in 0..RANKS {
            self.network.push(Message::ToRank(
                token,
                rank,
                RankMessage::Decided { version, decision },
            ));
        }
    }

    fn deliver(&mut self, at: usize, keeps_copy: bool) {
        if self.network.is_empty() {
            return;
        }
        let at = at % self.network.len();
        let message = match keeps_copy {
            true => match &self.network[at] {
                Message::ToRank(token, rank, message) => Message::ToRank(*token, *rank, *message),
                Message::ToPlanner(token, rank, reply) => Message::ToPlanner(*token, *rank, *reply),
            },
            false => self.network.swap_remove(at),
        };
        match message {
            Message::ToRank(token, rank, message) => {
                if let Some(reply) = self.ranks[rank as usize].receive(message) {
                    self.network.push(Message::ToPlanner(token, rank, reply));
                }
            }
            Message::ToPlanner(token, rank, reply) => {
                if let Some(planner) = self.planners.get_mut(&token) {
                    planner.receive(rank, reply);
                }
            }
        }
    }

    /// An armed rank asks the register for the decision; if it is not patient, it aborts an undecided switch.
    fn resolve(&mut self, rank: usize, is_patient: bool) {
        let Some((version, _)) = self.ranks[rank].undecided() else {
            return;
        };
        if !is_patient && self.ranks[rank].version_for_next_step().is_none() {
            self.register.decide(version, Decision::Abort, 0);
        }
        if let Some(decision) = self.register.get(version) {
            self.ranks[rank].receive(RankMessage::Decided { version, decision });
        }
    }

    fn restart(&mut self, rank: usize) {
        self.incarnation += 1;
        let next_step = self.ranks[rank].next_step();
        let mut scratch = self.register.clone();
        let register = if self.settles_on_restart { &mut self.register } else { &mut scratch };
        self.ranks[rank] =
            RankSwitch::restart(self.incarnation, next_step, register.settle(next_step));
    }
}

/// Runs one seed; returns the first violation, if any, and the number of maps that came into use.
fn run(seed: u64, settles_on_restart: bool, waits_for_decision: bool) -> (Option<String>, usize) {
    let mut random = Gen::from_size_and_seed(100, seed);
    let mut group = Group::new(settles_on_restart, waits_for_decision);
    for _ in 0..EVENTS {
        let number = usize::arbitrary(&mut random);
        let rank = u8::arbitrary(&mut random) as usize % RANKS as usize;
        match u32::arbitrary(&mut random) % 100 {
            0..=59 => group.deliver(number, false),
            60..=61 => group.deliver(number, true),
            62..=74 => group.step(),
            75 => group.start_planner(),
            76..=80 => group.send_all(),
            81..=90 => {
                let token = group.planners.keys().nth(number % 2).copied();
                group.decide(token.unwrap_or(0));
            }
            91..=95 => group.resolve(rank, true),
            96 if number % 4 == 0 => group.resolve(rank, false),
            97 if number % 4 == 0 => group.restart(rank),
            98 if number % 8 == 0 => drop(group.planners.pop_first()),
            _ if !group.network.is_empty() => {
                let at = number % group.network.len();
                group.network.swap_remove(at);
            }
            _ => {}
        }
        if group.violation.is_some() {
            break;
        }
    }
    (group.violation, group.steps.len())
}

#[test]
fn ranks_use_the_same_map_in_every_step() {
    let mut maps = 0;
    for seed in 0..SEEDS {
        let (violation, count) = run(seed, true, true);
        assert_eq!(violation, None, "seed {seed}");
        maps += count;
    }
    assert!(maps as u64 > 2 * SEEDS, "too few maps came into use for a meaningful test: {maps}");
}

#[test]
fn check_finds_ranks_that_restart_without_settling() {
    assert!((0..20 * SEEDS).any(|seed| run(seed, false, true).0.is_some()));
}

#[test]
fn check_finds_ranks_that_do_not_wait_for_the_decision() {
    assert!((0..SEEDS).any(|seed| run(seed, true, false).0.is_some()));
}

fn zipf(experts: usize, exponent: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=experts).map(|it| 1.0 / (it as f64).powf(exponent)).collect();
    let total: f64 = weights.iter().sum();
    weights.iter().map(|it| it / total).collect()
}

#[test]
fn pack_reaches_the_skew_that_replication_allows() {
    let cases = [
        (Shape { experts: 256, ranks: 32, slots: 8 }, 5.37),
        (Shape { experts: 256, ranks: 32, slots: 9 }, 1.008),
        (Shape { experts: 64, ranks: 8, slots: 8 }, 1.88),
        (Shape { experts: 64, ranks: 8, slots: 9 }, 1.001),
    ];
    for (shape, expected) in cases {
        let popularity = zipf(shape.experts, 1.0);
        let skew = pack(shape, &popularity).skew(&popularity);
        assert!(skew < expected + 0.01, "{shape:?}: {skew}");
    }
}

#[test]
fn align_undoes_a_renumbering_of_ranks() {
    let shape = Shape { experts: 64, ranks: 8, slots: 9 };
    let popularity = zipf(64, 1.0);
    let map = pack(shape, &popularity);
    let mut slots: Vec<u16> = (0..8).rev().flat_map(|it| map.rank(it).to_vec()).collect();
    let renumbered = Placement::from_slots(shape, std::mem::take(&mut slots)).unwrap();
    assert_eq!(align(&renumbered, &map).weight_loads_from(&map), 0);
}

#[test]
fn plan_makes_the_load_even_with_the_counted_moves() {
    let shape = Shape { experts: 256, ranks: 32, slots: 9 };
    let popularity = zipf(256, 1.0);
    let current = Placement::in_order(shape);
    let costs = Costs::from_preset(Preset::Skew, 50.0, 30.0);
    let plan = plan_moves(&current, &popularity, &costs).unwrap();
    assert!(plan.skew_after <= 1.03, "{}", plan.skew_after);
    assert_eq!(plan.placement.weight_loads_from(&current), plan.moves.len());
    assert!(
        plan_moves(&plan.placement, &popularity, &costs).is_none(),
        "no plan is made for an even map"
    );
}

#[test]
fn plan_is_not_made_when_it_costs_more_than_it_saves() {
    let shape = Shape { experts: 64, ranks: 8, slots: 9 };
    let popularity = zipf(64, 1.0);
    let cheap = Costs::from_preset(Preset::Skew, 50.0, 30.0);
    let expensive = Costs { load_ms: 1e9, ..cheap };
    let current = Placement::in_order(shape);
    assert!(plan_moves(&current, &popularity, &cheap).is_some());
    assert!(plan_moves(&current, &popularity, &expensive).is_none());
}

#[test]
fn popularity_halves_over_its_half_life() {
    let mut popularity = Popularity::new(2, 1_000);
    popularity.add(&[1_000, 0], 0);
    popularity.add(&[0, 500], 1_000);
    let shares = popularity.shares();
    assert!((shares[0] - shares[1]).abs() < 1e-9, "{shares:?}");
}

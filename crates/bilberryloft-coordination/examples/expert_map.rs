//! The load of a layer becomes uneven, a plan moves a few expert weights, and four ranks switch maps at the same
//! forward pass.

use bilberryloft_coordination::expert_map::Costs;
use bilberryloft_coordination::expert_map::Preset;
use bilberryloft_coordination::expert_map::RankMessage;
use bilberryloft_coordination::expert_map::RankSwitch;
use bilberryloft_coordination::expert_map::Shape;
use bilberryloft_coordination::expert_map::SwitchPlanner;
use bilberryloft_coordination::expert_map::pack;
use bilberryloft_coordination::expert_map::plan_moves;
use bilberryloft_state::expert_map_register::DecisionRegister;

pub fn main() {
    let shape = Shape { experts: 64, ranks: 4, slots: 17 };
    let mut popularity: Vec<f64> = (1..=64).map(|it| 1.0 / f64::from(it)).collect();
    let current = pack(shape, &popularity);
    popularity.swap(0, 40);
    let costs = Costs::from_preset(Preset::Skew, 50.0, 30.0);
    let plan = plan_moves(&current, &popularity, &costs).expect("a plan saves more than it costs");
    println!(
        "skew {:.3} to {:.3} with {} weights",
        plan.skew_before,
        plan.skew_after,
        plan.moves.len()
    );

    let mut register = DecisionRegister::default();
    let mut ranks: Vec<RankSwitch> = (0..4).map(|_| RankSwitch::new()).collect();
    let mut planner = SwitchPlanner::new(1, register.next_token(), 4, 2);
    while planner.decision().is_none() {
        for (rank, message) in planner.messages() {
            if let Some(reply) = ranks[rank as usize].receive(message) {
                planner.receive(rank, reply);
            }
        }
    }
    let decision = planner.decision().expect("all ranks are armed");
    let decision = register.decide(planner.version, decision, planner.token);
    for rank in &mut ranks {
        rank.receive(RankMessage::Decided { version: planner.version, decision });
    }
    for step in 0..4 {
        let versions: Vec<Option<u64>> =
            ranks.iter().map(RankSwitch::version_for_next_step).collect();
        println!("step {step}: maps {versions:?}");
        assert!(versions.iter().all(|it| *it == versions[0]));
        ranks.iter_mut().for_each(RankSwitch::do_step);
    }
}

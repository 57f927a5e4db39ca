//! The examples run and their assertions hold.

#[path = "../examples/expert_map.rs"]
mod expert_map;
#[path = "../examples/picker.rs"]
mod picker;
#[path = "../examples/quorum.rs"]
mod quorum;

#[test]
fn example_expert_map_runs() {
    expert_map::main();
}

#[test]
fn example_picker_runs() {
    picker::main();
}

#[test]
fn example_quorum_runs() {
    quorum::main();
}

//! An entry picks among three targets, counts its dispatches to them, and skips one that is draining.

use bilberryloft_coordination::pick::Picker;
use bilberryloft_coordination::pick::TargetView;

pub fn main() {
    let mut picker = Picker::new(1);
    for name in ["forecast-writer-1", "forecast-writer-2", "forecast-writer-3"] {
        let view = TargetView::new(name, "10.0.0.1:7402", 1, 8);
        picker.upsert(view, &["forecast-writer".to_string()]);
    }
    picker.set_eligible("forecast-writer-3", false);
    for number in 0..8 {
        let pick = picker.pick("forecast-writer", 0, &[], 1_000).expect("two targets are eligible");
        picker.note_dispatch(pick.key);
        println!("request {number} goes to {} ({})", picker.view(pick.key).name, pick.rule);
    }
    for name in ["forecast-writer-1", "forecast-writer-2"] {
        let key = picker.key(name).expect("the target is known");
        assert_eq!(picker.view(key).own_open, 4);
    }
}

//! Stand-ins and scripts of the review: one case for each name on the command line.
//!
//! Exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.

mod config;
mod first_start;
mod fleet;
mod founding;
mod group;
mod http;
mod json;
mod random;
mod record;
mod replaced;
mod replica;
mod second_answers;
mod two_disks;

use record::Record;

/// Ends a case that could not run.
pub fn cannot_run(reason: &str) -> ! {
    std::panic::panic_any(CannotRun(reason.to_string()));
}

struct CannotRun(String);

fn main() {
    std::panic::set_hook(Box::new(|_| {}));
    let mut arguments = std::env::args().skip(1);
    let (name, path) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&path);
    record.line(&format!("case {name}, with the disruption: {trouble}"));
    let ran = std::panic::catch_unwind(|| match name.as_str() {
        "founding" => founding::run(&record, trouble),
        "second-answers" => second_answers::run(&record, trouble),
        "two-disks" => two_disks::run(&record, trouble),
        "replaced" => replaced::run(&record, trouble),
        "first-start" => first_start::run(&record, trouble),
        _ => cannot_run("no such case"),
    });
    let (text, code) = match ran {
        Ok(true) => ("the rule held".to_string(), 0),
        Ok(false) => ("the rule was broken".to_string(), 1),
        Err(error) => match error.downcast_ref::<CannotRun>() {
            Some(CannotRun(reason)) => (format!("could not run: {reason}"), 2),
            None => ("could not run: an error of the case itself".to_string(), 2),
        },
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}

//! Stand-ins of the platform, its engines and its clients, and the cases of the second review.
//!
//! `stand-in CASE RECORD` exits with 1 if the case's rule was broken, 0 if it held, 2 if it couldn't run.

mod case_bodies;
mod case_drill;
mod case_owner;
mod case_restart;
mod case_takeup;
mod engine;
mod fleet;
mod http;
mod json;
mod record;
mod store;

use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(&'static str),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("stand-in CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::new();
    record.add(format!("case {case}, trouble: {has_trouble}"));
    let verdict = match case.as_str() {
        "bodies" => case_bodies::run(has_trouble, &record),
        "restart" => case_restart::run(has_trouble, &record),
        "drill" => case_drill::run(has_trouble, &record),
        "takeup" => case_takeup::run(has_trouble, &record),
        "owner" => case_owner::run(has_trouble, &record),
        _ => Verdict::NotRun("unknown case"),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("THE RULE WAS BROKEN".to_owned(), 1),
        Verdict::NotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.add(text.clone());
    record.write(&path);
    println!("{text}");
    ExitCode::from(code)
}

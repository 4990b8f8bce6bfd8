//! Stand-ins for the third review: a store, engines and clients that follow the users' pages, around
//! processes of `sardine-serve`.
//!
//! `stand-in CASE DIR` plays a case from the root of the repository and writes `DIR/record.txt`. It exits
//! with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. `TROUBLE=0` leaves the
//! disruption out.

mod case_drill;
mod case_long;
mod case_order;
mod case_split;
mod case_timeouts;
mod client;
mod engine;
mod fleet;
mod http;
mod json;
mod record;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// Whether the rule held in a case that could run.
pub type Played = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, dir] = arguments.as_slice() else {
        eprintln!("usage: stand-in CASE DIR");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let played = match case.as_str() {
        "drill" => case_drill::play(&record, has_trouble),
        "long" => case_long::play(&record, has_trouble),
        "order" => case_order::play(&record, has_trouble),
        "split" => case_split::play(&record, has_trouble),
        "timeouts" => case_timeouts::play(&record, has_trouble),
        other => Err(format!("no case {other:?}")),
    };
    let code = match &played {
        Ok(true) => {
            record.say("the rule held");
            0
        }
        Ok(false) => {
            record.say("the rule was BROKEN");
            1
        }
        Err(fault) => {
            record.say(&format!("the case couldn't run: {fault}"));
            2
        }
    };
    record.write(&PathBuf::from(dir).join("record.txt"));
    ExitCode::from(code)
}

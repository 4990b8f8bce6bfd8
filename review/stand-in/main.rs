//! Stand-ins for the scripts of the review: the platform's store, servers and clients. Runs one case
//! against `sardine-serve` and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
//! run.
//!
//! Uses the standard library only. `review/build.sh` builds it.

mod client;
mod engine;
mod fleet;
mod http;
mod json;
mod record;
mod store;

mod cases;

use std::path::PathBuf;
use std::time::Duration;

use record::Record;

/// A case is ended after this time, whatever it is doing.
const LONGEST_CASE: Duration = Duration::from_secs(112);

/// How a case ended.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Why a case couldn't run.
pub type Failure = Box<dyn std::error::Error>;

/// What a case gets.
pub struct Setup {
    /// Where the case writes what it sees.
    pub record: Record,
    /// Whether the disruption happens.
    pub trouble: bool,
    /// Folder for settings files and logs.
    pub folder: PathBuf,
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(record), Some(folder)) = (args.next(), args.next(), args.next()) else {
        eprintln!("usage: stand-in CASE RECORD FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&record) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("can't write {record}: {error}");
            std::process::exit(2);
        }
    };
    let setup = Setup {
        record: record.clone(),
        trouble,
        folder: folder.into(),
    };
    watch_time(record.clone());
    record.line(&format!("case {name}, trouble {trouble}"));
    let run = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cases::run(&name, &setup)));
    let code = match run {
        Ok(Ok(Verdict::Held)) => 0,
        Ok(Ok(Verdict::Broken)) => 1,
        Ok(Err(failure)) => {
            record.line(&format!("the case couldn't run: {failure}"));
            2
        }
        Err(_) => {
            record.line("the case couldn't run: the stand-in failed");
            2
        }
    };
    fleet::end_all();
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}

/// Ends the case, and all processes that it started, when it takes too long.
fn watch_time(record: Record) {
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST_CASE);
        record.line("the case couldn't run: it took too long");
        fleet::end_all();
        std::process::exit(2);
    });
}

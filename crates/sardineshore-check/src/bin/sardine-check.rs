//! `sardine-check`: searches the models of the core protocols for violated invariants.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use sardineshore_check::run::{MODELS, check, variants};

const ABOUT: &str = "Searches the models of the core protocols for violated invariants";

fn command() -> Command {
    Command::new("sardine-check")
        .version(env!("CARGO_PKG_VERSION"))
        .about(ABOUT)
        .arg(
            Arg::new("model")
                .value_name("MODEL")
                .value_parser(MODELS.to_vec())
                .help("Model to search; all models if none is given"),
        )
        .arg(
            Arg::new("broken")
                .long("broken")
                .value_name("VARIANT")
                .help("Broken variant to search, or `all`; the search must find a violation"),
        )
        .arg(
            Arg::new("faults")
                .long("faults")
                .value_name("N")
                .value_parser(value_parser!(u8))
                .help("Faults that may happen in one run, in place of the model's default"),
        )
}

fn main() -> ExitCode {
    let args = command().get_matches();
    let models = match args.get_one::<String>("model") {
        Some(model) => vec![model.as_str()],
        None => MODELS.to_vec(),
    };
    let all_expected = models.into_iter().map(|model| search(model, &args)).min();
    if all_expected.unwrap_or(true) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Searches one model as the arguments say; returns whether each result is the expected one.
fn search(model: &str, args: &ArgMatches) -> bool {
    let faults = args.get_one::<u8>("faults").copied();
    let broken = args.get_one::<String>("broken").map(String::as_str);
    let searches = match broken {
        None => vec![None],
        Some("all") => variants(model).into_iter().map(Some).collect(),
        Some(variant) => vec![Some(variant)],
    };
    let results = searches.into_iter().map(|variant| {
        let Some(checked) = check(model, variant, faults) else {
            eprintln!("{model} has no variant {}", variant.unwrap_or_default());
            return false;
        };
        println!("{checked} ({:.1} s)", checked.took.as_secs_f64());
        checked.as_expected()
    });
    results.min().unwrap_or(true)
}

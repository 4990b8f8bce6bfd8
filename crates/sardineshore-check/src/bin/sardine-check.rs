//! `sardine-check`: command-line program that runs the model checker.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use sardineshore_check::run::{MODELS, check, variants};

const ABOUT: &str = "Model-checks the core protocols for violated invariants";

fn command() -> Command {
    Command::new("sardine-check")
        .version(env!("CARGO_PKG_VERSION"))
        .about(ABOUT)
        .arg(
            Arg::new("model")
                .value_name("MODEL")
                .value_parser(MODELS.to_vec())
                .help("Model to check; all models if none is given"),
        )
        .arg(
            Arg::new("broken")
                .long("broken")
                .value_name("VARIANT")
                .help("Broken variant to check, or `all`; the check must find a violation"),
        )
        .arg(
            Arg::new("faults")
                .long("faults")
                .value_name("N")
                .value_parser(value_parser!(u8))
                .help("Maximum number of faults in one run, instead of the default of the model"),
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

/// Checks one model as the arguments say; returns whether every result is the expected one.
fn search(model: &str, args: &ArgMatches) -> bool {
    let faults = args.get_one::<u8>("faults").copied();
    let broken = args.get_one::<String>("broken").map(String::as_str);
    let searches = match broken {
        None => vec![None],
        Some("all") => variants(model).into_iter().map(Some).collect(),
        Some(variant) => vec![Some(variant)],
    };
    let results = searches.into_iter().map(|variant| {
        let Some(result) = check(model, variant, faults) else {
            eprintln!("{model} has no variant {}", variant.unwrap_or_default());
            return false;
        };
        println!("{result} ({:.1} s)", result.duration.as_secs_f64());
        result.is_expected()
    });
    results.min().unwrap_or(true)
}

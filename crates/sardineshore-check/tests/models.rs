//! Every invariant holds in every state of each model, and each broken variant is caught.

use expect_test::{Expect, expect, expect_file};
use sardineshore_check::run::{MODELS, check, variants};

fn holds(model: &str, expected: &Expect) {
    let checked = check(model, None, None).unwrap();
    expected.assert_eq(&checked.to_string());
}

#[test]
fn claim_holds() {
    holds(
        "claim",
        &expect!["claim: 112298 states, depth 22, every invariant holds"],
    );
}

#[test]
fn config_holds() {
    holds(
        "config",
        &expect!["config: 151265 states, depth 10, every invariant holds"],
    );
}

#[test]
fn lease_fencing_holds() {
    holds(
        "lease-fencing",
        &expect!["lease-fencing: 184426 states, depth 29, every invariant holds"],
    );
}

#[test]
fn lease_plain_holds() {
    holds(
        "lease-plain",
        &expect!["lease-plain: 64663 states, depth 26, every invariant holds"],
    );
}

#[test]
fn broken_variants_are_caught() {
    for model in MODELS {
        for variant in variants(model) {
            let checked = check(model, Some(variant), None).unwrap();
            let path = format!("counterexamples/{model}.{variant}.txt");
            expect_file![path].assert_eq(&checked.to_string());
            assert!(checked.as_expected(), "{model} {variant}");
        }
    }
}

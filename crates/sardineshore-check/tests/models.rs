//! Checks that all invariants hold in all states of each model, and that the search finds the
//! violation of each broken variant.

use expect_test::{Expect, expect, expect_file};
use sardineshore_check::run::{MODELS, check, variants};

fn holds(model: &str, expected: &Expect) {
    let result = check(model, None, None).unwrap();
    expected.assert_eq(&result.to_string());
}

#[test]
fn claim_holds() {
    holds(
        "claim",
        &expect!["claim: 112298 states, depth 22, all invariants hold"],
    );
}

#[test]
fn config_holds() {
    holds(
        "config",
        &expect!["config: 151265 states, depth 10, all invariants hold"],
    );
}

#[test]
fn lease_fencing_holds() {
    holds(
        "lease-fencing",
        &expect!["lease-fencing: 184426 states, depth 29, all invariants hold"],
    );
}

#[test]
fn lease_plain_holds() {
    holds(
        "lease-plain",
        &expect!["lease-plain: 64663 states, depth 26, all invariants hold"],
    );
}

#[test]
fn broken_variants_are_caught() {
    for model in MODELS {
        for variant in variants(model) {
            let result = check(model, Some(variant), None).unwrap();
            let path = format!("counterexamples/{model}.{variant}.txt");
            expect_file![path].assert_eq(&result.to_string());
            assert!(result.is_expected(), "{model} {variant}");
        }
    }
}

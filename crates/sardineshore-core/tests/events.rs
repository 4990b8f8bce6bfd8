//! The event catalogue: its numbers and names are unique, and the generated page matches it.

use std::collections::BTreeSet;
use std::fmt::Write as _;

use expect_test::expect_file;
use sardineshore_core::event::catalogue;

const HEAD: &str = "# Events\n\n\
    Every log line carries the number of one of these events under the key `event`. The page is\n\
    written from the code by `UPDATE_EXPECT=1 cargo test -p sardineshore-core --test events`, and\n\
    the same test fails when page and code differ.\n\n\
    | number | event | meaning | what to do |\n| --- | --- | --- | --- |\n";

#[test]
fn catalogue_numbers_unique() {
    let all = catalogue();
    let numbers: BTreeSet<u32> = all.iter().map(|kind| kind.number).collect();
    let names: BTreeSet<&str> = all.iter().map(|kind| kind.name).collect();
    assert_eq!(numbers.len(), all.len());
    assert_eq!(names.len(), all.len());
}

#[test]
fn catalogue_page_equal() {
    let mut page = HEAD.to_owned();
    for kind in catalogue() {
        let row = format!(
            "| {} | `{}` | {} | {} |",
            kind.number, kind.name, kind.meaning, kind.action
        );
        writeln!(page, "{row}").expect("a text grows");
    }
    expect_file!["../../../docs/EVENTS.md"].assert_eq(&page);
}

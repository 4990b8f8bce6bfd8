//! Text of others in log lines.

use sardineshore_serve::logging::shorten;

#[test]
fn shorten_cuts_long_text_between_characters() {
    assert_eq!(shorten("short".to_owned()), "short");
    for text in ["a".repeat(70_000), "\u{20ac}".repeat(70_000)] {
        let short = shorten(text.clone());
        let kept = short.strip_suffix("...").unwrap();
        assert!(text.starts_with(kept) && (190..=200).contains(&kept.len()));
    }
}

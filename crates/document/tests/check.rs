//! Each fault of a document is reported with the span of the text at fault.

use bilberryford_document::Document;
use rstest::rstest;

const GOOD: &str = include_str!("../../../examples/demo.toml");
const DIGEST: &str = "d62030fe71fec8fe1c185c0ed9ce0dcf9e63432c24a15a6d1ce51d50c3af1999";

/// Returns the line number, the marked text and the message of each diagnostic.
fn findings(text: &str) -> Vec<(usize, String, String)> {
    let Err(diagnostics) = Document::parse("test.toml", text) else { return Vec::new() };
    let describe = |finding: &bilberryford_document::Diagnostic| {
        let span = finding.span.expect("the diagnostic has a span");
        let marked = &text[span.offset()..span.offset() + span.len()];
        let line = text[..span.offset()].matches('\n').count() + 1;
        (line, marked.to_owned(), finding.message.clone())
    };
    diagnostics.findings.iter().map(describe).collect()
}

/// Returns the example with the first `from` replaced by `to`.
fn with(from: &str, to: &str) -> String {
    assert!(GOOD.contains(from), "{from}");
    GOOD.replacen(from, to, 1)
}

#[test]
fn example_documents_are_valid() {
    for text in [
        GOOD,
        include_str!("../../../examples/gebhartl.toml"),
        include_str!("../../../examples/gallagher.toml"),
    ] {
        assert!(findings(text).is_empty(), "{:?}", findings(text));
    }
}

#[rstest]
#[case::unknown_field(
    "priority = \"standard\"",
    "prioritty = \"standard\"",
    18,
    "prioritty",
    "unknown field `prioritty`"
)]
#[case::unknown_top_level_field(
    "[placement]",
    "[plaicement]",
    4,
    "plaicement",
    "unknown field `plaicement`"
)]
#[case::unknown_field_of_a_route(
    "idempotent = false",
    "idempotent = false\nsingleshot = true",
    51,
    "singleshot",
    "unknown field `singleshot`"
)]
#[case::duplicate_key("share = 2", "share = 2\nshare = 3", 20, "share", "duplicate key")]
#[case::invalid_value(
    "priority = \"batch\"",
    "priority = \"urgent\"",
    25,
    "\"urgent\"",
    "unknown variant `urgent`"
)]
#[case::wrong_type("share = 2", "share = \"two\"", 19, "\"two\"", "invalid type")]
#[case::invalid_name("\"wels-milk\"", "\"wels milk\"", 16, "\"wels milk\"", "the name holds ' '")]
#[case::duplicate_team(
    "name = \"steyr-infant\"",
    "name = \"wels-milk\"",
    23,
    "\"wels-milk\"",
    "the team wels-milk is given twice, first on line 16"
)]
#[case::duplicate_pool(
    "[[pools]]\nname = \"desk\"",
    "[[pools]]\nname = \"serving\"\nkind = \"engine\"\n\n[[pools]]\nname = \"desk\"",
    35,
    "\"serving\"",
    "the pool serving is given twice, first on line 30"
)]
#[case::missing_pool(
    "pool = \"serving\"",
    "pool = \"servin\"",
    40,
    "\"servin\"",
    "there is no pool servin"
)]
#[case::pool_of_wrong_kind(
    "pool = \"serving\"",
    "pool = \"desk\"",
    40,
    "\"desk\"",
    "pool desk holds services, not engines"
)]
#[case::zero_share("share = 1", "share = 0", 26, "0", "needs a share of at least 1")]
#[case::zero_limit(
    "share = 1\nmax_in_flight = 256",
    "share = 1\nmax_in_flight = 0",
    27,
    "0",
    "needs a limit of at least 1"
)]
#[case::prefix_without_slash(
    "prefix = \"/orders\"",
    "prefix = \"orders\"",
    49,
    "\"orders\"",
    "must start with '/'"
)]
#[case::status_outside_errors(
    "status_path = \"/orders/{key}\"",
    "status_path = \"/orders/{key}\"\nnot_run_statuses = [200]",
    52,
    "[200]",
    "from 400 to 599"
)]
#[case::negative_weight(
    "link_weight_ms = 0.2",
    "link_weight_ms = -0.2",
    6,
    "-0.2",
    "finite and not negative"
)]
fn fault_is_reported_with_its_span(
    #[case] from: &str,
    #[case] to: &str,
    #[case] line: usize,
    #[case] marked: &str,
    #[case] message: &str,
) {
    let found = findings(&with(from, to));
    let expected = (line, marked);
    let first = found.first().expect("at least one fault");
    assert_eq!((first.0, first.1.as_str()), expected, "{found:?}");
    assert!(first.2.contains(message), "{found:?}");
    assert_eq!(found.len(), 1, "{found:?}");
}

#[test]
fn key_digest_of_two_teams_is_reported_at_the_second() {
    let first = "3d0af1d683ad4cc0cd99b80e5efe6fc15ca7d7626d42458f95f8e900b3252b2f";
    let found = findings(&GOOD.replacen(DIGEST, first, 1));
    assert_eq!((found[0].0, found[0].1.as_str()), (17, format!("\"{first}\"").as_str()));
}

#[test]
fn all_faults_are_reported_together() {
    let text = with("share = 1", "share = 0").replacen("pool = \"serving\"", "pool = \"no\"", 1);
    assert_eq!(findings(&text).len(), 2);
}

#[test]
fn for_environment_changes_only_the_environment() {
    let promoted = Document::for_environment(GOOD, &"production".parse().unwrap()).unwrap();
    assert_eq!(promoted, with("\"trial\"", "\"production\""));
}

//! Checks that the pages in `docs/` match the code that they describe.

use sapphireford::caller::script::Script;
use sapphireford::error::{ErrorKind, Ran};

const CALLERS: &str = include_str!("../docs/callers.md");

/// Guards against an error table for callers that differs from the errors that the entries return.
#[test]
fn the_error_table_matches_the_error_kinds() {
    let expected = ErrorKind::ALL.iter().map(|kind| {
        let answer = kind.answer();
        let ran = match answer.ran {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        };
        let retry = answer
            .retry_after
            .map_or(String::from("-"), |delay| delay.as_millis().to_string());
        format!("`{}` | {} | {ran} | {retry}", answer.name, answer.status)
    });
    let section = CALLERS
        .split("\n## ")
        .find(|text| text.starts_with("Errors"));
    let rows = section
        .unwrap()
        .lines()
        .filter(|line| line.starts_with("| `"));
    let found = rows.map(|row| {
        let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
        assert!(!cells[4].is_empty(), "no meaning: {row}");
        cells[..4].join(" | ")
    });
    let (found, expected): (Vec<_>, Vec<_>) = (found.collect(), expected.collect());
    assert_eq!(found, expected);
}

/// Guards against an example script that `sapphireford-call` refuses.
#[test]
fn the_example_script_is_valid() {
    let start = CALLERS.find("{\"steps\"").unwrap();
    let end = CALLERS[start..].find("```").unwrap();
    let script: Script = serde_json::from_str(&CALLERS[start..start + end]).unwrap();
    assert_eq!(script.steps.len(), 12);
}

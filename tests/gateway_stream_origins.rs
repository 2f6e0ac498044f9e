//! Where a stream began, from the rows of its program.

use bytes::Bytes;
use sapphireford::process::gateway::stream_origins::{find_origin, program_row, stream_origin};
use sapphireford_platform::store::Row;
use yare::parameterized;

fn row(key: &str, value: &[u8]) -> Row {
    Row {
        key: key.to_string(),
        value: Some(Bytes::copy_from_slice(value)),
        version: 1,
    }
}

fn stream_row(request_id: &str, version: &str) -> Row {
    let origin = stream_origin("llm", version);
    row(&format!("stream/{request_id}/{origin:016x}"), b"")
}

/// The rows of a program whose streams begin at v1 unless they have a row.
fn rows(streams: &[(&str, &str)]) -> Vec<Row> {
    let program = program_row("program", stream_origin("llm", "v1"));
    let program = Row {
        key: program.row.key,
        value: program.value,
        version: 1,
    };
    let streams = streams.iter().map(|(id, version)| stream_row(id, version));
    std::iter::once(program).chain(streams).collect()
}

#[parameterized(
    without_a_row = { &[("b", "v2")], Some("a"), Some("v1") },
    with_a_row = { &[("a", "v2"), ("b", "v3")], Some("a"), Some("v2") },
    with_two_rows = { &[("a", "v2"), ("a", "v1")], Some("a"), None },
    with_the_start_of_another_id = { &[("a/b", "v2")], Some("a"), Some("v1") },
    unnamed_and_all_alike = { &[], None, Some("v1") },
    unnamed_and_one_differs = { &[("b", "v2")], None, None },
)]
fn a_stream_is_found_only_where_it_certainly_began(
    streams: &[(&str, &str)],
    request_id: Option<&str>,
    expected: Option<&str>,
) {
    let expected = expected.map(|version| stream_origin("llm", version));
    assert_eq!(find_origin(&rows(streams), request_id), expected);
}

#[test]
fn the_origin_of_a_program_without_rows_is_unknown() {
    assert_eq!(find_origin(&[], Some("a")), None);
    assert_eq!(find_origin(&[row("program", b"v1")], Some("a")), None);
}

#[test]
fn origins_differ_by_service_and_by_version() {
    let origin = stream_origin("llm", "v1");
    assert_ne!(origin, stream_origin("llm", "v1.1"));
    assert_ne!(origin, stream_origin("other", "v1"));
}

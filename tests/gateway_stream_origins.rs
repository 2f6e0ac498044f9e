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

/// The rows of a record after the first one of a stream.
fn later_rows(order: &str, request_id: &str, version: &str) -> [Row; 2] {
    let origin = stream_origin("llm", version);
    let later = format!("later/{order}/{origin:016x}/{request_id}");
    [stream_row(request_id, version), row(&later, b"")]
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

/// Guards against a stream that goes on at the version of a server that never answered: it was sent
/// to a server of another version after that, by this gateway or by one that got it by relay.
#[parameterized(
    sent_back = { &[("0.1", "a", "v1")], Some("a"), Some("v1") },
    sent_to_a_third = { &[("0.1", "a", "v1"), ("0.2", "a", "v3")], Some("a"), Some("v3") },
    sent_to_the_first_again = { &[("0.1", "a", "v1"), ("0.2", "a", "v2")], Some("a"), Some("v2") },
    relayed = { &[("0.9", "a", "v3"), ("1.0", "a", "v1")], Some("a"), Some("v1") },
    relayed_ten_times = { &[("9.0", "a", "v3"), ("10.0", "a", "v1")], Some("a"), Some("v1") },
    of_another_stream = { &[("0.1", "b", "v1")], Some("a"), Some("v2") },
    of_an_id_that_ends_alike = { &[("0.1", "b/a", "v1")], Some("a"), Some("v2") },
    unnamed = { &[("0.1", "a", "v1")], None, None },
    without_an_order = { &[("first", "a", "v1")], Some("a"), None },
)]
fn the_last_record_of_a_stream_tells_its_version(
    records: &[(&str, &str, &str)],
    request_id: Option<&str>,
    expected: Option<&str>,
) {
    let records = records.iter().rev();
    let later = records.flat_map(|(order, id, version)| later_rows(order, id, version));
    let rows: Vec<Row> = later.chain(rows(&[("a", "v2")])).collect();
    let expected = expected.map(|version| stream_origin("llm", version));
    assert_eq!(find_origin(&rows, request_id), expected);
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

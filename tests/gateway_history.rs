//! How the turns of conversations are split into rows, tested without a network.

use std::rc::Rc;

use sapphireford::process::gateway::history::{TurnChain, TurnChainCache};

/// Guards against lost or reordered turns when a chain does not fit into one row.
#[test]
fn turn_chain_of_any_length_is_rebuilt_from_its_rows() {
    const ROW_LIMIT_BYTES: usize = 100;
    let mut chain = TurnChain::default();
    let mut rows = Vec::new();
    let mut expected = Vec::new();
    for number in 0..40 {
        let id = format!("turn-{number}");
        let (input, output) = (format!("in {number};"), format!("out {number};"));
        let row = chain.next_row(input.as_bytes(), output.as_bytes(), ROW_LIMIT_BYTES);
        assert!(row.text.len() <= ROW_LIMIT_BYTES);
        expected.extend_from_slice(input.as_bytes());
        expected.extend_from_slice(output.as_bytes());
        chain = chain.with_turn(id.clone(), &row, input.as_bytes(), output.as_bytes());
        rows.push((id, row));
        let mut read_rows = Vec::new();
        let mut next = rows.last().map(|(id, _)| id.clone());
        while let Some(id) = next {
            let (_, row) = rows.iter().find(|(other, _)| *other == id).expect("a row");
            next = row.base.clone();
            read_rows.push(row.clone());
        }
        let last_id = format!("turn-{number}");
        assert_eq!(TurnChain::from_rows(last_id, &read_rows), chain);
        assert_eq!(chain.text, expected);
    }
}

/// Guards against sub-agents that see each other's turns when they continue the same turn.
#[test]
fn two_turns_can_continue_the_same_turn() {
    let first = TurnChain::default().next_row(b"a;", b"b;", 100);
    let chain = TurnChain::default().with_turn("t-1".to_string(), &first, b"a;", b"b;");
    let first_branch = chain.next_row(b"c;", b"d;", 100);
    let second_branch = chain.next_row(b"e;", b"f;", 100);
    assert_eq!(first_branch.text, b"a;b;c;d;");
    assert_eq!(second_branch.text, b"a;b;e;f;");
}

/// Guards against memory use that grows with every turn.
#[test]
fn cache_evicts_the_oldest_chains() {
    let mut cache = TurnChainCache::default();
    let row = TurnChain::default().next_row(&[b'x'; 1 << 20], b"", 2 << 20);
    let chain = TurnChain::default().with_turn("t".to_string(), &row, &[b'x'; 1 << 20], b"");
    let chain = Rc::new(chain);
    for number in 0..6 {
        cache.insert(format!("t-{number}"), chain.clone());
    }
    assert!(cache.get("t-0").is_none());
    assert!(cache.get("t-5").is_some());
}

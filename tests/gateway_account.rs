//! The token accounts of programs, without a network.

use std::time::{Duration, Instant};

use sapphireford::process::gateway::account::{Account, Decision};

const BUDGET: u64 = 800;
const TURN: u64 = 100;

fn open() -> (Account, Instant, Instant) {
    let now = Instant::now();
    (Account::new(BUDGET, now), now, now + Duration::from_secs(4))
}

/// Reserves tokens as a ledger does, with rows of others that hold `others` tokens.
fn reserve(account: &mut Account, others: u64, deadline: Instant, now: Instant) -> u64 {
    let Decision::NeedsTokens(needed) = account.admit(TURN, deadline, now) else {
        panic!("the account needs no tokens");
    };
    account.extend(needed, others, TURN)
}

/// Guards against a turn that starts before its tokens are durable.
#[test]
fn the_first_turn_needs_a_reservation() {
    let (mut account, now, deadline) = open();
    let verdict = account.admit(TURN, deadline, now);
    assert_eq!(verdict, Decision::NeedsTokens(TURN + BUDGET / 4));
    account.extend(TURN + BUDGET / 4, 0, TURN);
    assert_eq!(account.admit(TURN, deadline, now), Decision::Granted(1));
}

/// Guards against a call to the store for each turn.
#[test]
fn later_turns_are_admitted_from_the_reservation() {
    let (mut account, now, deadline) = open();
    reserve(&mut account, 0, deadline, now);
    for _ in 0..5 {
        let Decision::Granted(grant_id) = account.admit(TURN, deadline, now) else {
            panic!("the reservation covers the turn");
        };
        account.settle(grant_id, 30, now);
    }
}

/// Guards against overspending by turns in progress at the same time.
#[test]
fn turns_in_progress_count_with_all_they_could_spend() {
    let (mut account, now, deadline) = open();
    account.extend(BUDGET, 0, TURN);
    let mut granted = 0;
    while let Decision::Granted(_) = account.admit(TURN, deadline, now) {
        granted += 1;
    }
    assert_eq!(granted, 8);
    let verdict = account.admit(TURN, deadline, now);
    assert_eq!(
        verdict,
        Decision::Exceeded {
            spent_tokens: BUDGET
        }
    );
}

/// Guards against overspending by two gateways that look after the same program: at the most, the
/// budget is exceeded by one turn.
#[test]
fn two_accounts_exceed_the_budget_by_one_turn_at_most() {
    let (mut first, now, deadline) = open();
    let mut second = Account::new(BUDGET, now);
    let mut rows = [0, 0];
    let mut granted = 0;
    for round in 0..100 {
        let own = round % 2;
        let account = if own == 0 { &mut first } else { &mut second };
        match account.admit(TURN, deadline, now) {
            Decision::Granted(_) => granted += TURN,
            Decision::NeedsTokens(needed) => {
                rows[own] += needed;
                rows[own] -= account.extend(needed, rows[1 - own], TURN);
            }
            Decision::Exceeded { .. } => {}
        }
    }
    assert!(granted >= BUDGET, "{granted} tokens granted");
    assert!(granted <= BUDGET + TURN, "{granted} tokens granted");
}

/// Guards against a program that starts again with a full budget after its gateway has died.
#[test]
fn the_rows_of_a_dead_gateway_count_as_spent() {
    let (mut account, now, deadline) = open();
    reserve(&mut account, BUDGET, deadline, now);
    let verdict = account.admit(TURN, deadline, now);
    assert_eq!(
        verdict,
        Decision::Exceeded {
            spent_tokens: BUDGET
        }
    );
}

/// Guards against tokens that are lost to the program because they were reserved ahead beyond its
/// budget.
#[test]
fn tokens_ahead_that_the_budget_does_not_cover_go_back() {
    let (mut account, now, deadline) = open();
    let returned = reserve(&mut account, 650, deadline, now);
    assert_eq!(returned, BUDGET / 4);
    assert_eq!(account.admit(TURN, deadline, now), Decision::Granted(1));
}

/// Guards against spending that nobody counts, because the gateway that served the turn has died.
#[test]
fn turns_without_a_report_count_as_spent() {
    let (mut account, now, deadline) = open();
    account.extend(BUDGET, 0, TURN);
    account.admit(TURN, deadline, now);
    let later = deadline + Duration::from_secs(10);
    account.expire(later);
    account.settle(1, 0, later);
    let idle = Duration::from_secs(3);
    let unused = account.tokens_to_return(idle, later + idle);
    assert_eq!(unused, Some(BUDGET - TURN));
}

/// Guards against returning tokens that a turn may still spend.
#[test]
fn an_account_with_a_turn_in_progress_returns_nothing() {
    let (mut account, now, deadline) = open();
    account.extend(BUDGET, 0, TURN);
    account.admit(TURN, deadline, now);
    let idle = Duration::from_secs(3);
    assert_eq!(account.tokens_to_return(idle, now + 2 * idle), None);
}

/// Guards against turns that wait for the store although there was time to reserve before.
#[test]
fn a_reservation_that_runs_low_is_extended_ahead() {
    let (mut account, now, deadline) = open();
    reserve(&mut account, 0, deadline, now);
    assert_eq!(account.tokens_to_reserve_ahead(), None);
    let Decision::Granted(grant_id) = account.admit(TURN, deadline, now) else {
        panic!("the reservation covers the turn");
    };
    account.admit(TURN, deadline, now);
    account.admit(TURN, deadline, now);
    account.settle(grant_id, TURN, now);
    assert_eq!(account.tokens_to_reserve_ahead(), Some(BUDGET / 4));
}

/// Guards against a large budget that a few calls with unknown outcome use up: each one leaves its
/// reservation behind.
#[test]
fn the_tokens_ahead_do_not_grow_with_the_budget() {
    let now = Instant::now();
    let mut account = Account::new(100 * TURN, now);
    let deadline = now + Duration::from_secs(4);
    let verdict = account.admit(TURN, deadline, now);
    assert_eq!(verdict, Decision::NeedsTokens(TURN + 4 * TURN));
}

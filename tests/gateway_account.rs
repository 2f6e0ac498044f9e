//! Token accounts of programs, tested without a network.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use sapphireford::process::gateway::account::{
    Account, Decision, MIN_UNIQUE_GRANT_ID, first_grant_id,
};

const BUDGET_TOKENS: u64 = 800;
const TURN_TOKENS: u64 = 100;

/// Returns a new account, the current time and the deadline of its turns.
fn new_account() -> (Account, Instant, Instant) {
    let now = Instant::now();
    (
        Account::new(BUDGET_TOKENS, 1, now),
        now,
        now + Duration::from_secs(4),
    )
}

/// Extends the reservation as the ledger does, while the rows of other gateways hold
/// `other_rows_tokens` tokens.
fn reserve(account: &mut Account, other_rows_tokens: u64, deadline: Instant, now: Instant) -> u64 {
    let Decision::NeedsTokens(needed) = account.admit(TURN_TOKENS, deadline, now) else {
        panic!("the account needs no tokens");
    };
    account.extend(needed, other_rows_tokens, TURN_TOKENS)
}

/// Guards against starting a turn before its tokens are reserved durably.
#[test]
fn the_first_turn_needs_a_reservation() {
    let (mut account, now, deadline) = new_account();
    let decision = account.admit(TURN_TOKENS, deadline, now);
    assert_eq!(
        decision,
        Decision::NeedsTokens(TURN_TOKENS + BUDGET_TOKENS / 4)
    );
    account.extend(TURN_TOKENS + BUDGET_TOKENS / 4, 0, TURN_TOKENS);
    assert_eq!(
        account.admit(TURN_TOKENS, deadline, now),
        Decision::Granted(1)
    );
}

/// Guards against one store call per turn: the reservation must cover several turns.
#[test]
fn later_turns_are_admitted_from_the_reservation() {
    let (mut account, now, deadline) = new_account();
    reserve(&mut account, 0, deadline, now);
    for _ in 0..5 {
        let Decision::Granted(grant_id) = account.admit(TURN_TOKENS, deadline, now) else {
            panic!("the reservation covers the turn");
        };
        account.settle(grant_id, 30, now);
    }
}

/// Guards against overspending by concurrent turns whose actual spending is not known yet.
#[test]
fn turns_in_flight_count_with_their_max_tokens() {
    let (mut account, now, deadline) = new_account();
    account.extend(BUDGET_TOKENS, 0, TURN_TOKENS);
    let mut granted = 0;
    while let Decision::Granted(_) = account.admit(TURN_TOKENS, deadline, now) {
        granted += 1;
    }
    assert_eq!(granted, 8);
    let decision = account.admit(TURN_TOKENS, deadline, now);
    assert_eq!(
        decision,
        Decision::Exceeded {
            spent_tokens: BUDGET_TOKENS
        }
    );
}

/// Guards against overspending when two gateways hold an account of the same program: the budget
/// may be exceeded by one turn at most.
#[test]
fn two_accounts_exceed_the_budget_by_one_turn_at_most() {
    let (mut first, now, deadline) = new_account();
    let mut second = Account::new(BUDGET_TOKENS, 1, now);
    let mut row_tokens = [0, 0];
    let mut granted = 0;
    for round in 0..100 {
        let own_index = round % 2;
        let account = if own_index == 0 {
            &mut first
        } else {
            &mut second
        };
        match account.admit(TURN_TOKENS, deadline, now) {
            Decision::Granted(_) => granted += TURN_TOKENS,
            Decision::NeedsTokens(needed) => {
                row_tokens[own_index] += needed;
                row_tokens[own_index] -=
                    account.extend(needed, row_tokens[1 - own_index], TURN_TOKENS);
            }
            Decision::Exceeded { .. } => {}
        }
    }
    assert!(granted >= BUDGET_TOKENS, "{granted} tokens granted");
    assert!(
        granted <= BUDGET_TOKENS + TURN_TOKENS,
        "{granted} tokens granted"
    );
}

/// Guards against a program that gets its full budget again after its gateway has died.
#[test]
fn the_rows_of_a_dead_gateway_count_as_spent() {
    let (mut account, now, deadline) = new_account();
    reserve(&mut account, BUDGET_TOKENS, deadline, now);
    let decision = account.admit(TURN_TOKENS, deadline, now);
    assert_eq!(
        decision,
        Decision::Exceeded {
            spent_tokens: BUDGET_TOKENS
        }
    );
}

/// Guards against tokens that a program can never use because they were reserved ahead beyond its
/// budget and not returned.
#[test]
fn tokens_reserved_ahead_beyond_the_budget_are_returned() {
    let (mut account, now, deadline) = new_account();
    let returned = reserve(&mut account, 650, deadline, now);
    assert_eq!(returned, BUDGET_TOKENS / 4);
    assert_eq!(
        account.admit(TURN_TOKENS, deadline, now),
        Decision::Granted(1)
    );
}

/// Guards against uncounted spending: a turn is never settled if the gateway that served it has
/// died, so it is charged its maximum on expiry, and a later settlement has no effect.
#[test]
fn expired_turns_count_with_their_max_tokens() {
    let (mut account, now, deadline) = new_account();
    account.extend(BUDGET_TOKENS, 0, TURN_TOKENS);
    account.admit(TURN_TOKENS, deadline, now);
    let later = deadline + Duration::from_secs(10);
    account.expire(later);
    account.settle(1, 0, later);
    let idle_timeout = Duration::from_secs(3);
    let unused = account.tokens_to_return(idle_timeout, later + idle_timeout);
    assert_eq!(unused, Some(BUDGET_TOKENS - TURN_TOKENS));
}

/// Guards against returning tokens that a turn in flight may still spend.
#[test]
fn account_with_a_turn_in_flight_returns_no_tokens() {
    let (mut account, now, deadline) = new_account();
    account.extend(BUDGET_TOKENS, 0, TURN_TOKENS);
    account.admit(TURN_TOKENS, deadline, now);
    let idle_timeout = Duration::from_secs(3);
    assert_eq!(
        account.tokens_to_return(idle_timeout, now + 2 * idle_timeout),
        None
    );
}

/// Guards against turns that wait for the store although the reservation could have been extended
/// earlier.
#[test]
fn low_reservation_is_extended_before_it_is_used_up() {
    let (mut account, now, deadline) = new_account();
    reserve(&mut account, 0, deadline, now);
    assert_eq!(account.tokens_to_reserve_ahead(), None);
    let Decision::Granted(grant_id) = account.admit(TURN_TOKENS, deadline, now) else {
        panic!("the reservation covers the turn");
    };
    account.admit(TURN_TOKENS, deadline, now);
    account.admit(TURN_TOKENS, deadline, now);
    account.settle(grant_id, TURN_TOKENS, now);
    assert_eq!(account.tokens_to_reserve_ahead(), Some(BUDGET_TOKENS / 4));
}

/// Guards against a large budget that is used up by a few store calls with unknown outcome: each
/// such call leaks the tokens that it reserved.
#[test]
fn tokens_reserved_ahead_do_not_grow_with_a_large_budget() {
    let now = Instant::now();
    let mut account = Account::new(100 * TURN_TOKENS, 1, now);
    let deadline = now + Duration::from_secs(4);
    let decision = account.admit(TURN_TOKENS, deadline, now);
    assert_eq!(
        decision,
        Decision::NeedsTokens(TURN_TOKENS + 4 * TURN_TOKENS)
    );
}

/// Guards against an account that another one settles: of a gateway before its restart, or before the
/// program paused.
#[test]
fn accounts_do_not_settle_the_turns_of_each_other() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(4);
    let mut rng = StdRng::seed_from_u64(1);
    let mut accounts: Vec<(Account, Vec<u64>)> = Vec::new();
    for _ in 0..20 {
        let mut account = Account::new(BUDGET_TOKENS, first_grant_id(&mut rng), now);
        account.extend(BUDGET_TOKENS, 0, TURN_TOKENS);
        let mut grant_ids = Vec::new();
        while let Decision::Granted(grant_id) = account.admit(TURN_TOKENS, deadline, now) {
            assert!(grant_id >= MIN_UNIQUE_GRANT_ID);
            grant_ids.push(grant_id);
        }
        assert_eq!(grant_ids.len(), 8);
        accounts.push((account, grant_ids));
    }
    let all_ids: Vec<Vec<u64>> = accounts.iter().map(|(_, ids)| ids.clone()).collect();
    for (index, (account, _)) in accounts.iter_mut().enumerate() {
        for (other, grant_ids) in all_ids.iter().enumerate() {
            for grant_id in grant_ids {
                assert_eq!(account.settle(*grant_id, 0, now), other == index);
            }
        }
    }
}

fn admit_rest(
    account: &mut Account,
    rest_tokens: u64,
    deadline: Instant,
    now: Instant,
) -> Option<u64> {
    match account.admit_rest("last", rest_tokens, deadline, now) {
        Decision::Granted(grant_id) => Some(grant_id),
        _ => None,
    }
}

/// An account whose budget a turn in flight has used up, and the grant of the turn.
fn account_with_last_turn() -> (Account, u64, Instant, Instant) {
    let (mut account, now, deadline) = new_account();
    account.extend(BUDGET_TOKENS, 0, TURN_TOKENS);
    for _ in 0..7 {
        let Decision::Granted(grant_id) = account.admit(TURN_TOKENS, deadline, now) else {
            panic!("the reservation covers the turn");
        };
        account.settle(grant_id, TURN_TOKENS, now);
    }
    let Decision::Granted(grant_id) = account.admit(TURN_TOKENS, deadline, now) else {
        panic!("the reservation covers the turn");
    };
    account.name_turn(grant_id, "last");
    (account, grant_id, now, deadline)
}

/// Guards against the refusal of a turn that was admitted, and against tokens that it gets twice.
#[test]
fn the_rest_of_a_turn_gets_the_tokens_that_it_has_left() {
    let (mut account, grant_id, now, deadline) = account_with_last_turn();
    assert!(account.is_in_flight("last"));
    assert_eq!(admit_rest(&mut account, 70, deadline, now), None);
    account.settle(grant_id, 30, now);
    assert!(!account.is_in_flight("last"));
    let rest = admit_rest(&mut account, 70, deadline, now).expect("a rest");
    assert_eq!(admit_rest(&mut account, 70, deadline, now), None);
    let spent_tokens = BUDGET_TOKENS;
    let decision = account.admit(TURN_TOKENS, deadline, now);
    assert_eq!(decision, Decision::Exceeded { spent_tokens });
    account.settle(rest, 50, now);
    let rest = admit_rest(&mut account, 20, deadline, now).expect("a rest");
    account.complete(rest);
    account.settle(rest, 20, now);
    assert_eq!(admit_rest(&mut account, 0, deadline, now), None);
    let idle_timeout = Duration::from_secs(3);
    let unused = account.tokens_to_return(idle_timeout, now + idle_timeout);
    assert_eq!(unused, Some(0));
}

/// Guards against a budget that is exceeded by more than one turn: another turn has got the tokens that
/// the interrupted one had left.
#[test]
fn the_rest_of_a_turn_is_not_admitted_beyond_the_reservation() {
    let (mut account, grant_id, now, deadline) = account_with_last_turn();
    account.settle(grant_id, 30, now);
    let Decision::Granted(other) = account.admit(70, deadline, now) else {
        panic!("the reservation covers the turn");
    };
    assert_eq!(admit_rest(&mut account, 70, deadline, now), None);
    account.settle(other, 0, now);
    assert!(admit_rest(&mut account, 70, deadline, now).is_some());
}

/// Guards against a program that gets tokens for free by taking up events that it has.
#[test]
fn the_rest_of_a_turn_does_not_include_events_that_were_sent() {
    let (mut account, grant_id, now, deadline) = account_with_last_turn();
    account.settle(grant_id, 30, now);
    assert_eq!(admit_rest(&mut account, 71, deadline, now), None);
    assert_eq!(admit_rest(&mut account, TURN_TOKENS, deadline, now), None);
    let rest = admit_rest(&mut account, 70, deadline, now).expect("a rest");
    account.settle(rest, 70, now);
    assert_eq!(admit_rest(&mut account, 1, deadline, now), None);
}

/// Guards against the refusal of a turn some of whose events were lost on their way, and against a
/// budget that is exceeded by more than one turn because of them.
#[test]
fn events_that_were_lost_are_sent_again_within_one_turn_beyond_the_budget() {
    let (mut account, now, deadline) = new_account();
    account.extend(BUDGET_TOKENS, 0, TURN_TOKENS);
    for _ in 0..7 {
        let Decision::Granted(grant_id) = account.admit(TURN_TOKENS, deadline, now) else {
            panic!("the reservation covers the turn");
        };
        account.settle(grant_id, TURN_TOKENS - 5, now);
    }
    let Decision::Granted(grant_id) = account.admit(TURN_TOKENS, deadline, now) else {
        panic!("the reservation covers the turn");
    };
    account.name_turn(grant_id, "last");
    account.settle(grant_id, 90, now);
    // 755 tokens are spent, and 899 may be.
    let exceeded = Decision::Exceeded { spent_tokens: 755 };
    assert_eq!(account.admit_rest("last", 145, deadline, now), exceeded);
    let decision = account.admit_rest("last", 144, deadline, now);
    assert_eq!(decision, Decision::NeedsTokens(99));
    assert_eq!(account.extend_for_rest(99, 0, 144), 0);
    assert!(admit_rest(&mut account, 144, deadline, now).is_some());
    // Another gateway has extended its reservation meanwhile.
    account.extend_for_rest(99, 800, 10);
    assert_eq!(admit_rest(&mut account, 10, deadline, now), None);
}

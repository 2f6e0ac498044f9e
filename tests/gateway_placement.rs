//! The choice of backend servers by a gateway, without a network.

use sapphireford::process::gateway::placement::{
    Candidate, Prefix, select_by_load, select_by_prefix,
};

const SERVERS: [&str; 9] = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];

fn candidates(load: impl Fn(usize) -> u32) -> Vec<Candidate<'static>> {
    let servers = SERVERS.iter().enumerate();
    servers
        .map(|(index, server_id)| Candidate {
            server_id,
            load: load(index),
            is_eligible: true,
            is_same_domain: false,
        })
        .collect()
}

/// A prefix of which nothing is known.
fn new(key: u64) -> Prefix<'static> {
    Prefix {
        key,
        holder: None,
        is_growing: false,
    }
}

/// Guards against lost prefixes: the turns of a program must meet the same server at every gateway.
#[test]
fn idle_servers_are_chosen_by_the_program_alone() {
    let idle = candidates(|_| 0);
    let mut reversed = idle.clone();
    reversed.reverse();
    for program in 0..100 {
        let first = select_by_prefix(new(program), &idle).map(|index| idle[index].server_id);
        let second =
            select_by_prefix(new(program), &reversed).map(|index| reversed[index].server_id);
        assert_eq!(first, second);
    }
}

/// Guards against a collapse under overload. When all servers were loaded beyond the limit for
/// spilling, programs went to the least loaded one with each turn, computed their prefixes again
/// there, and so kept all servers overloaded.
#[test]
fn programs_stay_with_their_server_when_all_are_overloaded() {
    let idle = candidates(|_| 0);
    let overloaded = candidates(|index| 3_000 + 40 * index as u32);
    for program in 0..100 {
        assert_eq!(
            select_by_prefix(new(program), &idle),
            select_by_prefix(new(program), &overloaded)
        );
    }
}

/// Guards against a queue at one server while others are free.
#[test]
fn a_program_leaves_a_server_that_is_much_more_loaded_than_the_next() {
    for program in 0..100 {
        let idle = candidates(|_| 0);
        let home = select_by_prefix(new(program), &idle).expect("a server");
        let busy = candidates(|index| if index == home { 1_500 } else { 200 });
        assert_ne!(select_by_prefix(new(program), &busy), Some(home));
    }
}

/// Guards against work for servers that leave or fail.
#[test]
fn servers_that_are_not_allowed_are_not_chosen() {
    let mut servers = candidates(|_| 0);
    for candidate in &mut servers {
        candidate.is_eligible = candidate.server_id == "e";
    }
    assert_eq!(select_by_prefix(new(7), &servers), Some(4));
    assert_eq!(select_by_load(7, &servers), Some(4));
    servers[4].is_eligible = false;
    assert_eq!(select_by_prefix(new(7), &servers), None);
    assert_eq!(select_by_load(7, &servers), None);
}

/// Guards against bytes between failure domains that a near server would save.
#[test]
fn near_servers_go_first_among_equally_loaded_ones() {
    let mut servers = candidates(|_| 100);
    servers[3].is_same_domain = true;
    assert_eq!(select_by_load(1, &servers), Some(3));
    servers[5].load = 0;
    assert_eq!(select_by_load(1, &servers), Some(5));
}

/// Guards against prefixes that are computed again when the callers of a program move to gateways of
/// another failure domain: with near servers first, a day with such a move served 0.12 less.
#[test]
fn a_program_keeps_its_server_at_gateways_of_other_failure_domains() {
    for program in 0..100 {
        let mut servers = candidates(|_| 200);
        let home = select_by_prefix(new(program), &servers);
        for first in 0..servers.len() {
            for (index, candidate) in servers.iter_mut().enumerate() {
                candidate.is_same_domain = index >= first;
            }
            assert_eq!(select_by_prefix(new(program), &servers), home);
        }
    }
}

/// Guards against few servers that carry a whole failure domain: bursts of programs queue there, and
/// programs that leave compute their prefixes again.
#[test]
fn programs_share_the_servers_of_all_domains_where_each_has_few() {
    let mut servers = candidates(|_| 200);
    for candidate in servers.iter_mut().take(3) {
        candidate.is_same_domain = true;
    }
    let far = (0..100).filter(|program| select_by_prefix(new(*program), &servers) >= Some(3));
    assert!(far.count() > 40);
}

/// Guards against prefixes that are computed twice: a program that left its server under load went
/// back to it as soon as the load fell, away from the newer part of its prefix.
#[test]
fn a_program_stays_with_the_server_that_completed_its_last_turn() {
    for program in 0..100 {
        let mut servers = candidates(|_| 500);
        for holder in 0..servers.len() {
            let held = Prefix {
                holder: Some(SERVERS[holder]),
                ..new(program)
            };
            assert_eq!(select_by_prefix(held, &servers), Some(holder));
            servers[holder].load = 1_500;
            assert_ne!(select_by_prefix(held, &servers), Some(holder));
            servers[holder].load = 500;
        }
    }
}

/// Guards against growing prompts that cross failure domains with each turn, and against a burst of
/// new conversations that queues in one domain.
#[test]
fn a_conversation_begins_at_a_near_server_that_is_lightly_loaded() {
    for conversation in 0..100 {
        let mut servers = candidates(|_| 200);
        for candidate in servers.iter_mut().skip(6) {
            candidate.is_same_domain = true;
        }
        let first = Prefix {
            is_growing: true,
            ..new(conversation)
        };
        assert!(select_by_prefix(first, &servers) >= Some(6));
        let held = Prefix {
            holder: Some(SERVERS[0]),
            ..first
        };
        assert_eq!(select_by_prefix(held, &servers), Some(0));
        for candidate in servers.iter_mut().skip(6) {
            candidate.load = 600;
        }
        let unconstrained = select_by_prefix(new(conversation), &servers);
        assert_eq!(select_by_prefix(first, &servers), unconstrained);
    }
}

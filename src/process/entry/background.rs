//! The periodic work of an entry beside its requests.

use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;

use crate::connection::peer::messages::PeerRequest;
use crate::ids::{ConversationKey, RunId};
use crate::process::conversation::{EndReason, Event, Record, RunState};
use crate::process::entry::{Entry, orders, reconciliation};
use crate::process::metrics as names;
use crate::process::rows::EntryState;
use crate::process::slots::ConversationCell;
use crate::process::timer::unix_ms;
use crate::request::call::cache_key;

/// Pause between two searches for abandoned runs.
const ABANDON_INTERVAL: Duration = Duration::from_secs(5);
/// Pause between two readings of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(5);
/// Peers that an entry tells about a new configuration version. Each of them tells as many, so the
/// version spreads in few steps with messages that grow with the number of entries and not with its
/// square; an entry that nobody tells reads the version at its next poll.
const PEERS_TOLD: usize = 3;
/// Longest call that tells a peer the configuration version.
const PEER_CALL_TIME: Duration = Duration::from_secs(1);
/// Times that an engine is asked to release a prefix before it is left to the reconciliation.
const RELEASE_ATTEMPTS: u32 = 5;
/// Pause before a failed release is tried again; doubles each time.
const RELEASE_RETRY: Duration = Duration::from_millis(200);

/// Starts all periodic tasks of an entry.
pub fn start(entry: &Rc<Entry>) {
    entry.router.start_polling(entry.engines.clone());
    monoio::spawn(follow_config(entry.clone()));
    monoio::spawn(follow_vm_list(entry.clone()));
    monoio::spawn(drop_lost_peers(entry.clone()));
    monoio::spawn(end_abandoned_runs(entry.clone()));
    monoio::spawn(record_gauges(entry.clone()));
    monoio::spawn(reconciliation::run(entry.clone()));
    monoio::spawn(orders::run(entry.clone()));
}

/// Puts each new configuration in force and tells the peers about it.
async fn follow_config(entry: Rc<Entry>) {
    let mut version = 0;
    loop {
        let config = entry.config.newer_than(version).await;
        version = config.version;
        entry.router.set_config(&config);
        entry.journal.set_config_version(version);
        let mut behind = entry.membership.live();
        behind
            .retain(|row| row.entry_id != entry.settings.entry_id && row.config_version < version);
        for row in behind.choose_multiple(&mut rand::rng(), PEERS_TOLD) {
            monoio::spawn(tell_config_version(entry.clone(), row.clone(), version));
        }
    }
}

async fn tell_config_version(
    entry: Rc<Entry>,
    row: crate::process::rows::EntryRow,
    version: crate::ids::VersionNumber,
) {
    let request = PeerRequest::ConfigVersion(version);
    let told = entry
        .peers
        .call(row.peer_address, &row.entry_id, request, PEER_CALL_TIME)
        .await;
    if let Err(error) = told {
        log::debug!(peer = &*row.entry_id; "the peer was not told the version: {error}");
    }
}

/// Records what is read from state rather than counted, and bounds the memory of the metrics.
async fn record_gauges(entry: Rc<Entry>) {
    let mut ticks = entry.timer.subscribe(GAUGE_INTERVAL);
    loop {
        ticks.tick().await;
        metrics::gauge!(names::SLOTS_HELD).set(entry.slots.held().len() as f64);
        metrics::gauge!(names::ENTRIES_LIVE).set(entry.membership.live().len() as f64);
        metrics::gauge!(names::JOURNAL_QUEUE_BYTES).set(entry.journal.queued_bytes() as f64);
        metrics::gauge!(names::REQUESTS_IN_PROGRESS).set(entry.requests.get() as f64);
        metrics::gauge!(names::CONFIG_VERSION).set(entry.config.version() as f64);
        entry.metrics.run_upkeep();
    }
}

/// Keeps new work from engines that the platform lists as leaving, and shares the engines among the
/// live entries.
async fn follow_vm_list(entry: Rc<Entry>) {
    let mut changes = entry.membership.subscribe();
    loop {
        changes.changed().await;
        let live_entries = entry.membership.live().len();
        entry.router.set_live_entries(live_entries);
        let vms = entry.membership.vms();
        let is_leaving = |address| {
            use crate::connection::platform::VmState;
            vms.iter()
                .any(|vm| vm.address == address && vm.state == VmState::Leaving)
        };
        entry.router.set_leaving_vms(is_leaving);
    }
}

/// Closes the connections to entries that were fenced. Without that, a request to an entry that was
/// cut off would wait until the connection itself times out.
async fn drop_lost_peers(entry: Rc<Entry>) {
    let mut changes = entry.membership.subscribe();
    loop {
        changes.changed().await;
        for row in entry.membership.entries() {
            if row.state == EntryState::Fenced {
                entry.peers.disconnect(&row.entry_id);
            }
        }
    }
}

/// Ends root runs that had no event for longer than the limit.
async fn end_abandoned_runs(entry: Rc<Entry>) {
    let mut ticks = entry.timer.subscribe(ABANDON_INTERVAL);
    loop {
        ticks.tick().await;
        let Some(config) = entry.config.current() else {
            continue;
        };
        let limit_ms = config.limits.abandon_timeout.as_millis() as u64;
        let before_ms = unix_ms().saturating_sub(limit_ms);
        for cell in entry.slots.conversations() {
            for run_id in abandoned_runs(&cell, before_ms) {
                monoio::spawn(end_abandoned_run(
                    entry.clone(),
                    cell.clone(),
                    run_id,
                    before_ms,
                ));
            }
        }
    }
}

fn abandoned_runs(cell: &ConversationCell, before_ms: u64) -> Vec<RunId> {
    let state = cell.state.borrow();
    let runs = state.runs.iter().filter(|(run_id, run)| {
        let is_root = run.parent_run_id.is_none();
        is_root && run.state == RunState::Active && state.last_event_ms(**run_id) < before_ms
    });
    runs.map(|(run_id, _)| *run_id).collect()
}

async fn end_abandoned_run(
    entry: Rc<Entry>,
    cell: Rc<ConversationCell>,
    run_id: RunId,
    before_ms: u64,
) {
    let key = cell.state.borrow().key.clone();
    let Ok(open) = entry.slots.open(&key) else {
        return;
    };
    // A run with a call in progress is not abandoned, also if the call is a sub-agent's.
    let threads = cell.state.borrow().threads_of(run_id);
    let locks = threads.iter().map(|thread| cell.locks.try_lock(*thread));
    let Some(_locks) = locks.collect::<Option<Vec<_>>>() else {
        return;
    };
    if !abandoned_runs(&cell, before_ms).contains(&run_id) {
        return;
    }
    let event = Event::RunEnded {
        request_id: None,
        fingerprint: 0,
        run_id,
        reason: EndReason::Abandoned,
    };
    let record = Record {
        slot: open.slot(),
        key: key.clone(),
        at_ms: unix_ms(),
        event,
    };
    let Ok(mut receipt) = entry.journal.append(&open, record) else {
        return;
    };
    if receipt.durable().await.is_ok() {
        log::info!(team = &*key.team_id, conversation = &*key.conversation_id, run_id; "run abandoned");
        release_ended(&entry, &cell, &key);
    }
}

/// Releases the engine memory of all threads that no active run uses.
pub fn release_ended(entry: &Rc<Entry>, cell: &ConversationCell, key: &ConversationKey) {
    let state = cell.state.borrow();
    let threads = state.runs.keys().map(|run_id| state.thread_number(*run_id));
    let threads: indexmap::IndexSet<RunId> = threads.collect();
    for thread_number in threads {
        if state.is_thread_active(thread_number) {
            continue;
        }
        let cache_key = cache_key(key, thread_number);
        // After a move of the slot only the state knows the engine.
        if let Some(thread) = state.thread_by_number(thread_number)
            && let Some(backend_server_id) = &thread.backend_server_id
        {
            let tokens = thread.counted_tokens;
            entry
                .router
                .seed_prefix(&cache_key, backend_server_id, tokens);
        }
        for (_, address) in entry.router.take_prefix_locations(&cache_key) {
            monoio::spawn(release(entry.clone(), address, cache_key.clone()));
        }
    }
}

async fn release(entry: Rc<Entry>, address: std::net::SocketAddr, cache_key: Rc<str>) {
    let mut delay = RELEASE_RETRY;
    for _ in 0..RELEASE_ATTEMPTS {
        match entry.engines.release(address, &cache_key).await {
            Ok(()) => return,
            Err(error) => log::info!("the engine did not release `{cache_key}`: {error}"),
        }
        entry.timer.sleep(delay).await;
        delay *= 2;
    }
}

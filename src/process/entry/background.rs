//! Background tasks of an entry.
//!
//! They apply new configuration versions and membership changes, end abandoned runs, release engine
//! memory and record gauges. [`start`] also spawns the tasks of [`orders`] and of the cache
//! reconciliation.

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

const ABANDONED_RUN_CHECK_INTERVAL: Duration = Duration::from_secs(5);
const GAUGE_INTERVAL: Duration = Duration::from_secs(5);
/// Number of peers to which an entry announces a new configuration version. Each of them announces
/// it to as many, so the version spreads in few steps, and the number of messages grows with the
/// number of entries, not with its square. An entry that receives no announcement reads the version
/// at its next poll.
const CONFIG_ANNOUNCEMENT_FANOUT: usize = 3;
const CONFIG_ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Attempts to release a prefix on an engine before it is left to the cache reconciliation.
const RELEASE_ATTEMPTS: u32 = 5;
/// Delay before the first retry of a failed release; doubles with each retry.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Spawns all background tasks of an entry.
pub fn start(entry: &Rc<Entry>) {
    entry.router.start_polling(entry.engines.clone());
    monoio::spawn(watch_config(entry.clone()));
    monoio::spawn(watch_vm_list(entry.clone()));
    monoio::spawn(disconnect_fenced_peers(entry.clone()));
    monoio::spawn(end_abandoned_runs(entry.clone()));
    monoio::spawn(record_gauges(entry.clone()));
    monoio::spawn(reconciliation::run(entry.clone()));
    monoio::spawn(orders::run(entry.clone()));
}

/// Passes each new configuration to the router and the journal and announces its version to peers.
async fn watch_config(entry: Rc<Entry>) {
    let mut version = 0;
    loop {
        let config = entry.config.wait_for_newer(version).await;
        version = config.version;
        entry.router.set_config(&config);
        entry.journal.set_config_version(version);
        let mut outdated_peers = entry.membership.live();
        outdated_peers
            .retain(|row| row.entry_id != entry.settings.entry_id && row.config_version < version);
        for row in outdated_peers.choose_multiple(&mut rand::rng(), CONFIG_ANNOUNCEMENT_FANOUT) {
            monoio::spawn(announce_config_version(entry.clone(), row.clone(), version));
        }
    }
}

async fn announce_config_version(
    entry: Rc<Entry>,
    row: crate::process::rows::EntryRow,
    version: crate::ids::VersionNumber,
) {
    let request = PeerRequest::ConfigVersion(version);
    let result = entry
        .peers
        .call(
            row.peer_address,
            &row.entry_id,
            request,
            CONFIG_ANNOUNCEMENT_TIMEOUT,
        )
        .await;
    if let Err(error) = result {
        log::debug!(peer = &*row.entry_id; "peer did not get configuration version {version}: {error}");
    }
}

/// Records the metrics that are sampled from state, and runs the upkeep that bounds the memory of
/// the metrics.
async fn record_gauges(entry: Rc<Entry>) {
    let mut ticks = entry.timer.subscribe(GAUGE_INTERVAL);
    loop {
        ticks.tick().await;
        metrics::gauge!(names::SLOTS_HELD).set(entry.slots.held().len() as f64);
        metrics::gauge!(names::ENTRIES_LIVE).set(entry.membership.live().len() as f64);
        metrics::gauge!(names::JOURNAL_QUEUE_BYTES).set(entry.journal.queued_bytes() as f64);
        metrics::gauge!(names::REQUESTS_IN_PROGRESS).set(entry.in_flight_requests.get() as f64);
        metrics::gauge!(names::CONFIG_VERSION).set(entry.config.version() as f64);
        entry.metrics.run_upkeep();
    }
}

/// Passes the membership to the router: engines on VMs that the platform lists as leaving get no
/// new work, and the live entries share the engines.
async fn watch_vm_list(entry: Rc<Entry>) {
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

/// Closes the connections to fenced entries. Otherwise a request to an unreachable entry would wait
/// until the connection itself times out.
async fn disconnect_fenced_peers(entry: Rc<Entry>) {
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

/// Ends root runs without an event for longer than `limits.abandon_ms`.
async fn end_abandoned_runs(entry: Rc<Entry>) {
    let mut ticks = entry.timer.subscribe(ABANDONED_RUN_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        let Some(config) = entry.config.current() else {
            continue;
        };
        let timeout_ms = config.limits.abandon_timeout.as_millis() as u64;
        let cutoff_ms = unix_ms().saturating_sub(timeout_ms);
        for cell in entry.slots.conversations() {
            for run_id in abandoned_runs(&cell, cutoff_ms) {
                monoio::spawn(end_abandoned_run(
                    entry.clone(),
                    cell.clone(),
                    run_id,
                    cutoff_ms,
                ));
            }
        }
    }
}

fn abandoned_runs(cell: &ConversationCell, cutoff_ms: u64) -> Vec<RunId> {
    let state = cell.state.borrow();
    let runs = state.runs.iter().filter(|(run_id, run)| {
        let is_root = run.parent_run_id.is_none();
        is_root
            && run.state == RunState::Active
            && state.subtree_last_event_ms(**run_id) < cutoff_ms
    });
    runs.map(|(run_id, _)| *run_id).collect()
}

async fn end_abandoned_run(
    entry: Rc<Entry>,
    cell: Rc<ConversationCell>,
    run_id: RunId,
    cutoff_ms: u64,
) {
    let key = cell.state.borrow().key.clone();
    let Ok(open) = entry.slots.open(&key) else {
        return;
    };
    // A run with a call in flight, its own or of a sub-agent, is not abandoned.
    let threads = cell.state.borrow().subtree_thread_numbers(run_id);
    let locks = threads.iter().map(|thread| cell.locks.try_lock(*thread));
    let Some(_locks) = locks.collect::<Option<Vec<_>>>() else {
        return;
    };
    if !abandoned_runs(&cell, cutoff_ms).contains(&run_id) {
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
        release_unused_prefixes(&entry, &cell, &key);
    }
}

/// Releases the prefixes of all threads of a conversation that no active run uses.
pub fn release_unused_prefixes(entry: &Rc<Entry>, cell: &ConversationCell, key: &ConversationKey) {
    let state = cell.state.borrow();
    let threads = state.runs.keys().map(|run_id| state.thread_number(*run_id));
    let threads: indexmap::IndexSet<RunId> = threads.collect();
    for thread_number in threads {
        if state.is_thread_active(thread_number) {
            continue;
        }
        let cache_key = cache_key(key, thread_number);
        // After the slot has moved, the router of the new holder does not know which engine has the
        // prefix.
        if let Some(thread) = state.thread_by_number(thread_number)
            && let Some(backend_server_id) = &thread.backend_server_id
        {
            let tokens = thread.counted_tokens;
            entry
                .router
                .seed_prefix(&cache_key, backend_server_id, tokens);
        }
        for (_, address) in entry.router.take_prefix_locations(&cache_key) {
            monoio::spawn(release_prefix(entry.clone(), address, cache_key.clone()));
        }
    }
}

async fn release_prefix(entry: Rc<Entry>, address: std::net::SocketAddr, cache_key: Rc<str>) {
    let mut delay = RELEASE_RETRY_DELAY;
    for _ in 0..RELEASE_ATTEMPTS {
        match entry.engines.release_cache(address, &cache_key).await {
            Ok(()) => return,
            Err(error) => {
                log::info!("engine at {address} did not release prefix `{cache_key}`: {error}")
            }
        }
        entry.timer.sleep(delay).await;
        delay *= 2;
    }
}

//! Reconciliation of engine caches: frees the engine memory of runs that have ended.
//!
//! The lease holder of a conversation's slot releases the prefixes that it knows of when a run
//! ends. It does not know prefixes that an earlier holder filled, prefixes of calls that were
//! aborted, and prefixes whose release did not reach the engine. Therefore the owner of each
//! engine, found by rendezvous hashing over the live entries, lists the engine's cache every
//! `limits.cache_check_ms`, asks the preferred holders of the conversations which prefixes active
//! runs use, and releases the others.
//!
//! A prefix counts as active while its slot has no holder or its holder does not respond. A cache
//! key that does not have the form of [`cache_key`](crate::request::call::cache_key) is ignored.
//!
//! A conversation may start a new run between the response and the release. The engine then
//! computes the prompt again, which costs time but does not change the result, because every call
//! carries the whole prompt. Two entries that both consider themselves the owner, while their views
//! of the membership differ, release the same prefixes twice, which is harmless.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::{self, StreamExt};
use indexmap::{IndexMap, IndexSet};

use crate::connection::peer::messages::{PeerRequest, PeerResponse};
use crate::ids::{BackendServerId, EntryId};
use crate::process::entry::Entry;
use crate::process::slots::placement;
use crate::request::call::{is_cache_key_active, parse_cache_key};

/// Engines or peers called concurrently, so that one that does not respond delays few others.
const MAX_CONCURRENT_CALLS: usize = 8;
/// Cache keys in one request to a peer; bounds the message to about 300 KB.
const MAX_KEYS_PER_REQUEST: usize = 1_024;
/// Longest wait for a peer to report which prefixes are active.
const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A prefix listed in the cache of an engine.
struct CachedPrefix {
    backend_server_id: BackendServerId,
    address: SocketAddr,
    cache_key: String,
}

/// Checks the caches of the engines that this entry owns, until the process ends.
pub async fn run(entry: Rc<Entry>) {
    loop {
        let config = entry.config.wait_for_newer(0).await;
        entry.timer.sleep(config.limits.cache_check_interval).await;
        check_engines(&entry).await;
    }
}

/// Lists the caches of all owned engines before it asks the peers, so that each peer gets the keys
/// of all engines together.
async fn check_engines(entry: &Rc<Entry>) {
    let Some(config) = entry.config.current() else {
        return;
    };
    let candidates = entry.slot_manager.candidates();
    let owned = entry.owned_engines(&config);
    let engines = owned.iter().map(|id| (id, &config.backend_servers[id]));
    let lists = engines.map(|(id, server)| list_cached_prefixes(entry, id, server.address));
    let lists: Vec<Vec<CachedPrefix>> = stream::iter(lists)
        .buffer_unordered(MAX_CONCURRENT_CALLS)
        .collect()
        .await;
    let by_holder = group_by_holder(entry, &candidates, lists.into_iter().flatten());
    let checks = by_holder.iter().flat_map(|(holder, prefixes)| {
        let batches = prefixes.chunks(MAX_KEYS_PER_REQUEST);
        batches.map(|batch| release_ended_prefixes(entry, holder, batch))
    });
    stream::iter(checks)
        .buffer_unordered(MAX_CONCURRENT_CALLS)
        .collect::<()>()
        .await;
}

async fn list_cached_prefixes(
    entry: &Rc<Entry>,
    backend_server_id: &BackendServerId,
    address: SocketAddr,
) -> Vec<CachedPrefix> {
    let cached = match entry.engines.fetch_cache_entries(address).await {
        Ok(cached) => cached,
        Err(error) => {
            log::info!("could not list the cache of engine `{backend_server_id}`: {error}");
            return Vec::new();
        }
    };
    let prefixes = cached.into_iter().map(|cached| CachedPrefix {
        backend_server_id: backend_server_id.clone(),
        address,
        cache_key: cached.cache_key,
    });
    prefixes.collect()
}

/// Groups prefixes by the preferred holder of their conversation's slot.
///
/// A slot that another entry holds moves to its preferred holder within seconds; until then the
/// preferred holder reports the prefix as active.
fn group_by_holder(
    entry: &Entry,
    candidates: &IndexSet<EntryId>,
    prefixes: impl Iterator<Item = CachedPrefix>,
) -> IndexMap<EntryId, Vec<CachedPrefix>> {
    let mut by_holder: IndexMap<EntryId, Vec<CachedPrefix>> = IndexMap::new();
    for prefix in prefixes {
        let Some((key, _)) = parse_cache_key(&prefix.cache_key) else {
            continue;
        };
        let slot = entry.slots.slot_of(&key);
        let holder = placement::preferred(slot, candidates.iter().map(|id| &**id));
        if let Some(holder) = holder {
            by_holder.entry(holder.into()).or_default().push(prefix);
        }
    }
    by_holder
}

async fn release_ended_prefixes(entry: &Rc<Entry>, holder: &EntryId, prefixes: &[CachedPrefix]) {
    let keys: Vec<String> = prefixes
        .iter()
        .map(|prefix| prefix.cache_key.clone())
        .collect();
    let active = query_active_prefixes(entry, holder, keys).await;
    for (prefix, is_active) in prefixes.iter().zip(active) {
        if !is_active {
            release_prefix(entry, prefix).await;
        }
    }
}

/// Whether each key is active, in the order of `keys`; empty if the holder does not respond.
async fn query_active_prefixes(
    entry: &Rc<Entry>,
    holder: &EntryId,
    keys: Vec<String>,
) -> Vec<bool> {
    if *holder == entry.settings.entry_id {
        let active = keys.iter().map(|key| is_cache_key_active(entry, key));
        return active.collect();
    }
    let Some(row) = entry.membership.get(holder) else {
        return Vec::new();
    };
    let count = keys.len();
    let request = PeerRequest::RunsActive(keys);
    let response = entry
        .peers
        .call(row.peer_address, holder, request, PEER_CALL_TIMEOUT)
        .await;
    match response {
        Ok(PeerResponse::RunsActive(active)) if active.len() == count => active,
        Ok(_) => {
            log::warn!(peer = &**holder; "invalid response from the peer about active runs");
            Vec::new()
        }
        Err(error) => {
            log::info!(peer = &**holder; "could not ask the peer about active runs: {error}");
            Vec::new()
        }
    }
}

/// Releases a prefix without a retry; the next check releases it again if it is still cached.
async fn release_prefix(entry: &Rc<Entry>, prefix: &CachedPrefix) {
    let CachedPrefix {
        backend_server_id,
        address,
        cache_key,
    } = prefix;
    match entry.engines.release_cache(*address, cache_key).await {
        Ok(()) => log::info!(
            "engine `{backend_server_id}` released prefix `{cache_key}`, which no active run uses"
        ),
        Err(error) => {
            log::info!("engine `{backend_server_id}` did not release prefix `{cache_key}`: {error}")
        }
    }
}

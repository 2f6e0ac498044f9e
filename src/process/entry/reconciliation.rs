//! Frees engine memory of programs that have ended.
//!
//! The holder of a conversation releases the prefixes that it knows of when a run ends. It does not
//! know those that an earlier holder filled, those of calls that were broken off, and those whose
//! release an engine missed. So for each engine one entry, found by rendezvous hashing over the live
//! entries, lists the engine's cache every `limits.cache_check_ms`, asks the preferred holders of the
//! conversations which prefixes active runs use, and releases the others.
//!
//! A prefix counts as active while its slot has no holder or its holder does not answer. A cache key
//! that does not have the form of [`cache_key`](crate::request::call::cache_key) is left alone.
//!
//! A conversation may start a new run between the answer and the release. The engine then computes
//! the prompt again, which costs time, but changes no result: every call carries the whole prompt.
//! Two entries that both think they are responsible, while their views of the membership differ,
//! release the same prefixes twice, which is harmless.

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

/// Engines listed, and peers asked, at the same time, so that one that does not answer delays few
/// others.
const PARALLEL_CALLS: usize = 8;
/// Cache keys in one question to a peer; bounds the message to about 300 KB.
const KEYS_PER_QUESTION: usize = 1_024;
/// Longest question to a peer.
const QUESTION_TIME: Duration = Duration::from_secs(2);

/// A prefix of ours in the cache of an engine.
struct CachedPrefix {
    backend_server_id: BackendServerId,
    address: SocketAddr,
    cache_key: String,
}

/// Checks the caches of the engines that this entry is responsible for, for ever.
pub async fn run(entry: Rc<Entry>) {
    loop {
        let config = entry.config.newer_than(0).await;
        entry.timer.sleep(config.limits.cache_check_interval).await;
        check_engines(&entry).await;
    }
}

/// Lists all engines before it asks, so that each peer gets its questions about all of them at once.
async fn check_engines(entry: &Rc<Entry>) {
    let Some(config) = entry.config.current() else {
        return;
    };
    let candidates = entry.manager.candidates();
    let own = entry.responsible_for(&config);
    let engines = own.iter().map(|id| (id, &config.backend_servers[id]));
    let lists = engines.map(|(id, server)| list(entry, id, server.address));
    let lists: Vec<Vec<CachedPrefix>> = stream::iter(lists)
        .buffer_unordered(PARALLEL_CALLS)
        .collect()
        .await;
    let by_holder = by_holder(entry, &candidates, lists.into_iter().flatten());
    let checks = by_holder.iter().flat_map(|(holder, prefixes)| {
        let batches = prefixes.chunks(KEYS_PER_QUESTION);
        batches.map(|batch| release_ended(entry, holder, batch))
    });
    stream::iter(checks)
        .buffer_unordered(PARALLEL_CALLS)
        .collect::<()>()
        .await;
}

async fn list(
    entry: &Rc<Entry>,
    backend_server_id: &BackendServerId,
    address: SocketAddr,
) -> Vec<CachedPrefix> {
    let cached = match entry.engines.cache(address).await {
        Ok(cached) => cached,
        Err(error) => {
            log::info!("the cache of `{backend_server_id}` could not be listed: {error}");
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

/// The prefixes of conversations, by the entry that should hold each conversation's slot.
///
/// A slot that another entry holds moves to its preferred holder within seconds; until then the
/// preferred holder answers that the prefix is active.
fn by_holder(
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

async fn release_ended(entry: &Rc<Entry>, holder: &EntryId, prefixes: &[CachedPrefix]) {
    let keys: Vec<String> = prefixes
        .iter()
        .map(|prefix| prefix.cache_key.clone())
        .collect();
    let active = ask(entry, holder, keys).await;
    for (prefix, is_active) in prefixes.iter().zip(active) {
        if !is_active {
            release(entry, prefix).await;
        }
    }
}

/// Whether each key is active; nothing if the holder does not answer.
async fn ask(entry: &Rc<Entry>, holder: &EntryId, keys: Vec<String>) -> Vec<bool> {
    if *holder == entry.settings.entry_id {
        let active = keys.iter().map(|key| is_cache_key_active(entry, key));
        return active.collect();
    }
    let Some(row) = entry.membership.get(holder) else {
        return Vec::new();
    };
    let count = keys.len();
    let request = PeerRequest::RunsActive(keys);
    let answer = entry
        .peers
        .call(row.peer_address, holder, request, QUESTION_TIME)
        .await;
    match answer {
        Ok(PeerResponse::RunsActive(active)) if active.len() == count => active,
        Ok(_) => {
            log::warn!(peer = &**holder; "the peer gave no valid answer about active runs");
            Vec::new()
        }
        Err(error) => {
            log::info!(peer = &**holder; "the peer was not asked about active runs: {error}");
            Vec::new()
        }
    }
}

/// Releases a prefix once; one that is still there is released again by the next check.
async fn release(entry: &Rc<Entry>, prefix: &CachedPrefix) {
    let CachedPrefix {
        backend_server_id,
        address,
        cache_key,
    } = prefix;
    match entry.engines.release(*address, cache_key).await {
        Ok(()) => log::info!("`{backend_server_id}` releases `{cache_key}`: its program has ended"),
        Err(error) => log::info!("`{backend_server_id}` did not release `{cache_key}`: {error}"),
    }
}

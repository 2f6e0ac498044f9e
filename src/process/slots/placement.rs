//! Maps conversations to slots, and ranks the entries that should hold a slot by rendezvous
//! hashing.
//!
//! All entries of a site must compute the same result, including while they run different builds,
//! so neither mapping may change: neither depends on the standard library's hasher or on the order
//! of the candidates. The slot of a conversation uses SHA-256, because callers choose conversation
//! ids and could otherwise direct them all to one slot. The weights of entries use a fast mixing
//! function: on a large site, an entry computes them for 16,384 slots times 640 entries whenever
//! the set of entries changes.

use std::cmp::Reverse;

use sha2::{Digest, Sha256};

use crate::ids::{ConversationKey, SlotId};

/// The slot of a conversation; `slot_count` must be at least 1.
pub fn slot_of(key: &ConversationKey, slot_count: SlotId) -> SlotId {
    let mut digest = Sha256::new();
    // The length separates the two ids, so that ("a", "bc") and ("ab", "c") hash differently.
    digest.update((key.team_id.len() as u64).to_be_bytes());
    digest.update(key.team_id.as_bytes());
    digest.update(key.conversation_id.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&digest.finalize()[..8]);
    (u64::from_be_bytes(first) % u64::from(slot_count)) as SlotId
}

/// The candidates in order of preference for a slot, by rendezvous hashing. When an entry joins or
/// leaves, only the slots that prefer it are reassigned.
pub fn rank<'a>(slot: SlotId, candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<_> = candidates
        .into_iter()
        .map(|id| (Reverse(weight(slot, id)), id))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, id)| id).collect()
}

/// The first candidate of [`rank`], without sorting the others; `None` if there are no candidates.
pub fn preferred<'a>(
    slot: SlotId,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    candidates
        .into_iter()
        .min_by_key(|id| (Reverse(weight(slot, id)), *id))
}

/// The candidate that owns a backend server, by rendezvous hashing over the server's id.
pub fn backend_server_owner<'a>(
    backend_server_id: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let key = hash_bytes(backend_server_id.as_bytes());
    candidates
        .into_iter()
        .min_by_key(|id| (Reverse(rendezvous_weight(key, id)), *id))
}

/// The candidate that should recover an entry whose lease has expired, by rendezvous hashing over
/// its id. That entry may still be listed as live, so it is removed from the candidates.
pub fn preferred_recoverer<'a>(
    expired: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let others = candidates.into_iter().filter(|id| *id != expired);
    preferred(hash_bytes(expired.as_bytes()) as SlotId, others)
}

fn weight(slot: SlotId, entry_id: &str) -> u64 {
    rendezvous_weight(u64::from(slot), entry_id)
}

/// The rendezvous weight of a candidate for a key; the candidate with the highest weight is
/// preferred.
pub fn rendezvous_weight(key: u64, entry_id: &str) -> u64 {
    mix(hash_bytes(entry_id.as_bytes()) ^ mix(key))
}

/// The 64-bit FNV-1a hash.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    bytes.iter().fold(OFFSET, step)
}

/// The output function of SplitMix64, which spreads each input bit over all output bits.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

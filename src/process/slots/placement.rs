//! Which slot a conversation belongs to, and which entry a slot prefers.
//!
//! All entries must agree on both, so the hash is written out here and never changes.

use crate::ids::{ConversationKey, EntryId, SlotId};

/// The slot of a conversation.
pub fn slot_of(key: &ConversationKey, slot_count: SlotId) -> SlotId {
    let mut hash = hash_bytes(HASH_SEED, key.team_id.as_bytes());
    // The separator keeps `ab` + `c` and `a` + `bc` apart.
    hash = hash_bytes(hash, &[0]);
    hash = hash_bytes(hash, key.conversation_id.as_bytes());
    (mix(hash) % u64::from(slot_count)) as SlotId
}

/// The entry with the highest rendezvous weight for a slot.
pub fn preferred<'a>(
    slot: SlotId,
    entries: impl IntoIterator<Item = &'a EntryId>,
) -> Option<&'a EntryId> {
    entries.into_iter().max_by_key(|entry| (weight(slot, entry), (*entry).clone()))
}

/// Entries in the order in which a slot prefers them.
pub fn rank<'a>(
    slot: SlotId,
    entries: impl IntoIterator<Item = &'a EntryId>,
) -> Vec<&'a EntryId> {
    let mut ranked: Vec<_> = entries.into_iter().collect();
    ranked.sort_by_key(|entry| std::cmp::Reverse((weight(slot, entry), (*entry).clone())));
    ranked
}

fn weight(slot: SlotId, entry: &EntryId) -> u64 {
    mix(hash_bytes(HASH_SEED, entry.as_bytes()) ^ mix(u64::from(slot) + 1))
}

const HASH_SEED: u64 = 0xcbf2_9ce4_8422_2325;
const HASH_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a.
pub fn hash_bytes(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(HASH_PRIME))
}

/// The finalizer of SplitMix64, which spreads every input bit over all output bits.
fn mix(mut value: u64) -> u64 {
    value ^= value >> 30;
    value = value.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value ^= value >> 27;
    value = value.wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

//! Rows of the platform's table and keys of its objects that all entries share.
//!
//! The field names are the stored format. Each entry writes its own row; the row of a slot is
//! written by its lease holder, by the entry that acquires it, or by one that recovers the lease
//! holder.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{EntryId, FailureDomainId, Incarnation, SlotId, VersionNumber};

/// Key prefix of entry rows; the entry id follows.
pub const ENTRY_PREFIX: &str = "entries/";
/// Key prefix of slot rows; the slot number follows, padded to six digits.
pub const SLOT_PREFIX: &str = "slots/";
/// Key of the row that names the configuration version in force.
pub const CONFIG_HEAD_KEY: &str = "config/head";
/// Key prefix of the audit rows, one for each configuration version.
pub const CONFIG_AUDIT_PREFIX: &str = "config/audit/";

/// State of an entry, as stored in its row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryState {
    /// Renews its lease and may hold slots.
    Live,
    /// Drains before shutdown: renews its lease, acquires no slots and releases those it holds.
    Leaving,
    /// Lost its lease and cannot commit; its slots await recovery.
    Fenced,
    /// Has ended or was recovered, and holds no slots.
    Closed,
}

/// The row of an entry: its lease, and the range of its journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryRow {
    /// Also part of the row key.
    pub entry_id: EntryId,
    /// Incremented at each start of the entry, and when it registers again after it was fenced.
    pub incarnation: Incarnation,
    /// Address on which callers connect.
    pub http_address: SocketAddr,
    /// Address on which other entries connect.
    pub peer_address: SocketAddr,
    /// Failure domain that the entry runs in.
    pub failure_domain: FailureDomainId,
    /// `Fenced` is written only by an entry that fences this one: another entry, or this one when
    /// it starts again. `Closed` is written by the recovering entry or, like all other states, by
    /// the entry itself.
    pub state: EntryState,
    /// Incremented by each commit and each lease renewal, so that every write changes the row.
    pub renewal: u64,
    /// The last committed segment; 0 before the first. Objects of later segments are not committed
    /// and are ignored.
    pub segment: u64,
    /// All segments before this one are included in checkpoints and may be deleted; at least 1.
    pub first_segment: u64,
    /// The configuration version in force on the entry; 0 before it has loaded one.
    pub config_version: VersionNumber,
}

impl EntryRow {
    /// The incarnation of the entry that the row describes.
    pub fn entry_incarnation(&self) -> EntryIncarnation {
        EntryIncarnation {
            entry_id: self.entry_id.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// Identifies one incarnation of an entry: the time from one registration of its row to the next.
///
/// Rows that name a `holder` mean the lease holder of the slot or of the order row, so that a
/// restarted entry does not pass for the incarnation that held it before.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryIncarnation {
    /// Stays the same across restarts.
    pub entry_id: EntryId,
    /// The value of [`EntryRow::incarnation`].
    pub incarnation: Incarnation,
}

/// The row of a slot: its lease holder and its last checkpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotRow {
    /// Also part of the row key.
    pub slot: SlotId,
    /// The lease holder, the only incarnation that may serve the slot; `None` while it is free.
    pub holder: Option<EntryIncarnation>,
    /// Key of the checkpoint object with the slot's conversations; `None` while it has none.
    pub checkpoint: Option<String>,
    /// The first segment of the lease holder's journal that the checkpoint does not include; not
    /// used while the slot is free.
    pub first_segment: u64,
}

/// Key of the row with the orders for an engine, which is addressed by its backend server id.
pub fn orders_key(backend_server_id: &str) -> String {
    format!("orders/{backend_server_id}")
}

/// Key of the [`EntryRow`] of an entry.
pub fn entry_key(entry_id: &str) -> String {
    format!("{ENTRY_PREFIX}{entry_id}")
}

/// Key of the [`SlotRow`] of a slot.
pub fn slot_key(slot: SlotId) -> String {
    format!("{SLOT_PREFIX}{slot:06}")
}

/// Key of the object of an evicted conversation. `number` makes the key unique among those that
/// the incarnation `writer` writes.
pub fn conversation_object_key(slot: SlotId, writer: &EntryIncarnation, number: u64) -> String {
    format!(
        "conversations/{slot:06}/{}-{}-{number:012}",
        writer.entry_id, writer.incarnation
    )
}

/// Key of the object with segment `number` of the journal of the incarnation `writer`.
pub fn segment_key(writer: &EntryIncarnation, number: u64) -> String {
    format!(
        "segments/{}/{}/{number:012}",
        writer.entry_id, writer.incarnation
    )
}

/// Key of the checkpoint that the recovery of the incarnation `fenced` writes. It does not depend
/// on the recovering entry, because every one of them derives the same content.
pub fn recovery_checkpoint_key(slot: SlotId, fenced: &EntryIncarnation) -> String {
    format!(
        "checkpoints/{slot:06}/{}-{}-recovery",
        fenced.entry_id, fenced.incarnation
    )
}

/// Key of the object with a checkpoint of a slot that its lease holder `writer` writes. `number`
/// makes the key unique among those of the same incarnation.
pub fn checkpoint_key(slot: SlotId, writer: &EntryIncarnation, number: u64) -> String {
    format!(
        "checkpoints/{slot:06}/{}-{}-{number:012}",
        writer.entry_id, writer.incarnation
    )
}

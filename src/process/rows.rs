//! The rows of the platform's table that entries share, and their keys.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{EntryId, FailureDomainId, Incarnation, SlotId, VersionNumber};

/// Prefix of the rows of all entries.
pub const ENTRY_PREFIX: &str = "entries/";
/// Prefix of the rows of all slots.
pub const SLOT_PREFIX: &str = "slots/";
/// Key of the row that names the configuration in force.
pub const CONFIG_HEAD_KEY: &str = "config/head";
/// Prefix of the audit rows, one for each configuration version.
pub const CONFIG_AUDIT_PREFIX: &str = "config/audit/";

/// State of an entry in its row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryState {
    /// Holds its lease and takes slots.
    Live,
    /// Shuts down: finishes its work and takes no new slots.
    Leaving,
    /// Lost its lease; its slots wait for recovery.
    Fenced,
    /// Holds no slots any more.
    Closed,
}

/// The row of an entry: its lease, and the end of its journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryRow {
    /// The entry.
    pub entry_id: EntryId,
    /// Grows with each start of the entry, and after each time it was fenced.
    pub incarnation: Incarnation,
    /// Where callers connect.
    pub http_address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Where the entry stands.
    pub failure_domain: FailureDomainId,
    /// Changed to `Fenced` by other entries only, to all others by the entry itself.
    pub state: EntryState,
    /// Grows with each commit and each renewal, so that every write changes the row.
    pub renewal: u64,
    /// The last segment that is committed; 0 before the first. Higher ones do not count.
    pub segment: u64,
    /// Segments below this one are included in checkpoints and may be deleted; at least 1.
    pub first_segment: u64,
    /// The configuration version in force on the entry; 0 while it has none.
    pub config_version: VersionNumber,
}

impl EntryRow {
    /// The start of the entry that the row is about.
    pub fn entry_incarnation(&self) -> EntryIncarnation {
        EntryIncarnation {
            entry_id: self.entry_id.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// Names one start of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryIncarnation {
    /// The entry.
    pub entry_id: EntryId,
    /// Its start.
    pub incarnation: Incarnation,
}

/// The row of a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotRow {
    /// The slot.
    pub slot: SlotId,
    /// Who serves the slot; `None` while it is free to take.
    pub holder: Option<EntryIncarnation>,
    /// The object with the state of the slot's conversations; `None` while there are none.
    pub checkpoint: Option<String>,
    /// The first segment of the holder that the checkpoint does not include.
    pub first_segment: u64,
}

/// Key of the row with the orders of an engine.
pub fn orders_key(backend_server_id: &str) -> String {
    format!("orders/{backend_server_id}")
}

/// Key of the row of an entry.
pub fn entry_key(entry_id: &str) -> String {
    format!("{ENTRY_PREFIX}{entry_id}")
}

/// Key of the row of a slot.
pub fn slot_key(slot: SlotId) -> String {
    format!("{SLOT_PREFIX}{slot:06}")
}

/// Key of the object with an idle conversation. The number makes the key unique among those that
/// the same incarnation writes.
pub fn conversation_object_key(slot: SlotId, writer: &EntryIncarnation, number: u64) -> String {
    format!(
        "conversations/{slot:06}/{}-{}-{number:012}",
        writer.entry_id, writer.incarnation
    )
}

/// Key of the object with a segment of a journal.
pub fn segment_key(writer: &EntryIncarnation, number: u64) -> String {
    format!(
        "segments/{}/{}/{number:012}",
        writer.entry_id, writer.incarnation
    )
}

/// Key of the checkpoint that a recovery of `holder` writes; the same for every recovering entry,
/// because all of them derive the same content.
pub fn recovery_checkpoint_key(slot: SlotId, fenced: &EntryIncarnation) -> String {
    format!(
        "checkpoints/{slot:06}/{}-{}-recovery",
        fenced.entry_id, fenced.incarnation
    )
}

/// Key of the object with a checkpoint of a slot.
pub fn checkpoint_key(slot: SlotId, writer: &EntryIncarnation, number: u64) -> String {
    format!(
        "checkpoints/{slot:06}/{}-{}-{number:012}",
        writer.entry_id, writer.incarnation
    )
}

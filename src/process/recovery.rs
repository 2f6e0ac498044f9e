//! Fencing and recovery of an entry whose lease has expired.
//!
//! Fencing sets the state in the entry's row, which makes every later commit of that incarnation
//! fail. Recovery then replays the segments of its journal on top of the last checkpoint of each
//! slot that it held, writes new checkpoints, frees the slots and closes the row.
//!
//! Any entry may recover any other, and several may do so at once, because every step can be
//! repeated: the content of a recovered checkpoint depends only on the fenced journal, and each
//! transaction checks the versions of all rows that it depends on.

use futures_util::stream::{FuturesUnordered, StreamExt};
use indexmap::IndexMap;

use crate::connection::platform::{
    Check, CommitOutcome, MAX_CHANGES_PER_COMMIT, PlatformClient, PlatformError, Result, Write,
};
use crate::ids::{ConversationKey, SlotId};
use crate::process::conversation::{Conversation, Record};
use crate::process::journal::segment::{self, Checkpoint};
use crate::process::metrics::ENTRIES_FENCED;
use crate::process::rows::{
    EntryIncarnation, EntryRow, EntryState, SLOT_PREFIX, SlotRow, entry_key,
    recovery_checkpoint_key, segment_key, slot_key,
};

/// Limit of concurrent segment reads.
const MAX_CONCURRENT_READS: usize = 16;

/// Fences the entry of `row` and recovers it. Does nothing if `version` is no longer the version of
/// the row; an entry that is already fenced is only recovered.
pub async fn fence_and_recover(
    platform: &PlatformClient,
    row: &EntryRow,
    version: u64,
) -> Result<()> {
    let mut row = row.clone();
    let mut version = version;
    if row.state != EntryState::Fenced {
        row.state = EntryState::Fenced;
        row.renewal += 1;
        let key = entry_key(&row.entry_id);
        let check = Check {
            key: key.clone(),
            version,
        };
        match platform.commit(&[check], &[Write::put(key, &row)?]).await? {
            CommitOutcome::Committed(versions) => version = versions.first().copied().unwrap_or(0),
            // The entry has renewed its lease, or another entry has fenced it first.
            CommitOutcome::Conflict(_) => return Ok(()),
            CommitOutcome::Unknown(error) => return Err(error),
        }
        metrics::counter!(ENTRIES_FENCED).increment(1);
        log::warn!( entry = &*row.entry_id, incarnation = row.incarnation, segment = row.segment; "entry fenced" );
    }
    recover(platform, &row, version).await
}

/// Recovers a fenced entry: writes checkpoints of its slots, frees the slots and closes the row.
/// Stops without an error if another entry makes progress with the same recovery.
pub async fn recover(platform: &PlatformClient, row: &EntryRow, version: u64) -> Result<()> {
    let fenced = EntryIncarnation {
        entry_id: row.entry_id.clone(),
        incarnation: row.incarnation,
    };
    let slots = slots_held_by(platform, &fenced).await?;
    let records = read_segments(platform, row, &fenced, &slots).await?;
    let row_check = Check {
        key: entry_key(&row.entry_id),
        version,
    };
    let held: Vec<_> = slots.iter().collect();
    for chunk in held.chunks(MAX_CHANGES_PER_COMMIT) {
        let mut checks = vec![row_check.clone()];
        let mut writes = Vec::new();
        for (slot, (slot_row, slot_version)) in chunk {
            let checkpoint = recover_slot(platform, slot_row, &fenced, &records).await?;
            checks.push(Check {
                key: slot_key(**slot),
                version: *slot_version,
            });
            let free = SlotRow {
                slot: **slot,
                holder: None,
                checkpoint,
                first_segment: 0,
            };
            writes.push(Write::put(slot_key(**slot), &free)?);
        }
        if !is_committed(platform.commit(&checks, &writes).await?)? {
            return Ok(());
        }
    }
    // The row is closed only after all slots are free. If this recovery is interrupted, the entry
    // stays fenced and the next recovery continues with the remaining slots.
    let close = [Write::put(entry_key(&row.entry_id), &closed_row(row))?];
    if is_committed(platform.commit(&[row_check], &close).await?)? {
        log::info!(entry = &*row.entry_id, slots = slots.len(); "entry recovered");
    }
    Ok(())
}

/// Whether a commit took effect. A conflict means that another entry performs the same recovery.
fn is_committed(outcome: CommitOutcome) -> Result<bool> {
    match outcome {
        CommitOutcome::Committed(_) => Ok(true),
        CommitOutcome::Conflict(_) => Ok(false),
        CommitOutcome::Unknown(error) => Err(error),
    }
}

fn closed_row(row: &EntryRow) -> EntryRow {
    EntryRow {
        state: EntryState::Closed,
        renewal: row.renewal + 1,
        ..row.clone()
    }
}

type HeldSlots = IndexMap<SlotId, (SlotRow, u64)>;

async fn slots_held_by(platform: &PlatformClient, fenced: &EntryIncarnation) -> Result<HeldSlots> {
    let mut slots = HeldSlots::new();
    for row in platform.scan(SLOT_PREFIX).await? {
        let slot_row: SlotRow = row.decode()?;
        if slot_row.holder.as_ref() == Some(fenced) {
            slots.insert(slot_row.slot, (slot_row, row.version));
        }
    }
    Ok(slots)
}

type NumberedRecord = (u64, Record);

/// Reads the records of all segments that the checkpoint of at least one slot does not include, in
/// journal order. Each record is returned with the number of its segment.
async fn read_segments(
    platform: &PlatformClient,
    row: &EntryRow,
    fenced: &EntryIncarnation,
    slots: &HeldSlots,
) -> Result<Vec<NumberedRecord>> {
    let Some(first) = slots
        .values()
        .map(|(slot_row, _)| slot_row.first_segment)
        .min()
    else {
        return Ok(Vec::new());
    };
    let first = first.max(row.first_segment);
    let mut numbers = first..=row.segment;
    let mut reads = FuturesUnordered::new();
    let mut segments = IndexMap::new();
    loop {
        while reads.len() < MAX_CONCURRENT_READS
            && let Some(number) = numbers.next()
        {
            reads.push(read_segment(platform, fenced, number));
        }
        let Some(read) = reads.next().await else {
            break;
        };
        let (number, records) = read?;
        segments.insert(number, records);
    }
    segments.sort_unstable_keys();
    let numbered = segments
        .into_iter()
        .flat_map(|(number, records)| records.into_iter().map(move |record| (number, record)));
    Ok(numbered.collect())
}

async fn read_segment(
    platform: &PlatformClient,
    fenced: &EntryIncarnation,
    number: u64,
) -> Result<(u64, Vec<Record>)> {
    let key = segment_key(fenced, number);
    let bytes = platform
        .get_object(&key)
        .await?
        .ok_or_else(|| missing_object(&key))?;
    let records = segment::decode_segment(&bytes).map_err(|error| codec_error(&key, &error))?;
    Ok((number, records))
}

async fn recover_slot(
    platform: &PlatformClient,
    slot_row: &SlotRow,
    fenced: &EntryIncarnation,
    records: &[NumberedRecord],
) -> Result<Option<String>> {
    let mut state = load_checkpoint(platform, slot_row).await?;
    for (number, record) in records {
        if record.slot == slot_row.slot && *number >= slot_row.first_segment {
            let conversation = state.conversation_mut(platform, &record.key).await?;
            conversation.apply(&record.event, record.at_ms);
        }
    }
    for conversation in state.conversations.values_mut() {
        conversation.interrupt_open_calls();
    }
    if state.conversations.is_empty() {
        return Ok(slot_row.checkpoint.clone());
    }
    let key = recovery_checkpoint_key(slot_row.slot, fenced);
    let bytes =
        segment::encode(&state.into_checkpoint()).map_err(|error| codec_error(&key, &error))?;
    platform.put_object(&key, bytes.into()).await?;
    Ok(Some(key))
}

/// The conversations of a slot, as read from a checkpoint.
#[derive(Debug, Default)]
pub struct SlotState {
    /// Conversations whose state the checkpoint contains.
    pub conversations: IndexMap<ConversationKey, Conversation>,
    /// Evicted conversations, with the keys of their objects.
    pub stored: IndexMap<ConversationKey, String>,
}

impl SlotState {
    /// Returns a conversation in memory so that an event can be applied. Loads it if it was
    /// evicted, and creates it if it does not exist.
    async fn conversation_mut(
        &mut self,
        platform: &PlatformClient,
        key: &ConversationKey,
    ) -> Result<&mut Conversation> {
        let loaded = match self.stored.swap_remove(key) {
            Some(object) => load_conversation(platform, &object).await?,
            None => Conversation::new(key.clone()),
        };
        Ok(self.conversations.entry(key.clone()).or_insert(loaded))
    }

    fn into_checkpoint(self) -> Checkpoint {
        Checkpoint {
            conversations: self.conversations.into_values().collect(),
            stored: self.stored.into_iter().collect(),
        }
    }
}

/// Reads the checkpoint that a slot row names; the state is empty if the row names none.
pub async fn load_checkpoint(platform: &PlatformClient, slot_row: &SlotRow) -> Result<SlotState> {
    let Some(key) = &slot_row.checkpoint else {
        return Ok(SlotState::default());
    };
    let bytes = platform
        .get_object(key)
        .await?
        .ok_or_else(|| missing_object(key))?;
    let checkpoint =
        segment::decode_checkpoint(&bytes).map_err(|error| codec_error(key, &error))?;
    let by_key = checkpoint
        .conversations
        .into_iter()
        .map(|state| (state.key.clone(), state));
    Ok(SlotState {
        conversations: by_key.collect(),
        stored: checkpoint.stored.into_iter().collect(),
    })
}

/// Reads an evicted conversation from its object.
pub async fn load_conversation(platform: &PlatformClient, key: &str) -> Result<Conversation> {
    let bytes = platform
        .get_object(key)
        .await?
        .ok_or_else(|| missing_object(key))?;
    segment::decode_conversation(&bytes).map_err(|error| codec_error(key, &error))
}

fn missing_object(key: &str) -> PlatformError {
    PlatformError::Status(404, format!("object `{key}` does not exist"))
}

fn codec_error(key: &str, error: &segment::CodecError) -> PlatformError {
    PlatformError::Status(
        200,
        format!(
            "failed to encode or decode object `{key}`: {}",
            crate::error::chain(error)
        ),
    )
}

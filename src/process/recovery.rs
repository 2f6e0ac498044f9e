//! Recovery of an entry that lost its lease.
//!
//! Any entry may recover any other. All steps can be repeated, also by several entries at once: the
//! content of the recovered checkpoints depends on the fenced journal only, and one transaction
//! hands over all slots and closes the row.

use futures_util::stream::{FuturesUnordered, StreamExt};
use indexmap::IndexMap;

use crate::connection::platform::{
    CHANGES_PER_COMMIT, Check, CommitOutcome, PlatformClient, PlatformError, Result, Write,
};
use crate::ids::{ConversationKey, SlotId};
use crate::process::conversation::{Conversation, Record};
use crate::process::journal::segment::{self, Checkpoint};
use crate::process::metrics::ENTRIES_FENCED;
use crate::process::rows::{
    EntryIncarnation, EntryRow, EntryState, SLOT_PREFIX, SlotRow, entry_key,
    recovery_checkpoint_key, segment_key, slot_key,
};

/// Segments read at the same time.
const MAX_CONCURRENT_READS: usize = 16;

/// Fences the entry of `row`, if `version` is still the version of its row, and recovers it.
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
            // The entry is alive after all, or another entry was faster.
            CommitOutcome::Conflict(_) => return Ok(()),
            CommitOutcome::Unknown(error) => return Err(error),
        }
        metrics::counter!(ENTRIES_FENCED).increment(1);
        log::warn!(
            entry = &*row.entry_id, incarnation = row.incarnation, segment = row.segment;
            "entry fenced"
        );
    }
    recover(platform, &row, version).await
}

/// Recovers a fenced entry: its slots get checkpoints and become free.
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
    for chunk in held.chunks(CHANGES_PER_COMMIT) {
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
    // The entry counts as closed only when all its slots are free, so whoever finds it fenced goes
    // on with the slots that are left.
    let close = [Write::put(entry_key(&row.entry_id), &closed_row(row))?];
    if is_committed(platform.commit(&[row_check], &close).await?)? {
        log::info!(entry = &*row.entry_id, slots = slots.len(); "entry recovered");
    }
    Ok(())
}

/// Whether a commit took effect; if not, another entry does the same recovery.
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

/// Reads every segment that a slot's checkpoint does not include, in order.
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

/// The conversations of a slot.
#[derive(Debug, Default)]
pub struct SlotState {
    /// Those that are in memory.
    pub conversations: IndexMap<ConversationKey, Conversation>,
    /// Keys of the objects of those that are not.
    pub stored: IndexMap<ConversationKey, String>,
}

impl SlotState {
    /// A conversation that an event changes; loaded if it is stored, made if there is none.
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

/// Reads the conversations of a slot's checkpoint; empty if there is none.
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

/// Reads a conversation that has an object of its own.
pub async fn load_conversation(platform: &PlatformClient, key: &str) -> Result<Conversation> {
    let bytes = platform
        .get_object(key)
        .await?
        .ok_or_else(|| missing_object(key))?;
    segment::decode_conversation(&bytes).map_err(|error| codec_error(key, &error))
}

fn missing_object(key: &str) -> PlatformError {
    PlatformError::Status(404, format!("the object `{key}` is missing"))
}

fn codec_error(key: &str, error: &segment::DecodeError) -> PlatformError {
    PlatformError::Status(
        200,
        format!("the object `{key}`: {}", crate::error::chain(error)),
    )
}

//! `status`: lists the entries with their state and slots, read from the platform's table.

use indexmap::IndexMap;
use serde_json::json;

use crate::admin::{Arguments, Report, Result, align_columns};
use crate::ids::EntryId;
use crate::process::rows::{ENTRY_PREFIX, EntryIncarnation, EntryRow, SLOT_PREFIX, SlotRow};
use crate::version::store;

/// Runs the subcommand.
pub async fn run(arguments: &Arguments) -> Result<Report> {
    let [] = arguments.operands()?;
    let platform = arguments.platform_client()?;
    let version = store::read_head(&platform)
        .await?
        .map_or(0, |head| head.version);
    let mut entries: Vec<EntryRow> = Vec::new();
    for row in platform.scan(ENTRY_PREFIX).await? {
        entries.push(row.decode()?);
    }
    let mut slot_counts = SlotCounts::default();
    for row in platform.scan(SLOT_PREFIX).await? {
        slot_counts.add_row(row.decode()?);
    }
    let text = format!(
        "accepted configuration: version {version}\n{}slots without a holder: {}\n",
        format_table(&entries, &slot_counts),
        slot_counts.free
    );
    let entries: Vec<_> = entries
        .iter()
        .map(|entry| json!({"entry": entry, "slots": slot_counts.held_by(entry)}))
        .collect();
    let json = json!({
        "done": true,
        "version": version,
        "entries": entries,
        "free_slots": slot_counts.free,
    });
    Ok(Report::success(text, json))
}

/// Numbers of slots by holder, counted from the slot rows.
#[derive(Default)]
struct SlotCounts {
    held: IndexMap<(EntryId, u64), usize>,
    free: usize,
}

impl SlotCounts {
    fn add_row(&mut self, row: SlotRow) {
        match row.holder {
            Some(EntryIncarnation {
                entry_id,
                incarnation,
            }) => *self.held.entry((entry_id, incarnation)).or_default() += 1,
            None => self.free += 1,
        }
    }

    fn held_by(&self, entry: &EntryRow) -> usize {
        let holder = (entry.entry_id.clone(), entry.incarnation);
        self.held.get(&holder).copied().unwrap_or(0)
    }
}

fn format_table(entries: &[EntryRow], slot_counts: &SlotCounts) -> String {
    let header = [
        "entry",
        "failure domain",
        "address",
        "state",
        "slots",
        "version",
    ];
    let mut rows = vec![header.map(String::from).to_vec()];
    for entry in entries {
        rows.push(vec![
            entry.entry_id.to_string(),
            entry.failure_domain.to_string(),
            entry.http_address.to_string(),
            format!("{:?}", entry.state).to_lowercase(),
            slot_counts.held_by(entry).to_string(),
            entry.config_version.to_string(),
        ]);
    }
    align_columns(&rows)
}

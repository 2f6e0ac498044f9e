//! `rollout`: shows on which entries the accepted version is in force.

use std::time::Duration;

use serde::Serialize;
use serde_json::json;

use crate::admin::{Arguments, Report, Result, align_columns};
use crate::connection::platform::PlatformClient;
use crate::ids::{EntryId, VersionNumber};
use crate::process::rows::{ENTRY_PREFIX, EntryRow, EntryState};
use crate::version::store;

/// A row that is unchanged for less than the default lease TTL does not indicate a stopped entry.
const DEFAULT_LEASE_TTL: Duration = Duration::from_secs(4);

/// An entry and the version in force on it.
#[derive(Clone, Debug, Serialize)]
pub struct EntryRollout {
    /// The entry that the row belongs to.
    pub entry_id: EntryId,
    /// State of the entry in its row.
    pub state: EntryState,
    /// The version in force on the entry; 0 if there is none.
    pub config_version: VersionNumber,
    /// Whether the version in force is the awaited one or a later one.
    pub in_force: bool,
    /// What the entry does until the awaited version is in force; `None` once it is.
    #[serde(rename = "meanwhile")]
    pub interim_status: Option<String>,
    /// Version of the row, which grows with each commit and lease renewal of the entry.
    #[serde(skip)]
    row_version: u64,
}

/// The progress of rolling out a version.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The awaited version.
    pub version: VersionNumber,
    /// All entries that are not closed.
    pub entries: Vec<EntryRollout>,
}

/// Runs the subcommand.
pub async fn run(arguments: &Arguments) -> Result<Report> {
    let [] = arguments.operands()?;
    let platform = arguments.platform_client()?;
    let version = store::read_head(&platform)
        .await?
        .map_or(0, |head| head.version);
    let rollout = read(&platform, version).await?;
    let mut text = format!("version {version} is accepted\n{}", rollout.format_table());
    text.push_str(&rollout.describe_pending_entries());
    let is_success = rollout.is_complete();
    let json = json!({"done": is_success, "version": version, "entries": rollout.entries});
    Ok(Report {
        is_success,
        text,
        json,
    })
}

/// Reads the progress of a version from the entry rows.
pub async fn read(platform: &PlatformClient, version: VersionNumber) -> Result<Rollout> {
    let mut entries = Vec::new();
    for row in platform.scan(ENTRY_PREFIX).await? {
        let entry: EntryRow = row.decode()?;
        if entry.state == EntryState::Closed {
            continue;
        }
        let in_force = entry.config_version >= version;
        entries.push(EntryRollout {
            interim_status: (!in_force).then(|| describe_interim_status(&entry)),
            entry_id: entry.entry_id,
            state: entry.state,
            config_version: entry.config_version,
            in_force,
            row_version: row.version,
        });
    }
    Ok(Rollout { version, entries })
}

impl Rollout {
    /// Whether the version is in force on all live entries.
    pub fn is_complete(&self) -> bool {
        self.pending_entries().next().is_none()
    }

    /// Returns the live entries on which the version is not in force yet.
    pub fn pending_entries(&self) -> impl Iterator<Item = &EntryRollout> {
        let is_pending = |entry: &&EntryRollout| entry.state == EntryState::Live && !entry.in_force;
        self.entries.iter().filter(is_pending)
    }

    /// Reports a missing lease renewal in the interim status of entries whose row has not changed
    /// since `earlier`, which was read `elapsed` before. Has no effect if `elapsed` is shorter than
    /// the default lease TTL.
    pub fn with_unrenewed_leases(mut self, earlier: &Rollout, elapsed: Duration) -> Self {
        for entry in &mut self.entries {
            let unchanged = earlier.entries.iter().any(|earlier_entry| {
                earlier_entry.entry_id == entry.entry_id
                    && earlier_entry.row_version == entry.row_version
            });
            if unchanged
                && elapsed >= DEFAULT_LEASE_TTL
                && let Some(interim_status) = &mut entry.interim_status
            {
                let millis = elapsed.as_millis();
                *interim_status = format!(
                    "has not renewed its lease for {millis} ms: it is stopped, paused or cut off; \
                     the other entries fence it, and it loads the accepted version when it is \
                     available again"
                );
            }
        }
        self
    }

    /// Describes the live entries by their number.
    pub fn describe_live_entries(&self) -> String {
        let is_live = |entry: &&EntryRollout| entry.state == EntryState::Live;
        match self.entries.iter().filter(is_live).count() {
            0 => "no entry, because none is live".to_string(),
            1 => "the only live entry".to_string(),
            count => format!("all {count} live entries"),
        }
    }

    /// Formats one line for each pending entry.
    pub fn describe_pending_entries(&self) -> String {
        let line = |entry: &EntryRollout| {
            let interim_status = entry.interim_status.as_deref().unwrap_or_default();
            format!("missing: {} {interim_status}\n", entry.entry_id)
        };
        self.pending_entries().map(line).collect()
    }

    fn format_table(&self) -> String {
        let mut rows = vec![vec!["entry".into(), "state".into(), "version".into()]];
        for entry in &self.entries {
            let state = format!("{:?}", entry.state).to_lowercase();
            let version = entry.config_version.to_string();
            rows.push(vec![entry.entry_id.to_string(), state, version]);
        }
        align_columns(&rows)
    }
}

fn describe_interim_status(entry: &EntryRow) -> String {
    let version = entry.config_version;
    match (entry.state, version) {
        (EntryState::Live, 0) => {
            "has no configuration and is not ready: it refuses requests; check its log".into()
        }
        (EntryState::Live, _) => format!(
            "serves requests with version {version}; if this persists, check its log for a refused \
             version or an unreachable platform"
        ),
        (EntryState::Leaving, _) => {
            format!("is leaving: it completes its requests with version {version}")
        }
        (EntryState::Fenced | EntryState::Closed, _) => "serves no requests".into(),
    }
}

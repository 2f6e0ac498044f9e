//! Detects entries whose lease has expired and recovers them, see [`recovery`].
//!
//! Rendezvous hashing selects one entry to recover each expired one. The others take over only if
//! it does not finish, so that the same journal is not read many times.

use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::SlotManager;
use crate::connection::platform::Result;
use crate::error::chain;
use crate::ids::EntryId;
use crate::process::recovery;
use crate::process::rows::{EntryIncarnation, EntryRow, EntryState, entry_key};
use crate::process::slots::placement;

pub(super) async fn recover_entries(manager: Rc<SlotManager>) {
    let mut ticks = manager
        .timer
        .subscribe(manager.settings.membership_interval);
    let mut first_seen: IndexMap<EntryIncarnation, Instant> = IndexMap::new();
    let mut commits_succeed_since = None;
    loop {
        ticks.tick().await;
        commits_succeed_since = manager.commits_succeed_since(commits_succeed_since);
        let may_fence = commits_succeed_since
            .is_some_and(|since: Instant| since.elapsed() >= manager.settings.lease_ttl);
        let mut rows = manager.recoverable();
        rows.retain(|row| may_fence || row.state == EntryState::Fenced);
        first_seen.retain(|incarnation, _| {
            rows.iter()
                .any(|row| row.entry_incarnation() == *incarnation)
        });
        for row in rows {
            let seen = *first_seen
                .entry(row.entry_incarnation())
                .or_insert_with(Instant::now);
            if !manager.should_recover(&row.entry_id, seen.elapsed()) {
                continue;
            }
            if let Err(error) = manager.recover(&row).await {
                log::warn!(entry = &*row.entry_id; "failed to recover an entry: {}", chain(&error));
            }
        }
    }
}

impl SlotManager {
    /// Entries whose lease has expired, and fenced entries whose recovery is not complete.
    fn recoverable(&self) -> Vec<EntryRow> {
        let mut rows = self.membership.expired(self.settings.lease_ttl);
        let fenced = self.membership.entries().into_iter();
        rows.extend(fenced.filter(|row| row.state == EntryState::Fenced));
        rows
    }

    /// Since when the commits of this entry have succeeded without interruption; `since` is the
    /// result of the previous call.
    ///
    /// During an outage in which no entry can commit, no row changes although the entries are
    /// alive. An entry whose own commits succeed again therefore gives the others one lease TTL to
    /// renew before it fences any.
    fn commits_succeed_since(&self, since: Option<Instant>) -> Option<Instant> {
        let now = self.timer.now();
        let succeeds =
            self.journal.holds_lease_at(now) && self.journal.commits_failing_for().is_none();
        succeeds.then(|| since.unwrap_or(now))
    }

    async fn recover(&self, scanned: &EntryRow) -> Result<()> {
        let row = self
            .platform
            .read_one(&entry_key(&scanned.entry_id))
            .await?;
        let current: EntryRow = row.decode()?;
        // The entry has renewed its lease since the scan, or was closed.
        if current != *scanned {
            return Ok(());
        }
        recovery::fence_and_recover(&self.platform, &current, row.version).await
    }

    /// Whether this entry should recover `entry_id` now: at once if it is the preferred recoverer,
    /// and otherwise after a delay, in case the preferred one does not finish.
    fn should_recover(&self, entry_id: &EntryId, since_expiry: Duration) -> bool {
        /// Delay after which any entry may recover an expired one, in lease TTLs.
        const FALLBACK_DELAY_LEASE_TTLS: u32 = 2;
        if *entry_id == self.settings.entry_id || self.journal.own_incarnation().is_none() {
            return false;
        }
        // Other entries whose lease has expired too cannot perform the recovery.
        let expired = self.membership.expired(self.settings.lease_ttl);
        let mut candidates = self.candidates();
        candidates.retain(|id| expired.iter().all(|row| row.entry_id != *id));
        let first = placement::preferred_recoverer(entry_id, candidates.iter().map(|id| &**id));
        first == Some(&*self.settings.entry_id)
            || since_expiry >= self.settings.lease_ttl * FALLBACK_DELAY_LEASE_TTLS
    }
}

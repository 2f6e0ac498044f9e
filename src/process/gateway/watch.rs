//! Watches a table of the store: a full read, followed by the change feed.
//!
//! A watch starts again with a full read when the store no longer has the changes after the last
//! version that it saw.

use std::time::{Duration, Instant};

use sapphireford_platform::store::Row;

use super::store::Store;
use crate::process::boot_clock::{BootClock, BootTime, Clock};
use crate::process::teams::config_age::ProofSource;

/// A change that a watch observed.
pub enum TableChange {
    /// All rows of the table; rows that are not included do not exist.
    Snapshot(Vec<Row>),
    /// Rows that were written or removed, in version order.
    Rows(Vec<Row>),
}

/// Time for which a feed call waits for changes. A connection that goes silent is detected after
/// this time plus the timeout of a call.
const FEED_POLL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Timeout of a full read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest and longest delay before a retry. Each failure doubles the delay.
const RETRY_DELAY_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(800));

/// Passes the rows of a table and their changes to `apply` until the process ends. `confirm` is
/// called when all rows that existed at a time, the start of a call, have been passed.
pub async fn watch_table(
    store: Store,
    table: &'static str,
    mut apply: impl FnMut(TableChange),
    mut confirm: impl FnMut(ProofSource, BootTime),
) {
    let mut delay = RETRY_DELAY_BOUNDS.0;
    loop {
        let started = BootClock.now();
        let deadline = Instant::now() + READ_TIMEOUT;
        let version = match store.read_all(table, "", "", deadline).await {
            Ok(page) => {
                apply(TableChange::Snapshot(page.rows));
                confirm(ProofSource::Snapshot, started);
                delay = RETRY_DELAY_BOUNDS.0;
                page.version
            }
            Err(error) => {
                log::debug!(table = table; "table could not be read, retrying: {error}");
                store.timer().sleep(delay).await;
                delay = (delay * 2).min(RETRY_DELAY_BOUNDS.1);
                continue;
            }
        };
        follow_feed(&store, table, version, &mut apply, &mut confirm).await;
    }
}

/// Follows the feed until the store no longer has the changes after the last version seen.
async fn follow_feed(
    store: &Store,
    table: &'static str,
    mut version: u64,
    apply: &mut impl FnMut(TableChange),
    confirm: &mut impl FnMut(ProofSource, BootTime),
) {
    let mut delay = RETRY_DELAY_BOUNDS.0;
    loop {
        let started = BootClock.now();
        match store.feed(table, version, FEED_POLL_TIMEOUT).await {
            Ok(Some(page)) => {
                version = version.max(page.version);
                delay = RETRY_DELAY_BOUNDS.0;
                if !page.rows.is_empty() {
                    apply(TableChange::Rows(page.rows));
                }
                if !page.has_more {
                    confirm(ProofSource::Feed, started);
                }
            }
            Ok(None) => {
                log::info!(table = table, version = version;
                    "store no longer has the changes after this version, reading the whole table");
                return;
            }
            Err(error) => {
                log::debug!(table = table; "change feed call failed, retrying: {error}");
                store.timer().sleep(delay).await;
                delay = (delay * 2).min(RETRY_DELAY_BOUNDS.1);
            }
        }
    }
}

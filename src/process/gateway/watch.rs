//! Follows the rows of a table: a full read, and then the change feed.

use std::time::{Duration, Instant};

use sapphireford_platform::store::Row;

use super::store::Store;

/// What a watch has seen.
pub enum TableChange {
    /// All rows of the table; rows that are not among them do not exist.
    Snapshot(Vec<Row>),
    /// Rows that were written or removed, in the order of their versions.
    Rows(Vec<Row>),
}

/// Time for which a feed call waits for changes. A connection that goes silent is noticed after this
/// time and the time of a call.
const FEED_POLL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time for a full read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest and longest delay after a failure. Each failure doubles the delay.
const RETRY_DELAY_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(800));

/// Reports the rows of a table and their changes until the process ends.
pub async fn watch_table(store: Store, table: &'static str, mut apply: impl FnMut(TableChange)) {
    let mut delay = RETRY_DELAY_BOUNDS.0;
    loop {
        let deadline = Instant::now() + READ_TIMEOUT;
        let version = match store.read_all(table, "", "", deadline).await {
            Ok(page) => {
                apply(TableChange::Snapshot(page.rows));
                delay = RETRY_DELAY_BOUNDS.0;
                page.version
            }
            Err(error) => {
                log::debug!(table = table; "table could not be read: {error}");
                store.timer().sleep(delay).await;
                delay = (delay * 2).min(RETRY_DELAY_BOUNDS.1);
                continue;
            }
        };
        follow_feed(&store, table, version, &mut apply).await;
    }
}

/// Follows the feed until the store no longer has the changes after the version that was seen.
async fn follow_feed(
    store: &Store,
    table: &'static str,
    mut version: u64,
    apply: &mut impl FnMut(TableChange),
) {
    let mut delay = RETRY_DELAY_BOUNDS.0;
    loop {
        match store.feed(table, version, FEED_POLL_TIMEOUT).await {
            Ok(Some(page)) => {
                version = version.max(page.version);
                delay = RETRY_DELAY_BOUNDS.0;
                if !page.rows.is_empty() {
                    apply(TableChange::Rows(page.rows));
                }
            }
            Ok(None) => {
                log::info!(table = table, version = version; "change history is gone, reading all");
                return;
            }
            Err(error) => {
                log::debug!(table = table; "feed call failed: {error}");
                store.timer().sleep(delay).await;
                delay = (delay * 2).min(RETRY_DELAY_BOUNDS.1);
            }
        }
    }
}

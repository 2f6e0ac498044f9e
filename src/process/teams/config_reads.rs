//! Reads the row of the configuration while the proof that it is current would become too old.
//!
//! One gateway of each failure domain reads it all the time and the others hear of it by gossip; see
//! [`ConfigAge::is_read_due`](super::config_age::ConfigAge::is_read_due).

use std::rc::Rc;
use std::time::{Duration, Instant};

use sapphireford_platform::operator::CONFIG_KEY;
use sapphireford_platform::store::{OPERATOR_TABLE, RowKey};

use super::config_age::{AgeChange, ProofSource, ReadContext};
use crate::process::gateway::running::Gateway;
use crate::process::metrics;

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without any successful call to the store after which reads are made less often.
const FAILING_THRESHOLD: Duration = Duration::from_millis(500);

/// Reads the configuration when it is due, until the process ends.
pub async fn run(gateway: Rc<Gateway>) {
    let age = &gateway.config_age;
    loop {
        let seen_changes = age.changed().changes();
        log_change(&gateway);
        if !age.has_teams() {
            age.changed().changed_since(seen_changes).await;
            continue;
        }
        let outage_age = gateway.store.outage_age();
        let context = ReadContext {
            is_domain_reader: gateway.directory.reads_config(Instant::now()),
            is_store_available: gateway.store.is_available(),
            is_store_failing: outage_age.is_some_and(|age| age >= FAILING_THRESHOLD),
        };
        if age.is_read_due(context) {
            read(&gateway).await;
            log_change(&gateway);
        }
        let next_check = Instant::now() + age.time_to_check();
        let changed = age.changed().changed_since(seen_changes);
        let _ = gateway.timer.timeout_at(next_check, changed).await;
    }
}

async fn read(gateway: &Gateway) {
    let age = &gateway.config_age;
    let row = RowKey {
        table: OPERATOR_TABLE,
        partition: String::new(),
        key: CONFIG_KEY.to_string(),
    };
    let started = age.start_read();
    let deadline = Instant::now() + READ_TIMEOUT;
    match gateway.store.find_row(&row, deadline).await {
        Ok(Some(row)) => {
            gateway.apply_config(&row, ProofSource::Read);
            age.prove_row(ProofSource::Read, row.version, started);
        }
        // The change feed reports the removal. This read may have missed a row that was removed.
        Ok(None) => log::debug!("configuration row does not exist"),
        Err(error) => {
            log::debug!("configuration could not be read, retrying: {error}");
            age.request_read();
        }
    }
}

fn log_change(gateway: &Gateway) {
    let age = &gateway.config_age;
    if let (true, Some(age)) = (age.has_teams(), age.age()) {
        ::metrics::gauge!(metrics::CONFIG_AGE_SECONDS).set(age.as_secs_f64());
    }
    let limit_ms = age.limit().unwrap_or_default().as_millis() as u64;
    match age.observe() {
        Some(AgeChange::Expired(Some(age))) => {
            log::warn!(age_ms = age.as_millis() as u64, limit_ms = limit_ms; "configuration too old: it is not known to be the newest one, requests with keys are refused");
        }
        Some(AgeChange::Expired(None)) => {
            log::warn!(limit_ms = limit_ms; "configuration too old: it has never been known to be the newest one, requests with keys are refused");
        }
        Some(AgeChange::Regained(age, expired_for)) => {
            log::info!(age_ms = age.as_millis() as u64, limit_ms = limit_ms, expired_ms = expired_for.as_millis() as u64; "configuration is known to be the newest one again");
        }
        None => {}
    }
}

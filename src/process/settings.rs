//! Settings of one entry process, read from a JSON file at startup.
//!
//! Settings identify a process and contain its addresses, certificates, intervals and limits. What
//! operators change while the system runs is in the configuration instead, see [`crate::version`].

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;

use crate::ids::{EntryId, FailureDomainId, SlotId};

/// The result of reading and checking settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// A failure to read or check settings.
#[derive(Debug)]
pub enum SettingsError {
    /// The file could not be read.
    Read(PathBuf, std::io::Error),
    /// The file is not JSON, or a setting is missing, unknown or of a wrong type.
    Parse(PathBuf, serde_json::Error),
    /// The value of the named setting is not allowed, for the given reason.
    Invalid(&'static str, String),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Read(path, _) => {
                write!(
                    formatter,
                    "could not read settings file `{}`",
                    path.display()
                )
            }
            SettingsError::Parse(path, _) => {
                write!(formatter, "settings file `{}` is not valid", path.display())
            }
            SettingsError::Invalid(field, reason) => {
                write!(formatter, "setting `{field}` is not valid: {reason}")
            }
        }
    }
}

impl std::error::Error for SettingsError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            SettingsError::Read(_, error) => Some(error),
            SettingsError::Parse(_, error) => Some(error),
            SettingsError::Invalid(..) => None,
        }
    }
}

/// Unchecked contents of a settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    entry_id: String,
    failure_domain: String,
    http_address: SocketAddr,
    peer_address: SocketAddr,
    platform_address: SocketAddr,
    peer_certificate: PathBuf,
    peer_key: PathBuf,
    peer_authority: PathBuf,
    #[serde(default = "defaults::slot_count")]
    slot_count: SlotId,
    #[serde(default = "defaults::lease_renew_ms")]
    lease_renew_ms: u64,
    #[serde(default = "defaults::lease_ttl_ms")]
    lease_ttl_ms: u64,
    #[serde(default = "defaults::membership_interval_ms")]
    membership_interval_ms: u64,
    #[serde(default = "defaults::config_interval_ms")]
    config_interval_ms: u64,
    #[serde(default = "defaults::commit_interval_ms")]
    commit_interval_ms: u64,
    #[serde(default = "defaults::commit_grace_ms")]
    commit_grace_ms: u64,
    #[serde(default = "defaults::durable_wait_ms")]
    durable_wait_ms: u64,
    #[serde(default = "defaults::slot_wait_ms")]
    slot_wait_ms: u64,
    #[serde(default = "defaults::checkpoint_interval_ms")]
    checkpoint_interval_ms: u64,
    #[serde(default = "defaults::evict_idle_ms")]
    evict_idle_ms: u64,
    #[serde(default = "defaults::platform_call_ms")]
    platform_call_ms: u64,
    #[serde(default = "defaults::shutdown_limit_ms")]
    shutdown_limit_ms: u64,
    #[serde(default = "defaults::journal_queue_bytes")]
    journal_queue_bytes: usize,
    #[serde(default)]
    abort_on_violation: bool,
}

mod defaults {
    pub(super) fn slot_count() -> u32 {
        256
    }
    pub(super) fn lease_renew_ms() -> u64 {
        1_000
    }
    pub(super) fn lease_ttl_ms() -> u64 {
        4_000
    }
    pub(super) fn membership_interval_ms() -> u64 {
        1_000
    }
    pub(super) fn config_interval_ms() -> u64 {
        1_000
    }
    pub(super) fn commit_interval_ms() -> u64 {
        100
    }
    pub(super) fn commit_grace_ms() -> u64 {
        2_000
    }
    pub(super) fn durable_wait_ms() -> u64 {
        10_000
    }
    pub(super) fn slot_wait_ms() -> u64 {
        8_000
    }
    pub(super) fn checkpoint_interval_ms() -> u64 {
        60_000
    }
    pub(super) fn evict_idle_ms() -> u64 {
        600_000
    }
    pub(super) fn platform_call_ms() -> u64 {
        2_000
    }
    pub(super) fn shutdown_limit_ms() -> u64 {
        600_000
    }
    pub(super) fn journal_queue_bytes() -> usize {
        64 << 20
    }
}

/// Checked settings of an entry, fixed for the life of the process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Not empty; only letters, digits, `-`, `_` and `.`, because it is part of row keys.
    pub entry_id: EntryId,
    /// Not empty; the same characters as in `entry_id`.
    pub failure_domain: FailureDomainId,
    /// Listen address for callers and operators, also published in the entry row.
    pub http_address: SocketAddr,
    /// UDP listen address for peers, also published in the entry row.
    pub peer_address: SocketAddr,
    /// Address of the platform's table, object store and list of VMs.
    pub platform_address: SocketAddr,
    /// PEM file with the certificate that this entry presents to peers.
    pub peer_certificate: PathBuf,
    /// PEM file with the private key of `peer_certificate`.
    pub peer_key: PathBuf,
    /// PEM file with the certificate of the authority that signs the peers' certificates.
    pub peer_authority: PathBuf,
    /// At least 1; must be the same on all entries of a site.
    pub slot_count: SlotId,
    /// Less than a third of `lease_ttl`, so that the lease survives two lost renewals.
    pub lease_renew_interval: Duration,
    /// Must be the same on all entries of a site.
    pub lease_ttl: Duration,
    /// Interval of the scans of the entry rows.
    pub membership_interval: Duration,
    /// Interval at which the configuration head is read.
    pub config_interval: Duration,
    /// Minimum time between the starts of two commits; 0 for none.
    pub commit_interval: Duration,
    /// New work is refused once commits have failed for this long.
    pub commit_grace_period: Duration,
    /// Longest wait for the result of a finished call to become durable.
    pub durable_wait_timeout: Duration,
    /// Longest wait of a request for its slot to get a holder.
    pub slot_wait_timeout: Duration,
    /// Longest time between two checkpoints of a slot with changes.
    pub checkpoint_interval: Duration,
    /// Idle time after which a conversation without an active run is evicted from memory.
    pub evict_idle_after: Duration,
    /// Longest wait for one call to the platform.
    pub platform_call_timeout: Duration,
    /// Limit of a graceful shutdown, for all its steps together.
    pub shutdown_limit: Duration,
    /// Limit on the events that wait to become durable; above it, new work is refused.
    pub journal_queue_bytes: usize,
    /// Aborts the process on a violated invariant; for tests.
    pub abort_on_violation: bool,
}

impl Settings {
    /// Reads and checks the settings file at `path`.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read(path).map_err(|error| SettingsError::Read(path.into(), error))?;
        let raw: RawSettings = serde_json::from_slice(&text)
            .map_err(|error| SettingsError::Parse(path.into(), error))?;
        Self::try_from(raw)
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self> {
        check_id("entry_id", &raw.entry_id)?;
        check_id("failure_domain", &raw.failure_domain)?;
        if raw.slot_count == 0 {
            return Err(invalid("slot_count", "it must be at least 1"));
        }
        if raw.lease_renew_ms * 3 >= raw.lease_ttl_ms {
            let reason = "three times `lease_renew_ms` must be less than `lease_ttl_ms`";
            return Err(invalid("lease_renew_ms", reason));
        }
        Ok(Self {
            entry_id: raw.entry_id.into(),
            failure_domain: raw.failure_domain.into(),
            http_address: raw.http_address,
            peer_address: raw.peer_address,
            platform_address: raw.platform_address,
            peer_certificate: raw.peer_certificate,
            peer_key: raw.peer_key,
            peer_authority: raw.peer_authority,
            slot_count: raw.slot_count,
            lease_renew_interval: positive("lease_renew_ms", raw.lease_renew_ms)?,
            lease_ttl: positive("lease_ttl_ms", raw.lease_ttl_ms)?,
            membership_interval: positive("membership_interval_ms", raw.membership_interval_ms)?,
            config_interval: positive("config_interval_ms", raw.config_interval_ms)?,
            commit_interval: Duration::from_millis(raw.commit_interval_ms),
            commit_grace_period: positive("commit_grace_ms", raw.commit_grace_ms)?,
            durable_wait_timeout: positive("durable_wait_ms", raw.durable_wait_ms)?,
            slot_wait_timeout: positive("slot_wait_ms", raw.slot_wait_ms)?,
            checkpoint_interval: positive("checkpoint_interval_ms", raw.checkpoint_interval_ms)?,
            evict_idle_after: positive("evict_idle_ms", raw.evict_idle_ms)?,
            platform_call_timeout: positive("platform_call_ms", raw.platform_call_ms)?,
            shutdown_limit: positive("shutdown_limit_ms", raw.shutdown_limit_ms)?,
            journal_queue_bytes: raw.journal_queue_bytes,
            abort_on_violation: raw.abort_on_violation,
        })
    }
}

fn check_id(field: &'static str, id: &str) -> Result<()> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if id.is_empty() || !id.chars().all(allowed) {
        let reason = "it must not be empty and may contain only letters, digits, `-`, `_` and `.`";
        return Err(invalid(field, reason));
    }
    Ok(())
}

fn positive(field: &'static str, millis: u64) -> Result<Duration> {
    if millis == 0 {
        return Err(invalid(field, "it must be at least 1"));
    }
    Ok(Duration::from_millis(millis))
}

fn invalid(field: &'static str, reason: impl Into<String>) -> SettingsError {
    SettingsError::Invalid(field, reason.into())
}

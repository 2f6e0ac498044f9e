//! The settings of a gateway, read at startup and again on reload.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::ids::{EntryId, FailureDomainId};
use crate::process::settings::{Result, SettingsError};

/// The settings file before it is checked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawGatewaySettings {
    entry_id: String,
    failure_domain: String,
    caller_address: String,
    readiness_address: String,
    directory_address: String,
    peer_address: String,
    metrics_address: String,
    store_address: String,
    #[serde(default = "defaults::row_limit_bytes")]
    row_limit_bytes: usize,
    #[serde(default = "defaults::shutdown_limit_s")]
    shutdown_limit_s: f64,
    #[serde(default = "defaults::lookup_lifetime_limit_s")]
    lookup_lifetime_limit_s: f64,
    /// Absent if a withdrawn key may run requests at a gateway that is cut off.
    key_withdrawal_limit_ms: Option<f64>,
    #[serde(default = "defaults::team_limit_window_s")]
    team_limit_window_s: f64,
    #[serde(default = "defaults::team_limit_excess_share")]
    team_limit_excess_share: f64,
    #[serde(default = "defaults::team_limit_excess_requests")]
    team_limit_excess_requests: f64,
}

mod defaults {
    pub(super) fn row_limit_bytes() -> usize {
        65_536
    }
    pub(super) fn shutdown_limit_s() -> f64 {
        8.0
    }
    pub(super) fn lookup_lifetime_limit_s() -> f64 {
        5.0
    }
    pub(super) fn team_limit_window_s() -> f64 {
        5.0
    }
    pub(super) fn team_limit_excess_share() -> f64 {
        0.0
    }
    pub(super) fn team_limit_excess_requests() -> f64 {
        0.0
    }
}

/// What the platform tolerates beyond the limit of a team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimitTolerance {
    /// Span in which the requests of a team are counted; any span of this length counts.
    pub window: Duration,
    /// Share of the limit of a window that may be exceeded; finite, not negative.
    pub excess_share: f64,
    /// Requests that a window may exceed the limit by, in addition; finite, not negative.
    pub excess_requests: f64,
}

/// The checked settings.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Id of this gateway; stable across restarts. Not empty.
    pub entry_id: EntryId,
    /// Failure domain in which this gateway runs.
    pub failure_domain: FailureDomainId,
    /// Address on which callers are served.
    pub caller_address: SocketAddr,
    /// Address on which the platform's readiness checks are answered.
    pub readiness_address: SocketAddr,
    /// Address on which lookups of callers are answered.
    pub directory_address: SocketAddr,
    /// Address on which the other gateways are served.
    pub peer_address: SocketAddr,
    /// Address on which metrics are served.
    pub metrics_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Longest value of a row in the store; at least `MIN_ROW_LIMIT_BYTES`.
    pub row_limit_bytes: usize,
    /// Longest time from the request to stop to the end of the process.
    pub shutdown_limit: Duration,
    /// Longest TTL of a lookup answer.
    pub lookup_lifetime_limit: Duration,
    /// Time after the acknowledgement of a configuration within which the keys that it withdraws
    /// must be unusable at every gateway; `None` if the platform sets no such limit.
    pub key_withdrawal_limit: Option<Duration>,
    /// What the platform tolerates beyond the limit of a team.
    pub team_limit_tolerance: TeamLimitTolerance,
}

/// Smaller rows could not hold a single turn of a conversation.
const MIN_ROW_LIMIT_BYTES: usize = 1_024;

fn address(field: &'static str, text: &str) -> Result<SocketAddr> {
    text.parse().map_err(|_| {
        let reason = format!("`{text}` is not an IP address with a port");
        SettingsError::Invalid(field, reason)
    })
}

fn seconds(field: &'static str, value: f64) -> Result<Duration> {
    Duration::try_from_secs_f64(value)
        .map_err(|error| SettingsError::Invalid(field, format!("{value}: {error}")))
}

fn not_negative(field: &'static str, value: f64) -> Result<f64> {
    if value.is_finite() && value >= 0.0 {
        return Ok(value);
    }
    let reason = format!("{value} is not a finite number that is 0 or greater");
    Err(SettingsError::Invalid(field, reason))
}

impl TryFrom<RawGatewaySettings> for GatewaySettings {
    type Error = SettingsError;

    fn try_from(raw: RawGatewaySettings) -> Result<Self> {
        if raw.entry_id.is_empty() {
            let reason = "it must not be empty".to_string();
            return Err(SettingsError::Invalid("entry_id", reason));
        }
        if raw.row_limit_bytes < MIN_ROW_LIMIT_BYTES {
            let reason = format!("it must be at least {MIN_ROW_LIMIT_BYTES}");
            return Err(SettingsError::Invalid("row_limit_bytes", reason));
        }
        Ok(Self {
            entry_id: raw.entry_id.into(),
            failure_domain: raw.failure_domain.into(),
            caller_address: address("caller_address", &raw.caller_address)?,
            readiness_address: address("readiness_address", &raw.readiness_address)?,
            directory_address: address("directory_address", &raw.directory_address)?,
            peer_address: address("peer_address", &raw.peer_address)?,
            metrics_address: address("metrics_address", &raw.metrics_address)?,
            store_address: address("store_address", &raw.store_address)?,
            row_limit_bytes: raw.row_limit_bytes,
            shutdown_limit: seconds("shutdown_limit_s", raw.shutdown_limit_s)?,
            lookup_lifetime_limit: seconds("lookup_lifetime_limit_s", raw.lookup_lifetime_limit_s)?,
            key_withdrawal_limit: raw
                .key_withdrawal_limit_ms
                .map(|limit_ms| seconds("key_withdrawal_limit_ms", limit_ms / 1000.0))
                .transpose()?,
            team_limit_tolerance: TeamLimitTolerance {
                window: seconds("team_limit_window_s", raw.team_limit_window_s)?,
                excess_share: not_negative("team_limit_excess_share", raw.team_limit_excess_share)?,
                excess_requests: not_negative(
                    "team_limit_excess_requests",
                    raw.team_limit_excess_requests,
                )?,
            },
        })
    }
}

impl GatewaySettings {
    /// Reads and checks the settings file at `path`.
    pub fn load(path: &Path) -> Result<Self> {
        let bytes =
            std::fs::read(path).map_err(|error| SettingsError::Read(path.to_path_buf(), error))?;
        let raw: RawGatewaySettings = serde_json::from_slice(&bytes)
            .map_err(|error| SettingsError::Parse(path.to_path_buf(), error))?;
        Self::try_from(raw)
    }
}

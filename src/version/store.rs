//! Storage of the accepted configuration versions in the platform.
//!
//! The row `config/head` identifies the version in force. Each version has an object with its
//! merged document and an audit row. [`apply`] writes the object first and then the head and the
//! audit row in one commit, so that every visible version is complete.

use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::connection::platform::{
    Check, CommitOutcome, PlatformClient, PlatformError, Row, Write,
};
use crate::ids::VersionNumber;
use crate::process::rows::{CONFIG_AUDIT_PREFIX, CONFIG_HEAD_KEY};
use crate::version::check::CheckError;
use crate::version::config::Config;
use crate::version::diff::{Change, diff};
use crate::version::merge::MergedConfig;

/// The result of an operation on the accepted versions.
pub type Result<T> = std::result::Result<T, StoreError>;

/// Why an accepted version could not be read or written.
#[derive(Debug)]
pub enum StoreError {
    /// A call to the platform failed.
    Platform(PlatformError),
    /// The document to be applied is invalid.
    Invalid(CheckError),
    /// No version with this number was accepted.
    NoSuchVersion(VersionNumber),
    /// The object with this key, which an accepted version refers to, does not exist.
    MissingObject(String),
    /// The object with this key is not a merged document.
    Decode(String, serde_json::Error),
    /// All commit attempts ended without confirming whether the version was accepted.
    Unresolved(VersionNumber),
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Platform(_) => {
                formatter.write_str("the accepted configuration could not be read or written")
            }
            StoreError::Invalid(error) => error.fmt(formatter),
            StoreError::NoSuchVersion(version) => write!(
                formatter,
                "there is no configuration version {version}; `sapphireford-admin log` lists them"
            ),
            StoreError::MissingObject(key) => write!(
                formatter,
                "the object `{key}` is missing; apply the configuration folder again"
            ),
            StoreError::Decode(key, _) => write!(
                formatter,
                "the object `{key}` is not a merged configuration; apply the folder again"
            ),
            StoreError::Unresolved(version) => write!(
                formatter,
                "the platform did not say whether version {version} was accepted; \
                 look at `sapphireford-admin log` before applying again"
            ),
        }
    }
}

impl std::error::Error for StoreError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StoreError::Platform(error) => Some(error),
            StoreError::Decode(_, error) => Some(error),
            _ => None,
        }
    }
}

impl From<PlatformError> for StoreError {
    fn from(error: PlatformError) -> Self {
        StoreError::Platform(error)
    }
}

/// The row that identifies the version in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Starts at 1 and is incremented by one with each accepted version.
    pub version: VersionNumber,
    /// Key of the object with the merged document.
    pub object_key: String,
    /// Name that the operator gave when applying the version.
    pub author: String,
    /// Time at which the version was applied, in milliseconds since 1970.
    pub applied_at_ms: u64,
}

/// The audit row of a version; immutable once written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditRow {
    /// The version that the row describes; also part of the row key.
    pub version: VersionNumber,
    /// Key of the object with the merged document; also identifies the attempt that was accepted.
    pub object_key: String,
    /// Time at which the version was applied, in milliseconds since 1970.
    pub time_ms: u64,
    /// Name that the operator gave when applying the version.
    pub author: String,
    /// Reason that the operator gave.
    pub reason: String,
    /// Changes from the previous version.
    pub changes: Vec<Change>,
}

/// The outcome of an attempt to apply a configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyOutcome {
    /// The configuration was accepted as a new version.
    Applied {
        /// Number of the new version.
        version: VersionNumber,
        /// Changes from the previous version.
        changes: Vec<Change>,
    },
    /// The version in force is not the expected one; nothing was changed.
    Refused {
        /// The version in force; 0 if there is none.
        current: VersionNumber,
        /// Changes from the version in force to the refused document.
        difference: Vec<Change>,
    },
}

/// Attempts of one commit before its outcome is reported as [`StoreError::Unresolved`].
const COMMIT_ATTEMPTS: u32 = 5;
/// Delay before the next attempt of a commit.
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Returns the key of the audit row of a version. The number is padded, so that the rows sort by
/// version.
pub fn audit_key(version: VersionNumber) -> String {
    format!("{CONFIG_AUDIT_PREFIX}{version:010}")
}

/// Reads the head; `None` if no version was accepted yet.
pub async fn read_head(platform: &PlatformClient) -> Result<Option<Head>> {
    decode_head(&platform.read_one(CONFIG_HEAD_KEY).await?)
}

/// Reads the audit rows of all versions, ordered by version.
pub async fn read_audit_rows(platform: &PlatformClient) -> Result<Vec<AuditRow>> {
    let rows = platform.scan(CONFIG_AUDIT_PREFIX).await?;
    Ok(rows
        .iter()
        .map(Row::decode)
        .collect::<std::result::Result<_, _>>()?)
}

/// Reads the merged document of an accepted version; version 0 is the empty document.
pub async fn read_document(
    platform: &PlatformClient,
    version: VersionNumber,
) -> Result<MergedConfig> {
    if version == 0 {
        return Ok(MergedConfig::default());
    }
    match read_audit_row(platform, version).await? {
        Some(audit) => read_document_object(platform, &audit.object_key).await,
        None => Err(StoreError::NoSuchVersion(version)),
    }
}

/// Reads a merged document from its object.
pub async fn read_document_object(platform: &PlatformClient, key: &str) -> Result<MergedConfig> {
    let object = platform.get_object(key).await?;
    let bytes = object.ok_or_else(|| StoreError::MissingObject(key.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| StoreError::Decode(key.to_string(), error))
}

/// Applies `merged` as the next version if `expected_version` is in force.
pub async fn apply(
    platform: &PlatformClient,
    expected_version: VersionNumber,
    merged: &MergedConfig,
    author: &str,
    reason: &str,
) -> Result<ApplyOutcome> {
    Config::try_from(merged).map_err(StoreError::Invalid)?;
    let head_row = platform.read_one(CONFIG_HEAD_KEY).await?;
    let current = decode_head(&head_row)?.map_or(0, |head| head.version);
    if current != expected_version {
        return refused_outcome(platform, merged).await;
    }
    let previous = read_document_or_empty(platform, current).await?;
    let version = current + 1;
    let audit = AuditRow {
        version,
        object_key: object_key(version),
        time_ms: now_ms(),
        author: author.to_string(),
        reason: reason.to_string(),
        changes: diff(&previous.document, &merged.document),
    };
    let object = serde_json::to_vec(merged).map_err(PlatformError::Decode)?;
    platform
        .put_object(&audit.object_key, object.into())
        .await?;
    if commit(platform, head_row.version, &audit).await? {
        let changes = audit.changes;
        return Ok(ApplyOutcome::Applied { version, changes });
    }
    if let Err(error) = platform.delete_object(&audit.object_key).await {
        log::warn!(
            "could not delete the unused object `{}`: {error}",
            audit.object_key
        );
    }
    refused_outcome(platform, merged).await
}

/// Commits the head and the audit row; returns `false` if another attempt's version was accepted.
///
/// The audit row shows whether a commit took effect; the head may already identify a later version.
/// A commit without an answer may still be in flight, so it is retried until the audit row exists.
/// The row then belongs either to this attempt or to another one, in which case this attempt can no
/// longer take effect.
async fn commit(platform: &PlatformClient, head_version: u64, audit: &AuditRow) -> Result<bool> {
    let audit_key = audit_key(audit.version);
    let head = Head {
        version: audit.version,
        object_key: audit.object_key.clone(),
        author: audit.author.clone(),
        applied_at_ms: audit.time_ms,
    };
    let checks = [
        version_check(CONFIG_HEAD_KEY, head_version),
        version_check(&audit_key, 0),
    ];
    let writes = [
        Write::put(CONFIG_HEAD_KEY, &head)?,
        Write::put(audit_key.as_str(), audit)?,
    ];
    let mut may_be_in_flight = false;
    for _ in 0..COMMIT_ATTEMPTS {
        let mut conflict = false;
        match platform.commit(&checks, &writes).await {
            Ok(CommitOutcome::Committed(_)) => return Ok(true),
            Ok(CommitOutcome::Conflict(_)) => conflict = true,
            Err(PlatformError::Client(error)) if error.is_not_sent() && !may_be_in_flight => {
                return Err(PlatformError::Client(error).into());
            }
            Ok(CommitOutcome::Unknown(error)) | Err(error) => {
                may_be_in_flight = true;
                log::warn!(
                    "commit of configuration version {} failed or has an unknown outcome: {error}",
                    audit.version
                );
            }
        }
        match read_audit_row(platform, audit.version).await {
            Ok(Some(accepted)) => return Ok(accepted.object_key == audit.object_key),
            // The head row has changed, so no earlier attempt can take effect any longer.
            Ok(None) if conflict => return Ok(false),
            Ok(None) => {}
            Err(error) => log::warn!(
                "could not read the audit row of configuration version {}: {error}",
                audit.version
            ),
        }
        platform.timer().sleep(COMMIT_RETRY_DELAY).await;
    }
    Err(StoreError::Unresolved(audit.version))
}

async fn refused_outcome(platform: &PlatformClient, merged: &MergedConfig) -> Result<ApplyOutcome> {
    let current = read_head(platform).await?.map_or(0, |head| head.version);
    let in_force = read_document_or_empty(platform, current).await?;
    let difference = diff(&in_force.document, &merged.document);
    Ok(ApplyOutcome::Refused {
        current,
        difference,
    })
}

/// Reads an accepted document for a comparison. A missing or corrupt document is treated as empty,
/// because otherwise no corrected version could be applied.
async fn read_document_or_empty(
    platform: &PlatformClient,
    version: VersionNumber,
) -> Result<MergedConfig> {
    match read_document(platform, version).await {
        Err(error @ (StoreError::MissingObject(_) | StoreError::Decode(..))) => {
            log::warn!("document of configuration version {version} is treated as empty: {error}");
            Ok(MergedConfig::default())
        }
        loaded => loaded,
    }
}

async fn read_audit_row(
    platform: &PlatformClient,
    version: VersionNumber,
) -> Result<Option<AuditRow>> {
    let row = platform.read_one(&audit_key(version)).await?;
    match row.version {
        0 => Ok(None),
        _ => Ok(Some(row.decode()?)),
    }
}

fn decode_head(row: &Row) -> Result<Option<Head>> {
    match row.version {
        0 => Ok(None),
        _ => Ok(Some(row.decode()?)),
    }
}

fn version_check(key: &str, version: u64) -> Check {
    Check {
        key: key.to_string(),
        version,
    }
}

/// Returns an object key with a random suffix, so that concurrent attempts never write the same
/// object.
fn object_key(version: VersionNumber) -> String {
    format!(
        "config/versions/{version:010}-{:016x}",
        rand::random::<u64>()
    )
}

fn now_ms() -> u64 {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    since_1970.map_or(0, |time| time.as_millis() as u64)
}

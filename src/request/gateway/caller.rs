//! Finds the team of a request by the key of its caller.
//!
//! A key is compared by its digest only and never leaves the gateway. It is checked again before
//! each attempt at a server, so that waiting does not outlast its withdrawal.

use std::rc::Rc;
use std::time::Duration;

use hyper::header::{AUTHORIZATION, HeaderMap};
use sapphireford_platform::operator::RouteRecord;

use crate::error::{Error, ErrorKind, Result};
use crate::process::teams::config_age::ConfigAge;
use crate::version::key_digest::digest;
use crate::version::route_table::RouteTable;
use crate::version::teams::Team;

/// The SHA-256 digest of a key.
pub type KeyDigest = [u8; 32];

/// Longest key that is looked up.
const MAX_KEY_BYTES: usize = 256;
/// Age of the configuration up to which an unknown key is refused for good. A key that was added
/// later may be in use already, and callers do not repeat a request after that refusal.
const UNKNOWN_KEY_AGE_LIMIT: Duration = Duration::from_millis(2_000);

/// Decodes the key of a caller: a single header with the scheme `Bearer`, in any case, and a key of
/// visible ASCII characters. `None` if there is no such key.
pub fn presented_key(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.to_str().ok()?;
    if values.next().is_some() {
        return None;
    }
    let (scheme, key) = value.split_once(' ')?;
    let is_valid = !key.is_empty()
        && key.len() <= MAX_KEY_BYTES
        && key.bytes().all(|byte| byte.is_ascii_graphic());
    (scheme.eq_ignore_ascii_case("bearer") && is_valid).then(|| digest(key))
}

/// The caller of a request, as its key identifies it.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    /// `None` if the configuration has no teams, or if the route is public and the key unknown.
    pub team: Option<Rc<Team>>,
    /// The digest of the key that identifies the team. It stands in no log and no metric.
    pub key_digest: Option<KeyDigest>,
}

impl Caller {
    /// Identifies the caller of a request for `route`.
    pub fn identify(
        routes: &RouteTable,
        route: &RouteRecord,
        key: Option<KeyDigest>,
        config_age: &ConfigAge,
    ) -> Result<Self> {
        let Some(teams) = &routes.teams else {
            return Ok(Self::default());
        };
        let team = key.and_then(|key| teams.find_digest(&key));
        if let Some(team) = team {
            return match config_age.require_current() {
                Ok(()) => Ok(Self {
                    team: Some(team.clone()),
                    key_digest: key,
                }),
                Err(_) if route.is_public => Ok(Self::default()),
                Err(error) => Err(error),
            };
        }
        if route.is_public {
            return Ok(Self::default());
        }
        if key.is_none() {
            let message = "the request has no key; send `Authorization: Bearer KEY`";
            return Err(Error::new(ErrorKind::Unauthorized, message));
        }
        config_age.require_current()?;
        if !config_age.is_fresher_than(UNKNOWN_KEY_AGE_LIMIT) {
            let message = "the key is not in the configuration of this gateway, which may lag \
                           behind; retry later";
            return Err(Error::new(ErrorKind::NotReady, message));
        }
        let message = "the key is in no configuration; check it";
        Err(Error::new(ErrorKind::Unauthorized, message))
    }

    /// Checks the key again by the newest configuration.
    pub fn require_valid(&self, newest: &RouteTable, config_age: &ConfigAge) -> Result<()> {
        let (Some(team), Some(key)) = (&self.team, &self.key_digest) else {
            return Ok(());
        };
        config_age.require_current()?;
        let holder = newest
            .teams
            .as_ref()
            .and_then(|teams| teams.find_digest(key));
        if holder.is_some_and(|holder| holder.id == team.id) {
            return Ok(());
        }
        let message = "the key was withdrawn before the request was sent to a server";
        Err(Error::new(ErrorKind::Unauthorized, message))
    }
}

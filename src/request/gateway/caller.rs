//! Finds the team of a request by the key of its caller.
//!
//! A key is compared by its digest only and never leaves the gateway. It is checked again before
//! each attempt at a server, so that waiting does not outlast its withdrawal.

use std::rc::Rc;
use std::time::Duration;

use hyper::header::{AUTHORIZATION, HeaderMap};
use sapphireford_platform::operator::RouteRecord;

use super::qualified_ids::IdScope;
use crate::error::{Error, ErrorKind, Result};
use crate::process::metrics;
use crate::process::teams::config_age::ConfigAge;
use crate::version::key_digest::{KeyDigest, is_valid_key};
use crate::version::route_table::RouteTable;
use crate::version::teams::Team;

/// Age of the configuration up to which an unknown key or route is refused for good. One that was added
/// later may be in use already, and callers do not repeat a request after that refusal.
const UNKNOWN_KEY_AGE_LIMIT: Duration = Duration::from_millis(2_000);

/// What a request says about the key of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PresentedKey {
    /// There is no key.
    Missing,
    /// There is something that cannot be a key.
    Malformed,
    /// The digest of the key.
    Digest(KeyDigest),
}

impl PresentedKey {
    /// Decodes the key of a caller: a single header with the scheme `Bearer`, in any case, one space
    /// and a key of visible ASCII characters.
    pub fn decode(headers: &HeaderMap) -> Self {
        let mut values = headers.get_all(AUTHORIZATION).iter();
        let Some(value) = values.next() else {
            return Self::Missing;
        };
        let value = value.to_str().ok().filter(|_| values.next().is_none());
        let Some((scheme, key)) = value.and_then(|value| value.split_once(' ')) else {
            return Self::Malformed;
        };
        match scheme.eq_ignore_ascii_case("bearer") && is_valid_key(key) {
            true => Self::Digest(KeyDigest::of_key(key)),
            false => Self::Malformed,
        }
    }

    fn digest(&self) -> Option<&KeyDigest> {
        match self {
            Self::Digest(digest) => Some(digest),
            Self::Missing | Self::Malformed => None,
        }
    }

    /// The team of the key in a configuration, whether or not the configuration is current.
    pub fn find_team<'a>(&self, routes: &'a RouteTable) -> Option<&'a Rc<Team>> {
        let teams = routes.teams.as_ref()?;
        teams.find_digest(self.digest()?.as_bytes())
    }
}

impl From<Option<KeyDigest>> for PresentedKey {
    fn from(digest: Option<KeyDigest>) -> Self {
        digest.map_or(Self::Missing, Self::Digest)
    }
}

/// Why a request was refused because of its key; a label of the metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyRefusal {
    Missing,
    Malformed,
    Unknown,
    /// The key was withdrawn while the request waited.
    Withdrawn,
    /// The configuration may lag behind one that has the key, or that needs none.
    ConfigMayLag,
    /// The configuration may lag behind one that withdraws keys.
    ConfigTooOld,
}

impl KeyRefusal {
    fn reason(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Malformed => "malformed",
            Self::Unknown => "unknown",
            Self::Withdrawn => "withdrawn",
            Self::ConfigMayLag => "config_may_lag",
            Self::ConfigTooOld => "config_too_old",
        }
    }

    fn count(self) {
        ::metrics::counter!(metrics::KEY_REFUSALS, "reason" => self.reason()).increment(1);
    }

    /// The error of a refused request; counts it.
    fn error(self) -> Error {
        self.count();
        let message = match self {
            Self::Missing => "the request has no key; send `Authorization: Bearer KEY`",
            Self::Malformed => {
                "the key is malformed; send one header `Authorization: Bearer KEY` with one space \
                 and a key of 1 to 256 visible ASCII characters"
            }
            Self::Unknown => "the key is in no configuration, or belongs to two teams; check it",
            Self::Withdrawn => "the key was withdrawn before the request was sent to a server",
            Self::ConfigMayLag | Self::ConfigTooOld => {
                "the key is not in the configuration of this gateway, which may lag behind; retry \
                 later"
            }
        };
        let kind = match self {
            Self::ConfigMayLag | Self::ConfigTooOld => ErrorKind::NotReady,
            Self::Missing | Self::Malformed | Self::Unknown | Self::Withdrawn => {
                ErrorKind::Unauthorized
            }
        };
        Error::new(kind, message)
    }
}

/// Fails if the configuration may lag behind one that withdraws keys.
fn require_current(config_age: &ConfigAge) -> Result<()> {
    let checked = config_age.require_current();
    checked.inspect_err(|_| KeyRefusal::ConfigTooOld.count())
}

/// The error for a key that the newest known configuration does not have. It is final only if no
/// newer configuration can be in use.
fn unknown_key_error(refusal: KeyRefusal, config_age: &ConfigAge) -> Error {
    if let Err(error) = require_current(config_age) {
        return error;
    }
    match config_age.is_fresher_than(UNKNOWN_KEY_AGE_LIMIT) {
        true => refusal.error(),
        false => KeyRefusal::ConfigMayLag.error(),
    }
}

/// The error for a request that no route of a configuration matches. With teams, it is final only if no
/// newer configuration can be in use.
pub fn unknown_route_error(
    routes: &RouteTable,
    config_age: &ConfigAge,
    (host, path): (&str, &str),
) -> Error {
    let message = format!("no route for host `{host}` matches path `{path}`");
    if routes.teams.is_none() || config_age.is_fresher_than(UNKNOWN_KEY_AGE_LIMIT) {
        return Error::new(ErrorKind::NotFound, message);
    }
    let message = format!(
        "{message} in the configuration of this gateway, which may lag behind; retry later"
    );
    Error::new(ErrorKind::NotReady, message)
}

/// The caller of a request, as its key identifies it.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    /// `None` if the configuration has no teams, or if the route is public and the key unknown.
    pub team: Option<Rc<Team>>,
    /// The digest of the key, if the configuration has teams. On a public route it may be unknown.
    pub key_digest: Option<KeyDigest>,
    /// Whether the route needs no key.
    pub is_key_optional: bool,
    /// Whether the caller has no team only as far as this gateway knows: on a public route, its key
    /// may be in a newer configuration.
    pub may_have_team: bool,
    /// Keeps the ids of the caller apart from those of other teams.
    pub id_scope: IdScope,
}

impl Caller {
    /// Identifies the caller of a request for `route`.
    pub fn identify(
        routes: &RouteTable,
        route: &RouteRecord,
        key: PresentedKey,
        config_age: &ConfigAge,
    ) -> Result<Self> {
        if routes.teams.is_none() {
            return Ok(Self::default());
        }
        let refusal = match (key.find_team(routes), key) {
            (Some(team), _) => match config_age.require_current() {
                Ok(()) => {
                    return Ok(Self {
                        team: Some(team.clone()),
                        key_digest: key.digest().copied(),
                        is_key_optional: route.is_public,
                        may_have_team: false,
                        id_scope: IdScope::of_team(Some(&team.id)),
                    });
                }
                Err(_) if route.is_public => KeyRefusal::ConfigTooOld,
                Err(error) => {
                    KeyRefusal::ConfigTooOld.count();
                    return Err(error);
                }
            },
            (None, PresentedKey::Missing) => KeyRefusal::Missing,
            (None, PresentedKey::Malformed) => KeyRefusal::Malformed,
            (None, PresentedKey::Digest(_)) => KeyRefusal::Unknown,
        };
        if !route.is_public {
            return Err(unknown_key_error(refusal, config_age));
        }
        Ok(Self {
            key_digest: key.digest().copied(),
            is_key_optional: true,
            may_have_team: refusal == KeyRefusal::ConfigTooOld
                || (refusal == KeyRefusal::Unknown
                    && !config_age.is_fresher_than(UNKNOWN_KEY_AGE_LIMIT)),
            id_scope: IdScope::of_team(None),
            ..Self::default()
        })
    }

    /// The error for a previous turn that the caller does not have. It is not final if the turn may be
    /// one of the team that the caller may have.
    pub fn not_found_error(&self, error: Error) -> Error {
        match self.may_have_team {
            true => KeyRefusal::ConfigMayLag.error(),
            false => error,
        }
    }

    /// Checks the key again by the newest configuration.
    pub fn require_valid(&self, newest: &RouteTable, config_age: &ConfigAge) -> Result<()> {
        if newest.teams.is_none() {
            return Ok(());
        }
        if !self.id_scope.has_teams() {
            // The headers for the server still have the key.
            let message = "the first configuration with teams took effect before the request was \
                           sent to a server; retry";
            return Err(Error::new(ErrorKind::NotReady, message));
        }
        let (Some(team), Some(key)) = (&self.team, self.key_digest) else {
            return Ok(());
        };
        require_current(config_age)?;
        let holder = PresentedKey::Digest(key).find_team(newest);
        if holder.is_some_and(|holder| holder.id == team.id) {
            return Ok(());
        }
        if self.is_key_optional {
            KeyRefusal::Withdrawn.count();
            let message = "the key was withdrawn before the request was sent to a server; retry";
            return Err(Error::new(ErrorKind::NotReady, message));
        }
        Err(unknown_key_error(KeyRefusal::Withdrawn, config_age))
    }
}

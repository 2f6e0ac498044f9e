//! Index of the keys of a configuration version, which identifies the team or operator of a
//! request.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;

use crate::ids::{TeamId, VersionNumber};
use crate::version::config::Config;
use crate::version::key_digest::digest;

/// The identity that a key authenticates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Principal {
    /// A caller that belongs to this team.
    Team(TeamId),
    /// The operator with this name.
    Operator(Rc<str>),
}

/// The holders of the keys of one configuration version, by the SHA-256 digest of their key.
#[derive(Debug)]
pub struct KeyIndex<P = Principal> {
    principals: IndexMap<[u8; 32], P>,
}

impl KeyIndex {
    /// Builds the index of a configuration, whose keys are unique.
    pub fn new(config: &Config) -> Self {
        let teams = config
            .teams
            .iter()
            .map(|(team_id, team)| (team.key_sha256, Principal::Team(team_id.clone())));
        let operators = config
            .operators
            .iter()
            .map(|(name, operator)| (operator.key_sha256, Principal::Operator(name.clone())));
        teams.chain(operators).collect()
    }
}

impl<P> FromIterator<([u8; 32], P)> for KeyIndex<P> {
    fn from_iter<I: IntoIterator<Item = ([u8; 32], P)>>(holders: I) -> Self {
        Self {
            principals: holders.into_iter().collect(),
        }
    }
}

impl<P> KeyIndex<P> {
    /// Looks up the principal of a key; `None` if the key is unknown.
    pub fn find(&self, key: &str) -> Option<&P> {
        self.find_digest(&digest(key))
    }

    /// Looks up the principal of a key by its SHA-256 digest; `None` if the key is unknown.
    pub fn find_digest(&self, digest: &[u8; 32]) -> Option<&P> {
        self.principals.get(digest)
    }

    /// The principals of all keys.
    pub fn principals(&self) -> impl Iterator<Item = &P> {
        self.principals.values()
    }
}

/// Caches the index of the most recently requested version.
#[derive(Default)]
pub struct KeyIndexCache {
    cached: RefCell<Option<(VersionNumber, Rc<KeyIndex>)>>,
}

impl KeyIndexCache {
    /// Returns the index of a configuration and rebuilds it when the version differs from the
    /// cached one.
    pub fn get(&self, config: &Config) -> Rc<KeyIndex> {
        let mut cached = self.cached.borrow_mut();
        if let Some((version, index)) = &*cached
            && *version == config.version
        {
            return index.clone();
        }
        let index = Rc::new(KeyIndex::new(config));
        *cached = Some((config.version, index.clone()));
        index
    }
}

//! Finds the team or operator that a key belongs to.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;

use crate::ids::{TeamId, VersionNumber};
use crate::version::config::Config;
use crate::version::key_digest::digest;

/// Who presents a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Principal {
    /// A caller of this team.
    Team(TeamId),
    /// This operator.
    Operator(Rc<str>),
}

/// The keys of one configuration version, by hash.
#[derive(Debug, Default)]
pub struct KeyIndex {
    principals: IndexMap<[u8; 32], Principal>,
}

impl KeyIndex {
    /// Indexes the keys of a configuration.
    pub fn new(config: &Config) -> Self {
        let teams = config
            .teams
            .iter()
            .map(|(team_id, team)| (team.key_sha256, Principal::Team(team_id.clone())));
        let operators = config
            .operators
            .iter()
            .map(|(name, operator)| (operator.key_sha256, Principal::Operator(name.clone())));
        Self {
            principals: teams.chain(operators).collect(),
        }
    }

    /// Looks up the owner of a key.
    pub fn find(&self, key: &str) -> Option<&Principal> {
        self.find_digest(&digest(key))
    }

    /// Looks up the owner of a key by its hash.
    pub fn find_digest(&self, digest: &[u8; 32]) -> Option<&Principal> {
        self.principals.get(digest)
    }
}

/// The index of the version that was asked for last.
#[derive(Default)]
pub struct KeyIndexCache {
    cached: RefCell<Option<(VersionNumber, Rc<KeyIndex>)>>,
}

impl KeyIndexCache {
    /// The index of a configuration, made once for each version.
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

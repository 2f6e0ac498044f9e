//! The teams of one version of the platform operators' configuration, found by the digests of their
//! keys.

use std::rc::Rc;

use indexmap::IndexMap;
use sapphireford_platform::operator::{TeamLimit, TeamRecord};

use crate::ids::TeamId;
use crate::version::key_digest::digest;
use crate::version::key_index::KeyIndex;

/// A team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// The name of the team, which backend servers get.
    pub id: TeamId,
    /// 0 is the highest priority. It goes before the priority of the route.
    pub priority: u32,
    /// `None` if the team has no limit.
    pub limit: Option<TeamLimit>,
}

/// The teams of one configuration version. Keys are kept as digests only.
#[derive(Debug)]
pub struct Teams {
    by_key: KeyIndex<Rc<Team>>,
    /// Names of teams that share a key. Such a key identifies none of them.
    ambiguous: Vec<(TeamId, TeamId)>,
}

impl From<Vec<TeamRecord>> for Teams {
    fn from(records: Vec<TeamRecord>) -> Self {
        let mut holders: IndexMap<[u8; 32], Option<Rc<Team>>> = IndexMap::new();
        let mut ambiguous = Vec::new();
        for record in records {
            let team = Rc::new(Team {
                id: record.name.as_str().into(),
                priority: record.priority,
                limit: record.limit,
            });
            for key in &record.keys {
                let holder = holders
                    .entry(digest(key))
                    .or_insert_with(|| Some(team.clone()));
                let other = holder.as_ref().filter(|holder| holder.id != team.id);
                if let Some(other) = other.cloned() {
                    ambiguous.push((other.id.clone(), team.id.clone()));
                    *holder = None;
                }
            }
        }
        let holders = holders.into_iter();
        Self {
            by_key: holders
                .filter_map(|(digest, holder)| Some((digest, holder?)))
                .collect(),
            ambiguous,
        }
    }
}

impl Teams {
    /// Looks up the team of a key by the SHA-256 digest of the key; `None` if the key is unknown.
    pub fn find_digest(&self, digest: &[u8; 32]) -> Option<&Rc<Team>> {
        self.by_key.find_digest(digest)
    }

    /// Looks up a team that has a key by its name. It takes time in proportion to the number of teams.
    pub fn find_name(&self, name: &str) -> Option<&Rc<Team>> {
        self.by_key.principals().find(|team| &*team.id == name)
    }

    /// Pairs of teams that have a key in common.
    pub fn ambiguous(&self) -> &[(TeamId, TeamId)] {
        &self.ambiguous
    }
}

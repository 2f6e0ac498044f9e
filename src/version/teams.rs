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

/// Priorities of teams that are told apart; less urgent ones count as the last of them.
pub const MAX_PRIORITY_RANKS: usize = 3;

/// The place of a team among the priorities that the teams of its configuration have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorityRank {
    /// 0 for the most urgent priority; less than `count`.
    pub rank: usize,
    /// The number of ranks; at least 1.
    pub count: usize,
}

/// The teams of one configuration version. Keys are kept as digests only.
#[derive(Debug)]
pub struct Teams {
    by_key: KeyIndex<Rc<Team>>,
    /// Names of teams that share a key. Such a key identifies none of them.
    ambiguous: Vec<(TeamId, TeamId)>,
    /// The priorities of the teams, each once, in ascending order.
    priorities: Vec<u32>,
}

/// The holder of a key while an index is built.
struct Holder {
    team: Rc<Team>,
    is_ambiguous: bool,
}

impl From<Vec<TeamRecord>> for Teams {
    fn from(records: Vec<TeamRecord>) -> Self {
        let mut holders: IndexMap<[u8; 32], Holder> = IndexMap::new();
        let mut ambiguous = Vec::new();
        let mut priorities: Vec<u32> = records.iter().map(|record| record.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        for record in records {
            let team = Rc::new(Team {
                id: record.name.as_str().into(),
                priority: record.priority,
                limit: record.limit,
            });
            for key in &record.keys {
                let holder = holders.entry(digest(key)).or_insert_with(|| Holder {
                    team: team.clone(),
                    is_ambiguous: false,
                });
                if holder.team.id != team.id {
                    ambiguous.push((holder.team.id.clone(), team.id.clone()));
                    holder.is_ambiguous = true;
                }
            }
        }
        let unique = holders
            .into_iter()
            .filter(|(_, holder)| !holder.is_ambiguous);
        Self {
            by_key: unique
                .map(|(digest, holder)| (digest, holder.team))
                .collect(),
            ambiguous,
            priorities,
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

    /// The rank of a team's priority. Callers without a team have the priority 0, like teams whose
    /// priority is not set.
    pub fn priority_rank(&self, team: Option<&Team>) -> PriorityRank {
        let priority = team.map_or(0, |team| team.priority);
        let rank = self.priorities.partition_point(|other| *other < priority);
        let count = self.priorities.len().clamp(1, MAX_PRIORITY_RANKS);
        PriorityRank {
            rank: rank.min(count - 1),
            count,
        }
    }
}

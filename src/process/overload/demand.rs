//! Distributes the admitted share of the first turns over priorities and teams.
//!
//! The refused part is taken from the least urgent priorities first. Within a priority, the
//! teams get equal shares of the tokens (max-min fairness): a team that asks for no more than its
//! share is not refused, whatever the others ask for.
//!
//! A gateway of a large site sees too few requests of a team to tell its demand from a random peak.
//! While a service is overloaded, pairs of gateways therefore replace their demands by the mean of
//! both, so that each comes to know the mean of all (gossip averaging).

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::TeamId;

/// The urgency of a request; smaller is more urgent. The priority of the team goes before that of
/// the route.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Urgency {
    /// Priority of the team, 0 is the most urgent.
    pub team_priority: u32,
    /// Priority of the route, 0 is the most urgent.
    pub route_priority: u32,
}

/// Time in which the weight of a past request falls to 37 %. A gateway of a large site sees one or
/// two first turns a second, and a flood must show within some seconds.
const DEMAND_PERIOD: Duration = Duration::from_secs(10);
/// Teams whose demand has fallen below this number of requests are forgotten.
const MIN_REQUESTS: f64 = 0.05;
/// Most teams whose demand is known. Further ones are taken to be within their share until the next
/// update, which forgets the teams with the least demand.
pub const MAX_TEAMS: usize = 4_096;
/// Most teams in one message, those with the largest demand. A message then holds some ten KiB,
/// which is far below the bandwidth of a small VM at two messages a second.
pub const MAX_SHARED_TEAMS: usize = 256;

/// Standard deviations by which the number of a team's requests is reduced.
const RANDOM_DEVIATIONS: f64 = 2.0;
/// Least part of the requests that remains, so that teams with a few requests are still compared.
const MIN_ASKED_PART: f64 = 0.1;

/// Tokens of one turn that count at most, as a multiple of the geometric mean of the turns. Callers
/// state the tokens, and one huge claim would hide what all others ask for.
const MAX_COUNTED_MEANS: f64 = 32.0;
/// Weight of a turn in the logarithm of this mean.
const MEAN_TOKENS_WEIGHT: f64 = 1.0 / 64.0;
/// Most tokens of the first turn, when there is no mean. Engines take prompts of fewer.
const MAX_FIRST_TOKENS: f64 = 1_048_576.0;

/// Largest amount that a gateway can tell. Larger ones are errors, and their sums could be infinite, which
/// no decay ends.
const MAX_AMOUNT: f64 = 1e15;

/// The demand of a team at one urgency, with weights that decay over `DEMAND_PERIOD`.
#[derive(Clone, Copy, Debug, Default)]
struct TeamDemand {
    /// First turns, without those that come back after a refusal.
    first_turns: f64,
    /// First turns that were admitted.
    begun: f64,
    /// Tokens of all admitted turns.
    tokens: f64,
}

impl TeamDemand {
    /// The tokens that the team asks for, less the random part of the number of its requests.
    /// Without that reduction, a team within its share would be refused at each random peak.
    fn asked_tokens(&self) -> f64 {
        let random_part = RANDOM_DEVIATIONS / (self.first_turns + 1.0).sqrt();
        self.first_turns * (1.0 - random_part).max(MIN_ASKED_PART) * self.tokens_per_program()
    }

    fn tokens_per_program(&self) -> f64 {
        self.tokens.max(1.0) / self.begun.max(1.0)
    }
}

/// The demand of a team at one urgency, as gateways tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SharedDemand {
    /// Urgency of the requests.
    pub urgency: Urgency,
    /// Name of the team; empty if there are no teams.
    pub team: String,
    /// First turns, admitted first turns, and tokens of all admitted turns.
    pub amounts: [f64; 3],
}

/// What a priority is granted.
#[derive(Clone, Copy, Debug)]
struct Grant {
    urgency: Urgency,
    /// Share of the demand that is refused.
    refused_share: f64,
    /// Tokens that each team may ask for without being refused.
    tokens_per_team: f64,
}

/// The demand of the teams of one service, and what they are granted.
#[derive(Debug)]
pub struct Demand {
    teams: IndexMap<(Urgency, TeamId), TeamDemand>,
    /// Ordered by urgency, the most urgent one first.
    grants: Vec<Grant>,
    /// The admitted share at the last update.
    share: f64,
    decayed_at: Instant,
    /// The mean of the logarithms of the tokens of turns; `None` before the first one.
    log_mean_tokens: Option<f64>,
}

impl Demand {
    /// Makes a demand without any request.
    pub fn new(now: Instant) -> Self {
        Self {
            teams: IndexMap::new(),
            grants: Vec::new(),
            share: 1.0,
            decayed_at: now,
            log_mean_tokens: None,
        }
    }

    fn team(&mut self, urgency: Urgency, team: &TeamId) -> Option<&mut TeamDemand> {
        let key = (urgency, team.clone());
        if self.teams.len() >= MAX_TEAMS && !self.teams.contains_key(&key) {
            return None;
        }
        Some(self.teams.entry(key).or_default())
    }

    /// Records a first turn that does not come back after a refusal.
    pub fn record_first_turn(&mut self, urgency: Urgency, team: &TeamId) {
        if let Some(demand) = self.team(urgency, team) {
            demand.first_turns += 1.0;
        }
    }

    /// Records an admitted turn.
    pub fn record_admitted(
        &mut self,
        urgency: Urgency,
        team: &TeamId,
        tokens: u64,
        begins_program: bool,
    ) {
        let tokens = self.counted_tokens(tokens);
        if let Some(demand) = self.team(urgency, team) {
            demand.tokens += tokens;
            demand.begun += f64::from(u8::from(begins_program));
        }
    }

    /// The tokens of a turn, limited by the mean of the turns before.
    fn counted_tokens(&mut self, tokens: u64) -> f64 {
        // Turns that state no tokens say nothing about those of the others.
        if tokens == 0 {
            return 0.0;
        }
        let tokens = tokens as f64;
        let Some(log_mean) = self.log_mean_tokens else {
            let counted = tokens.min(MAX_FIRST_TOKENS);
            self.log_mean_tokens = Some(counted.ln());
            return counted;
        };
        let counted = tokens.min(log_mean.exp() * MAX_COUNTED_MEANS);
        let step = MEAN_TOKENS_WEIGHT * (counted.ln() - log_mean);
        self.log_mean_tokens = Some(log_mean + step);
        counted
    }

    /// Decays the demand and computes the grants for the admitted share.
    pub fn update(&mut self, share: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.decayed_at);
        self.decayed_at = now;
        let kept = (-elapsed.as_secs_f64() / DEMAND_PERIOD.as_secs_f64()).exp();
        self.teams.retain(|_, demand| {
            demand.first_turns *= kept;
            demand.begun *= kept;
            demand.tokens *= kept;
            demand.first_turns.max(demand.begun) >= MIN_REQUESTS || demand.tokens >= 1.0
        });
        if self.teams.len() >= MAX_TEAMS {
            let mut turns: Vec<f64> = self.teams.values().map(|team| team.first_turns).collect();
            let (_, median, _) = turns.select_nth_unstable_by(MAX_TEAMS / 2, f64::total_cmp);
            let median = *median;
            self.teams.retain(|_, demand| demand.first_turns > median);
        }
        self.share = share;
        self.grants.clear();
        if share >= 1.0 {
            return;
        }
        let mut by_urgency: IndexMap<Urgency, Vec<f64>> = IndexMap::new();
        for ((urgency, _), demand) in &self.teams {
            let asked = by_urgency.entry(*urgency).or_default();
            asked.push(demand.asked_tokens());
        }
        by_urgency.sort_unstable_keys();
        let total: f64 = by_urgency.values().flatten().sum();
        let mut left = share * total;
        for (urgency, asked) in by_urgency {
            let class_total: f64 = asked.iter().sum();
            // Only later turns came at this urgency, so it has no recent demand.
            if class_total <= 0.0 {
                continue;
            }
            let granted = left.min(class_total);
            left -= granted;
            self.grants.push(Grant {
                urgency,
                refused_share: 1.0 - granted / class_total,
                tokens_per_team: tokens_per_team(asked, granted),
            });
        }
    }

    /// The probability with which a first turn is refused.
    pub fn refusal_probability(&self, urgency: Urgency, team: &TeamId) -> f64 {
        let at = self.grants.partition_point(|grant| grant.urgency < urgency);
        let grant = match self.grants.get(at) {
            Some(grant) if grant.urgency == urgency => grant,
            // A priority without recent demand is refused if a more urgent one is. The least urgent
            // one gets the level itself.
            _ => {
                let more_urgent = self.grants[..at].last();
                let is_refused = more_urgent.is_some_and(|grant| grant.refused_share > 0.0);
                return match self.grants.get(at) {
                    _ if is_refused => 1.0,
                    Some(_) => 0.0,
                    None => 1.0 - self.share,
                };
            }
        };
        if grant.refused_share <= 0.0 || grant.refused_share >= 1.0 {
            return grant.refused_share;
        }
        let demand = self.teams.get(&(urgency, team.clone()));
        let asked = demand.map_or(0.0, TeamDemand::asked_tokens);
        if asked <= grant.tokens_per_team {
            return 0.0;
        }
        1.0 - grant.tokens_per_team / asked
    }

    /// The largest demands, and those of the teams that `named` has, for another gateway.
    pub fn shared(&self, named: &[SharedDemand]) -> Vec<SharedDemand> {
        let mut largest: Vec<_> = self.teams.iter().collect();
        if largest.len() > MAX_SHARED_TEAMS {
            let by_demand = |demand: &TeamDemand| demand.first_turns;
            largest.select_nth_unstable_by(MAX_SHARED_TEAMS, |(_, one), (_, other)| {
                by_demand(other).total_cmp(&by_demand(one))
            });
            largest.truncate(MAX_SHARED_TEAMS);
        }
        let named = named.iter().filter_map(|shared| {
            let key = (shared.urgency, TeamId::from(&*shared.team));
            self.teams.get_key_value(&key)
        });
        let chosen: IndexMap<_, _> = largest.into_iter().chain(named).collect();
        let shared = chosen
            .into_iter()
            .map(|((urgency, team), demand)| SharedDemand {
                urgency: *urgency,
                team: team.to_string(),
                amounts: [demand.first_turns, demand.begun, demand.tokens],
            });
        shared.collect()
    }

    /// Moves the demands by half of the way from `own`, which this gateway has told another one, to
    /// `other`, which that one has told. If both do so, the sum of their demands stays the same.
    pub fn average(&mut self, own: &[SharedDemand], other: &[SharedDemand]) {
        for (shared, part) in own
            .iter()
            .map(|own| (own, -0.5))
            .chain(other.iter().map(|other| (other, 0.5)))
        {
            let is_valid = |amount: &f64| (0.0..=MAX_AMOUNT).contains(amount);
            if !shared.amounts.iter().all(is_valid) {
                continue;
            }
            if let Some(demand) = self.team(shared.urgency, &TeamId::from(&*shared.team)) {
                let [first_turns, begun, tokens] = shared.amounts;
                demand.first_turns += part * first_turns;
                demand.begun += part * begun;
                demand.tokens += part * tokens;
            }
        }
        // The demand may have decayed since it was told.
        for demand in self.teams.values_mut() {
            demand.first_turns = demand.first_turns.max(0.0);
            demand.begun = demand.begun.max(0.0);
            demand.tokens = demand.tokens.max(0.0);
        }
    }

    /// The number of teams with a recent demand.
    pub fn team_count(&self) -> usize {
        self.teams.len()
    }
}

/// The tokens for each team at which the teams together get `granted`.
fn tokens_per_team(mut asked: Vec<f64>, granted: f64) -> f64 {
    asked.sort_unstable_by(f64::total_cmp);
    let mut left = granted;
    let mut teams_left = asked.len();
    for tokens in asked {
        let equal_share = left / teams_left as f64;
        if tokens >= equal_share {
            return equal_share;
        }
        left -= tokens;
        teams_left -= 1;
    }
    f64::INFINITY
}

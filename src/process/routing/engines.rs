//! The engines of the configuration in effect, with their load as this entry knows it.
//!
//! A load report lags and does not include what was sent after it was made. The corrected load of
//! an engine is therefore what others had in progress at the time of the report, plus what this
//! entry has in progress now.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::CallDescription;
use super::prefix::PrefixMap;
use crate::connection::engine::{EngineLoad, Usage};
use crate::ids::{BackendServerId, ModelId};
use crate::process::breaker::CircuitBreaker;
use crate::version::config::{BackendServer, Config};

/// Position of an engine in the table; stays the same while the engine has calls in flight.
pub type EngineIndex = usize;

/// Load in thousandths of the calls that the engine may run at once.
pub type LoadPermille = u64;

/// How long starts and ends of calls are kept to be compared with a report's time.
const HISTORY: Duration = Duration::from_secs(5);
/// Reports missed in a row that open the circuit breaker, so that an idle engine that is down is
/// known before a call is sent to it.
const MISSED_REPORTS: u32 = 3;
/// Weight of one call in the average share of correct cache guesses.
const TRUST_STEP: f64 = 0.2;
/// Weight of one call in the typical length of a program's prefix, if the prefix is longer than that.
const LONGER_STEP: f64 = 0.05;
/// The same for shorter ones. The typical length is above the mean, because a cache that is full to
/// the mean evicts whenever programs are longer than usual.
const SHORTER_STEP: f64 = 0.02;
/// Weight of one report in the average calls of other entries. Single reports are out of date by
/// half a second: with them, all entries filled the same free places at the same time.
const OTHERS_STEP: f64 = 0.3;
/// Part of the cache that programs may fill; the rest is for urgent ones, which start in any case, and
/// for the starts of other entries since the last report.
const FILLED_CACHE_PERCENT: u64 = 90;

/// An engine and what is known of it.
pub struct Engine {
    /// Its id in the configuration.
    pub backend_server_id: BackendServerId,
    /// Its address.
    pub address: SocketAddr,
    max_calls: u32,
    pub(super) cache_tokens: u64,
    groups: Vec<usize>,
    /// Whether the configuration in effect has it.
    is_configured: bool,
    /// By its own report.
    reports_leaving: bool,
    /// By the platform's list of VMs.
    vm_is_leaving: bool,
    in_flight_calls: u32,
    in_flight_tokens: u64,
    /// Prefixes of calls in flight that the engine did not have when they started.
    starting: IndexSet<Rc<str>>,
    /// Starts (+1) and ends (-1) of the last seconds.
    history: VecDeque<(Instant, i32)>,
    report: EngineLoad,
    /// Calls of other entries, averaged over the last reports; `None` before the first.
    others: Option<f64>,
    /// Calls that this entry may always run, whatever the others do.
    guaranteed_calls: u32,
    missed_reports: u32,
    breaker: CircuitBreaker,
    /// Share of the expected cached tokens that the engine's usage confirmed.
    trust: f64,
    /// Keys in the ordered sets of the groups; `None` while it takes no calls.
    keys: Option<(LoadPermille, LoadPermille)>,
    /// Whether a load request is in progress.
    pub(super) is_polled: bool,
}

impl Engine {
    fn new(backend_server_id: &BackendServerId, server: &BackendServer) -> Self {
        Self {
            backend_server_id: backend_server_id.clone(),
            address: server.address,
            max_calls: server.max_concurrent_calls,
            cache_tokens: server.cache_tokens,
            groups: Vec::new(),
            is_configured: true,
            reports_leaving: false,
            vm_is_leaving: false,
            in_flight_calls: 0,
            in_flight_tokens: 0,
            starting: IndexSet::new(),
            history: VecDeque::new(),
            report: EngineLoad::default(),
            others: None,
            guaranteed_calls: 0,
            missed_reports: 0,
            breaker: CircuitBreaker::default(),
            trust: 1.0,
            keys: None,
            is_polled: false,
        }
    }

    fn is_in_service(&self) -> bool {
        self.is_configured && !self.reports_leaving && !self.vm_is_leaving
    }

    fn corrected_calls(&self) -> u32 {
        let others = self.others.unwrap_or(0.0).round() as u32;
        others.saturating_add(self.in_flight_calls)
    }

    /// Whether this entry may send a further call. The entries divide an engine by what they use:
    /// each leaves the others what they had in progress on average, and keeps an equal part.
    fn has_place(&self) -> bool {
        self.in_flight_calls < self.guaranteed_calls || self.corrected_calls() < self.max_calls
    }

    fn in_flight_at(&self, time: Instant) -> u32 {
        let later = self.history.iter().rev();
        let change: i32 = later
            .take_while(|(changed, _)| *changed > time)
            .map(|(_, change)| change)
            .sum();
        self.in_flight_calls.saturating_add_signed(-change)
    }

    fn remember(&mut self, now: Instant, change: i32) {
        let is_old = |changed: Instant| now.saturating_duration_since(changed) > HISTORY;
        while self
            .history
            .front()
            .is_some_and(|(changed, _)| is_old(*changed))
        {
            self.history.pop_front();
        }
        self.history.push_back((now, change));
    }
}

/// The engines of one model.
#[derive(Default)]
pub struct Group {
    /// All configured ones, leaving or not.
    pub members: Vec<EngineIndex>,
    /// Those in service whose breaker lets calls through, by corrected load.
    by_load: BTreeSet<(LoadPermille, EngineIndex)>,
    /// The same ones, by reported load.
    by_report: BTreeSet<(LoadPermille, EngineIndex)>,
    /// Members in service, whatever their breaker says.
    in_service: usize,
}

/// All engines.
#[derive(Default)]
pub struct Engines {
    engines: Vec<Engine>,
    by_id: IndexMap<BackendServerId, EngineIndex>,
    free: Vec<EngineIndex>,
    groups: Vec<Group>,
    group_of_model: IndexMap<ModelId, usize>,
    /// Typical length of a program's prefix over its calls, by model.
    typical_tokens: IndexMap<ModelId, f64>,
    /// Entries that share the engines, this one included; 0 while unknown.
    live_entries: u64,
    /// What the engines have in their caches.
    pub prefixes: PrefixMap,
}

impl Engines {
    /// Takes over the engines of a configuration. Those that it no longer has get no new calls.
    pub fn set_config(&mut self, config: &Config, now: Instant) {
        for engine in &mut self.engines {
            engine.is_configured = false;
            engine.keys = None;
            engine.groups.clear();
        }
        self.groups.iter_mut().for_each(|group| {
            *group = Group::default();
        });
        for (backend_server_id, server) in &config.backend_servers {
            let index = self.place(backend_server_id, server);
            for model_id in &server.models {
                let group = self.group_for(model_id);
                if self.engines[index].groups.contains(&group) {
                    continue;
                }
                self.engines[index].groups.push(group);
                self.groups[group].members.push(index);
            }
        }
        for index in 0..self.engines.len() {
            self.reclaim(index);
            self.set_guarantee(index);
            self.update(index, now);
        }
        self.count_in_service();
    }

    fn place(&mut self, id: &BackendServerId, server: &BackendServer) -> EngineIndex {
        if let Some(index) = self.by_id.get(id).copied() {
            let engine = &mut self.engines[index];
            if engine.address == server.address {
                engine.max_calls = server.max_concurrent_calls;
                engine.cache_tokens = server.cache_tokens;
                engine.is_configured = true;
                return index;
            }
            // Another server took over the id; calls in flight stay with the old one.
        }
        let engine = Engine::new(id, server);
        let index = match self.free.pop() {
            Some(index) => {
                self.engines[index] = engine;
                index
            }
            None => {
                self.engines.push(engine);
                self.engines.len() - 1
            }
        };
        self.by_id.insert(id.clone(), index);
        index
    }

    fn group_for(&mut self, model_id: &ModelId) -> usize {
        let next = self.groups.len();
        let group = *self.group_of_model.entry(model_id.clone()).or_insert(next);
        if group == next {
            self.groups.push(Group::default());
        }
        group
    }

    /// Frees the position of an engine that is no longer configured and has no calls in flight.
    fn reclaim(&mut self, index: EngineIndex) {
        let engine = &self.engines[index];
        if engine.is_configured || engine.in_flight_calls > 0 || self.free.contains(&index) {
            return;
        }
        if self.by_id.get(&engine.backend_server_id) == Some(&index) {
            self.by_id.swap_remove(&engine.backend_server_id);
        }
        self.prefixes.forget_engine(index);
        self.free.push(index);
    }

    /// Calls of this entry in progress on an engine.
    pub fn in_flight_calls(&self, index: EngineIndex) -> u32 {
        self.engines[index].in_flight_calls
    }

    /// Whether an engine may get new calls, as far as the configuration, its own report and the
    /// list of VMs say.
    pub fn is_in_service(&self, index: EngineIndex) -> bool {
        self.engines[index].is_in_service()
    }

    /// The engine at a position.
    pub fn get(&self, index: EngineIndex) -> &Engine {
        &self.engines[index]
    }

    /// The position of an engine.
    pub fn find(&self, backend_server_id: &BackendServerId) -> Option<EngineIndex> {
        self.by_id.get(backend_server_id).copied()
    }

    /// The engines of a model.
    pub fn group(&self, model_id: &ModelId) -> Option<&Group> {
        let group = self.group_of_model.get(model_id)?;
        self.groups.get(*group)
    }

    /// Whether any engine is in service that the call does not exclude.
    pub fn can_serve(&self, call: &CallDescription) -> bool {
        let Some(group) = self.group(&call.model_id) else {
            return false;
        };
        let mut excluded: Vec<_> = call
            .excluded
            .iter()
            .filter_map(|id| self.find(id))
            .collect();
        excluded.sort_unstable();
        excluded.dedup();
        excluded
            .retain(|index| self.engines[*index].is_in_service() && group.members.contains(index));
        group.in_service > excluded.len()
    }

    /// Whether an engine is in service for a call, if it has room or not.
    pub fn takes_calls(&self, index: EngineIndex, call: &CallDescription) -> bool {
        let engine = &self.engines[index];
        engine.keys.is_some() && !call.excluded.contains(&engine.backend_server_id)
    }

    /// Whether an engine can take a call now.
    pub fn has_room(&self, index: EngineIndex, call: &CallDescription, now: Instant) -> bool {
        let engine = &self.engines[index];
        if !engine.is_in_service() || call.excluded.contains(&engine.backend_server_id) {
            return false;
        }
        let own = engine.in_flight_calls;
        let breaker_allows = engine.breaker.allows(now, engine.max_calls, own);
        if !breaker_allows || !engine.has_place() {
            return false;
        }
        // A call that is larger than the whole cache runs alone.
        let tokens = engine.in_flight_tokens + call.tokens();
        engine.in_flight_calls == 0 || tokens <= engine.cache_tokens
    }

    /// Takes over the number of live entries.
    pub fn set_live_entries(&mut self, count: usize, now: Instant) {
        self.live_entries = count as u64;
        for index in 0..self.engines.len() {
            self.set_guarantee(index);
            self.update(index, now);
        }
    }

    /// An entry that is alone needs no guarantee: what else is in progress is not of its kind.
    fn set_guarantee(&mut self, index: EngineIndex) {
        let engine = &mut self.engines[index];
        engine.guaranteed_calls = match self.live_entries {
            0 | 1 => 0,
            count => u64::from(engine.max_calls).div_euclid(count) as u32,
        };
    }

    /// Tokens of the prefixes of running programs that a call would evict from an engine; 0 if the
    /// cache has room for it.
    ///
    /// Short prefixes are counted with the typical length, because they grow: an engine that is
    /// full of short prefixes would evict them while the programs run.
    pub fn overflow(&self, index: EngineIndex, call: &CallDescription) -> u64 {
        let engine = &self.engines[index];
        let typical = self.typical_tokens.get(&call.model_id).copied();
        let typical = typical.unwrap_or(0.0) as u64;
        let kept = self.prefixes.kept(index, typical);
        if kept.programs == 0 && engine.starting.is_empty() {
            return 0;
        }
        let committed = kept.grown_tokens + engine.starting.len() as u64 * typical;
        let needed = call.prompt_tokens.max(typical);
        let share = self.cache_share(index, kept.tokens);
        let limit = share * FILLED_CACHE_PERCENT / 100;
        (committed + needed).saturating_sub(limit).min(needed)
    }

    /// Tokens of an engine's cache that this entry may fill: what others leave, at least an equal
    /// part. Entries with more programs hold more, because others release what they no longer use.
    fn cache_share(&self, index: EngineIndex, own_tokens: u64) -> u64 {
        let engine = &self.engines[index];
        let others = engine.report.cache_used_tokens.saturating_sub(own_tokens);
        let left = engine.cache_tokens.saturating_sub(others);
        left.max(engine.cache_tokens / self.live_entries.max(1))
    }

    /// The corrected load of an engine.
    pub fn load(&self, index: EngineIndex) -> LoadPermille {
        let engine = &self.engines[index];
        permille(engine.corrected_calls(), engine.max_calls)
    }

    /// Calls that the engine reported as waiting for its batch.
    pub fn waiting(&self, index: EngineIndex) -> u64 {
        u64::from(self.engines[index].report.waiting)
    }

    /// The estimated tokens of a call's prefix in the cache of an engine.
    pub fn cached_tokens(&self, index: EngineIndex, call: &CallDescription) -> u64 {
        let tokens = self.prefixes.tokens(&call.cache_key, index);
        let tokens = (tokens as f64 * self.engines[index].trust) as u64;
        tokens.min(call.prompt_tokens)
    }

    /// Records that a call was sent to an engine.
    pub fn start(&mut self, index: EngineIndex, call: &CallDescription, now: Instant) {
        let is_cached = self.prefixes.tokens(&call.cache_key, index) > 0;
        let engine = &mut self.engines[index];
        engine.in_flight_calls += 1;
        engine.in_flight_tokens += call.tokens();
        if !is_cached {
            engine.starting.insert(call.cache_key.clone());
        }
        engine.remember(now, 1);
        self.update(index, now);
    }

    /// Records that a call has ended, whichever way.
    pub fn end(&mut self, index: EngineIndex, call: &CallDescription, now: Instant) {
        let engine = &mut self.engines[index];
        engine.in_flight_calls -= 1;
        engine.in_flight_tokens -= call.tokens();
        engine.starting.swap_remove(&call.cache_key);
        engine.remember(now, -1);
        self.reclaim(index);
        self.update(index, now);
    }

    /// Records that an engine works.
    pub fn succeeded(&mut self, index: EngineIndex, now: Instant) {
        let was_closed = self.engines[index].breaker.is_closed();
        self.engines[index].breaker.record_success(now);
        if !was_closed {
            self.update(index, now);
        }
    }

    /// Records that an engine failed a call.
    pub fn failed(&mut self, index: EngineIndex, now: Instant) {
        self.engines[index].breaker.record_failure(now);
        self.update(index, now);
    }

    /// Records what a call used, which shows what is in the engine's cache.
    pub fn used(&mut self, index: EngineIndex, call: &CallDescription, usage: &Usage) {
        let expected = self.prefixes.tokens(&call.cache_key, index);
        let expected = expected.min(usage.prompt_tokens);
        let engine = &mut self.engines[index];
        if expected > 0 {
            let confirmed = usage.cached_tokens.min(expected) as f64 / expected as f64;
            engine.trust += TRUST_STEP * (confirmed - engine.trust);
        }
        let tokens = usage.prompt_tokens + usage.completion_tokens;
        let capacity = engine.cache_tokens;
        let typical = self.typical_tokens.entry(call.model_id.clone());
        let typical = typical.or_insert(tokens as f64);
        let difference = tokens as f64 - *typical;
        let step = if difference > 0.0 {
            LONGER_STEP
        } else {
            SHORTER_STEP
        };
        *typical += step * difference;
        if tokens <= capacity {
            self.prefixes
                .record(&call.cache_key, index, tokens, capacity);
        }
    }

    /// Takes over a load report that has just arrived.
    pub fn report(&mut self, index: EngineIndex, report: EngineLoad, now: Instant) {
        let engine = &mut self.engines[index];
        let age = Duration::from_millis(report.age_ms);
        let made = now.checked_sub(age).unwrap_or(now);
        let calls = report.running.saturating_add(report.waiting);
        let others = f64::from(calls.saturating_sub(engine.in_flight_at(made)));
        let mean = engine.others.get_or_insert(others);
        *mean += OTHERS_STEP * (others - *mean);
        engine.report = report;
        if std::mem::take(&mut engine.missed_reports) >= MISSED_REPORTS {
            engine.breaker.end_backoff(now);
        }
        let was_in_service = engine.is_in_service();
        engine.reports_leaving = report.leaving;
        self.service_changed(index, was_in_service);
        self.update(index, now);
    }

    /// Records that an engine did not answer a load request.
    pub fn missed_report(&mut self, index: EngineIndex, now: Instant) {
        let engine = &mut self.engines[index];
        engine.missed_reports += 1;
        if engine.missed_reports >= MISSED_REPORTS && engine.breaker.call_limit(now, 1) > 0 {
            engine.breaker.open(now);
        }
        self.update(index, now);
    }

    /// Takes over which engines the platform's list of VMs shows as leaving.
    pub fn set_vms_leaving(&mut self, is_leaving: impl Fn(SocketAddr) -> bool, now: Instant) {
        for index in 0..self.engines.len() {
            let engine = &mut self.engines[index];
            let was_in_service = engine.is_in_service();
            engine.vm_is_leaving = is_leaving(engine.address);
            if self.service_changed(index, was_in_service) {
                self.update(index, now);
            }
        }
    }

    fn service_changed(&mut self, index: EngineIndex, was_in_service: bool) -> bool {
        let engine = &self.engines[index];
        let is_in_service = engine.is_in_service();
        for group in &engine.groups {
            let group = &mut self.groups[*group];
            match (was_in_service, is_in_service) {
                (true, false) => group.in_service -= 1,
                (false, true) => group.in_service += 1,
                _ => {}
            }
        }
        was_in_service != is_in_service
    }

    fn count_in_service(&mut self) {
        for group in &mut self.groups {
            let members = group.members.iter();
            let in_service = members.filter(|index| self.engines[**index].is_in_service());
            group.in_service = in_service.count();
        }
    }

    /// Brings the engines up to date whose breaker changes with time.
    pub fn refresh(&mut self, now: Instant) {
        self.prefixes.refresh(now);
        for index in 0..self.engines.len() {
            if !self.engines[index].breaker.is_closed() {
                self.update(index, now);
            }
        }
    }

    /// Positions of the configured engines.
    pub fn configured(&self) -> impl Iterator<Item = EngineIndex> + '_ {
        self.by_id.values().copied()
    }

    /// Marks whether a load request to an engine is in progress.
    pub(super) fn set_polled(&mut self, index: EngineIndex, is_polled: bool) {
        self.engines[index].is_polled = is_polled;
    }

    /// Moves an engine to its present place in the ordered sets.
    fn update(&mut self, index: EngineIndex, now: Instant) {
        let engine = &mut self.engines[index];
        let limit = engine.breaker.call_limit(now, engine.max_calls);
        let takes_calls = engine.is_in_service() && limit > 0;
        let keys = takes_calls.then(|| {
            let reported = engine.report.running.saturating_add(engine.report.waiting);
            let mut corrected = permille(engine.corrected_calls(), engine.max_calls);
            if engine.has_place() {
                corrected = corrected.min(FULL_PERMILLE - 1);
            }
            // The breaker limits the calls of this entry only.
            let own = permille(engine.in_flight_calls, limit);
            (corrected.max(own), permille(reported, engine.max_calls))
        });
        let previous = std::mem::replace(&mut engine.keys, keys);
        if previous == keys {
            return;
        }
        for group in &engine.groups {
            let group = &mut self.groups[*group];
            if let Some((load, reported)) = previous {
                group.by_load.remove(&(load, index));
                group.by_report.remove(&(reported, index));
            }
            if let Some((load, reported)) = keys {
                group.by_load.insert((load, index));
                group.by_report.insert((reported, index));
            }
        }
    }
}

impl Group {
    /// The engines in the order of their corrected load.
    pub fn by_load(&self) -> impl Iterator<Item = EngineIndex> + '_ {
        self.by_load.iter().map(|(_, index)| *index)
    }

    /// The engines in the order of their reported load.
    pub fn by_report(&self) -> impl Iterator<Item = EngineIndex> + '_ {
        self.by_report.iter().map(|(_, index)| *index)
    }

    /// Whether every engine runs as many calls as it may.
    pub fn is_full(&self) -> bool {
        let least = self.by_load.first();
        least.is_none_or(|(load, _)| *load >= FULL_PERMILLE)
    }
}

const FULL_PERMILLE: LoadPermille = 1000;

fn permille(calls: u32, limit: u32) -> LoadPermille {
    u64::from(calls) * FULL_PERMILLE / u64::from(limit.max(1))
}

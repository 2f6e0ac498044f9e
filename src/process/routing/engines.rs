//! The state of the engines as this entry knows it: whether they are in service, their load, their
//! cache use and their circuit breakers.
//!
//! Configurations, load reports, the platform's list of VMs and the calls of this entry update the
//! state; the placement policies read it. Each model has a group with its engines in order of load.
//!
//! A load report lags and does not include calls sent after it was made. The corrected load of an
//! engine is therefore the number of calls that other entries had in flight at the time of the
//! report, plus the calls that this entry has in flight now.

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

/// Index of an engine in [`Engines`]. It does not change while the engine has calls in flight; the
/// index of an engine that was removed is reused.
pub type EngineIndex = usize;

/// Load in thousandths of the calls that the engine may run concurrently.
pub type LoadPermille = u64;

/// Retention of the starts and ends of calls, which are compared with the time of a load report.
const CALL_CHANGE_RETENTION: Duration = Duration::from_secs(5);
/// Consecutive missed reports that open the circuit breaker, so that an idle engine that is down is
/// detected before a call is sent to it.
const MISSED_REPORT_LIMIT: u32 = 3;
/// Weight of one call in the moving average of `cache_accuracy`.
const ACCURACY_SMOOTHING: f64 = 0.2;
/// Weight of one call in the typical length of a program's prefix if its prefix is longer.
const LONGER_PREFIX_SMOOTHING: f64 = 0.05;
/// Weight of one call in the typical length if its prefix is shorter. The smaller weight keeps the
/// typical length above the mean, because a cache filled on the basis of the mean evicts prefixes
/// whenever programs are longer than usual.
const SHORTER_PREFIX_SMOOTHING: f64 = 0.02;
/// Weight of one report in the moving average of the calls of other entries. A single report is out
/// of date by half a second: with single reports, all entries filled the same free capacity at the
/// same time.
const OTHER_ENTRIES_SMOOTHING: f64 = 0.3;
/// Part of the available cache that new programs may fill. The rest is for urgent programs, which
/// do not wait for cache space, and for programs that other entries started since the last report.
const CACHE_FILL_LIMIT_PERCENT: u64 = 90;

/// The state of one engine.
pub struct Engine {
    /// The id in the configuration. A removed engine with calls in flight may share it with its
    /// successor.
    pub backend_server_id: BackendServerId,
    /// The address that identifies the engine together with its id; a new address means a new
    /// engine.
    pub address: SocketAddr,
    max_calls: u32,
    pub(super) cache_tokens: u64,
    groups: Vec<usize>,
    /// Whether the current configuration contains the engine.
    is_configured: bool,
    /// Whether the last load report said that the engine is leaving.
    reports_leaving: bool,
    /// Whether the platform's list of VMs shows the engine as leaving.
    vm_is_leaving: bool,
    in_flight_calls: u32,
    in_flight_tokens: u64,
    /// Prefixes of calls in flight that were not in the engine's cache when the calls started.
    starting_prefixes: IndexSet<Rc<str>>,
    /// Starts (+1) and ends (-1) of calls within [`CALL_CHANGE_RETENTION`].
    call_changes: VecDeque<(Instant, i32)>,
    report: EngineLoad,
    /// Moving average of the calls of other entries; `None` before the first report.
    other_entry_calls: Option<f64>,
    /// Calls that this entry may always run, regardless of the calls of other entries.
    guaranteed_calls: u32,
    missed_reports: u32,
    breaker: CircuitBreaker,
    /// Moving average of the share of expected cached tokens that the reported usage confirmed.
    cache_accuracy: f64,
    /// Corrected and reported load under which the groups order the engine; `None` while the engine
    /// accepts no calls.
    order_keys: Option<(LoadPermille, LoadPermille)>,
    pub(super) has_pending_poll: bool,
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
            starting_prefixes: IndexSet::new(),
            call_changes: VecDeque::new(),
            report: EngineLoad::default(),
            other_entry_calls: None,
            guaranteed_calls: 0,
            missed_reports: 0,
            breaker: CircuitBreaker::default(),
            cache_accuracy: 1.0,
            order_keys: None,
            has_pending_poll: false,
        }
    }

    fn is_in_service(&self) -> bool {
        self.is_configured && !self.reports_leaving && !self.vm_is_leaving
    }

    fn corrected_calls(&self) -> u32 {
        let other_entry_calls = self.other_entry_calls.unwrap_or(0.0).round() as u32;
        other_entry_calls.saturating_add(self.in_flight_calls)
    }

    /// Whether this entry may send another call. The entries share an engine by use: each one
    /// leaves the others the calls that they had in flight on average, and may always use an equal
    /// part.
    fn has_call_capacity(&self) -> bool {
        self.in_flight_calls < self.guaranteed_calls || self.corrected_calls() < self.max_calls
    }

    fn in_flight_at(&self, time: Instant) -> u32 {
        let later = self.call_changes.iter().rev();
        let change: i32 = later
            .take_while(|(changed, _)| *changed > time)
            .map(|(_, change)| change)
            .sum();
        self.in_flight_calls.saturating_add_signed(-change)
    }

    fn record_change(&mut self, now: Instant, change: i32) {
        let is_expired =
            |changed: Instant| now.saturating_duration_since(changed) > CALL_CHANGE_RETENTION;
        while self
            .call_changes
            .front()
            .is_some_and(|(changed, _)| is_expired(*changed))
        {
            self.call_changes.pop_front();
        }
        self.call_changes.push_back((now, change));
    }
}

/// The engines of one model, ordered by load.
#[derive(Default)]
pub struct EngineGroup {
    /// All configured engines of the model, including those that are leaving.
    pub members: Vec<EngineIndex>,
    /// Engines in service whose circuit breaker allows calls, by corrected load.
    by_load: BTreeSet<(LoadPermille, EngineIndex)>,
    /// The same engines by reported load.
    by_report: BTreeSet<(LoadPermille, EngineIndex)>,
    /// Members in service, regardless of their circuit breakers.
    in_service_count: usize,
}

/// The engines of all models.
#[derive(Default)]
pub struct Engines {
    engines: Vec<Engine>,
    by_id: IndexMap<BackendServerId, EngineIndex>,
    free_indexes: Vec<EngineIndex>,
    groups: Vec<EngineGroup>,
    group_of_model: IndexMap<ModelId, usize>,
    /// Typical length of a program's prefix in tokens, averaged over calls, by model.
    typical_tokens: IndexMap<ModelId, f64>,
    /// Entries that share the engines, including this one; 0 while unknown.
    live_entries: u64,
    /// The estimate of the prefixes in the engines' caches.
    pub prefixes: PrefixMap,
}

impl Engines {
    /// Applies the engines of a configuration. Engines that it no longer contains receive no new
    /// calls, and are removed when their calls in flight have ended.
    pub fn set_config(&mut self, config: &Config, now: Instant) {
        for engine in &mut self.engines {
            engine.is_configured = false;
            engine.order_keys = None;
            engine.groups.clear();
        }
        self.groups.iter_mut().for_each(|group| {
            *group = EngineGroup::default();
        });
        for (backend_server_id, server) in &config.backend_servers {
            let index = self.insert_or_update(backend_server_id, server);
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
            self.update_guaranteed_calls(index);
            self.update_order(index, now);
        }
        self.recount_in_service();
    }

    fn insert_or_update(&mut self, id: &BackendServerId, server: &BackendServer) -> EngineIndex {
        if let Some(index) = self.by_id.get(id).copied() {
            let engine = &mut self.engines[index];
            if engine.address == server.address {
                engine.max_calls = server.max_concurrent_calls;
                engine.cache_tokens = server.cache_tokens;
                engine.is_configured = true;
                return index;
            }
            // The id now belongs to another server. Calls in flight stay with the old one.
        }
        let engine = Engine::new(id, server);
        let index = match self.free_indexes.pop() {
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
            self.groups.push(EngineGroup::default());
        }
        group
    }

    /// Removes an engine that is no longer configured and has no calls in flight, and frees its
    /// index.
    fn reclaim(&mut self, index: EngineIndex) {
        let engine = &self.engines[index];
        if engine.is_configured || engine.in_flight_calls > 0 || self.free_indexes.contains(&index)
        {
            return;
        }
        if self.by_id.get(&engine.backend_server_id) == Some(&index) {
            self.by_id.swap_remove(&engine.backend_server_id);
        }
        self.prefixes.remove_engine(index);
        self.free_indexes.push(index);
    }

    /// Calls of this entry in flight on an engine.
    pub fn in_flight_calls(&self, index: EngineIndex) -> u32 {
        self.engines[index].in_flight_calls
    }

    /// Whether an engine may receive new calls according to the configuration, its last load report
    /// and the platform's list of VMs. The circuit breaker is not included.
    pub fn is_in_service(&self, index: EngineIndex) -> bool {
        self.engines[index].is_in_service()
    }

    /// Returns the engine at an index.
    pub fn get(&self, index: EngineIndex) -> &Engine {
        &self.engines[index]
    }

    /// Returns the index of the engine that currently has an id.
    pub fn find(&self, backend_server_id: &BackendServerId) -> Option<EngineIndex> {
        self.by_id.get(backend_server_id).copied()
    }

    /// Returns the engines of a model; `None` if no configuration has contained the model.
    pub fn group(&self, model_id: &ModelId) -> Option<&EngineGroup> {
        let group = self.group_of_model.get(model_id)?;
        self.groups.get(*group)
    }

    /// Whether an engine is in service that the call does not exclude, with or without capacity.
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
        group.in_service_count > excluded.len()
    }

    /// Whether an engine is in service, allowed by its circuit breaker and not excluded by the
    /// call, with or without capacity.
    pub fn accepts_calls(&self, index: EngineIndex, call: &CallDescription) -> bool {
        let engine = &self.engines[index];
        engine.order_keys.is_some() && !call.excluded.contains(&engine.backend_server_id)
    }

    /// Whether an engine accepts a call and has the calls and cache tokens left for it.
    pub fn has_capacity(&self, index: EngineIndex, call: &CallDescription, now: Instant) -> bool {
        let engine = &self.engines[index];
        if !engine.is_in_service() || call.excluded.contains(&engine.backend_server_id) {
            return false;
        }
        let own = engine.in_flight_calls;
        let breaker_allows = engine.breaker.allows(now, engine.max_calls, own);
        if !breaker_allows || !engine.has_call_capacity() {
            return false;
        }
        // A call that needs more than the whole cache runs alone.
        let tokens = engine.in_flight_tokens + call.reserved_tokens();
        engine.in_flight_calls == 0 || tokens <= engine.cache_tokens
    }

    /// Sets the number of live entries, including this one.
    pub fn set_live_entries(&mut self, count: usize, now: Instant) {
        self.live_entries = count as u64;
        for index in 0..self.engines.len() {
            self.update_guaranteed_calls(index);
            self.update_order(index, now);
        }
    }

    /// A single entry needs no guarantee: the other calls on its engines do not come from entries.
    fn update_guaranteed_calls(&mut self, index: EngineIndex) {
        let engine = &mut self.engines[index];
        engine.guaranteed_calls = match self.live_entries {
            0 | 1 => 0,
            count => u64::from(engine.max_calls).div_euclid(count) as u32,
        };
    }

    /// Estimates how many tokens of the prefixes of running programs a call would evict from an
    /// engine; 0 if the cache has space for the call.
    ///
    /// Prefixes that are shorter than the typical length are counted with it, because they grow: an
    /// engine full of short prefixes would evict some of them while their programs run.
    pub fn tokens_to_evict(&self, index: EngineIndex, call: &CallDescription) -> u64 {
        let engine = &self.engines[index];
        let typical = self.typical_tokens.get(&call.model_id).copied();
        let typical = typical.unwrap_or(0.0) as u64;
        let retained = self.prefixes.retained(index, typical);
        if retained.programs == 0 && engine.starting_prefixes.is_empty() {
            return 0;
        }
        let projected = retained.projected_tokens + engine.starting_prefixes.len() as u64 * typical;
        let needed = call.prompt_tokens.max(typical);
        let available = self.available_cache_tokens(index, retained.tokens);
        let limit = available * CACHE_FILL_LIMIT_PERCENT / 100;
        (projected + needed).saturating_sub(limit).min(needed)
    }

    /// Tokens of an engine's cache that this entry may fill: the part that other entries do not
    /// use, but at least an equal part. Entries with more programs can use more, because the others
    /// release the prefixes that they no longer need.
    fn available_cache_tokens(&self, index: EngineIndex, own_tokens: u64) -> u64 {
        let engine = &self.engines[index];
        let other_entry_tokens = engine.report.cache_used_tokens.saturating_sub(own_tokens);
        let unused = engine.cache_tokens.saturating_sub(other_entry_tokens);
        unused.max(engine.cache_tokens / self.live_entries.max(1))
    }

    /// Returns the corrected load of an engine, as the module documentation defines it.
    pub fn load(&self, index: EngineIndex) -> LoadPermille {
        let engine = &self.engines[index];
        permille(engine.corrected_calls(), engine.max_calls)
    }

    /// Calls that wait in an engine to join its batch, according to its last load report.
    pub fn waiting_calls(&self, index: EngineIndex) -> u64 {
        u64::from(self.engines[index].report.waiting)
    }

    /// Estimates how many tokens of a call's prompt are in the cache of an engine, scaled by the
    /// accuracy of earlier estimates for the engine.
    pub fn cached_tokens(&self, index: EngineIndex, call: &CallDescription) -> u64 {
        let tokens = self.prefixes.tokens(&call.cache_key, index);
        let tokens = (tokens as f64 * self.engines[index].cache_accuracy) as u64;
        tokens.min(call.prompt_tokens)
    }

    /// Records that a call was sent to an engine.
    pub fn record_start(&mut self, index: EngineIndex, call: &CallDescription, now: Instant) {
        let is_cached = self.prefixes.tokens(&call.cache_key, index) > 0;
        let engine = &mut self.engines[index];
        engine.in_flight_calls += 1;
        engine.in_flight_tokens += call.reserved_tokens();
        if !is_cached {
            engine.starting_prefixes.insert(call.cache_key.clone());
        }
        engine.record_change(now, 1);
        self.update_order(index, now);
    }

    /// Records that a call has ended, with any outcome.
    pub fn record_end(&mut self, index: EngineIndex, call: &CallDescription, now: Instant) {
        let engine = &mut self.engines[index];
        engine.in_flight_calls -= 1;
        engine.in_flight_tokens -= call.reserved_tokens();
        engine.starting_prefixes.swap_remove(&call.cache_key);
        engine.record_change(now, -1);
        self.reclaim(index);
        self.update_order(index, now);
    }

    /// Records a success of an engine in its circuit breaker.
    pub fn record_success(&mut self, index: EngineIndex, now: Instant) {
        let was_closed = self.engines[index].breaker.is_closed();
        self.engines[index].breaker.record_success(now);
        if !was_closed {
            self.update_order(index, now);
        }
    }

    /// Records a failed call of an engine in its circuit breaker.
    pub fn record_failure(&mut self, index: EngineIndex, now: Instant) {
        self.engines[index].breaker.record_failure(now);
        self.update_order(index, now);
    }

    /// Updates the estimates of the engine's cache from the usage of a finished call.
    pub fn record_usage(&mut self, index: EngineIndex, call: &CallDescription, usage: &Usage) {
        let expected = self.prefixes.tokens(&call.cache_key, index);
        let expected = expected.min(usage.prompt_tokens);
        let engine = &mut self.engines[index];
        if expected > 0 {
            let confirmed = usage.cached_tokens.min(expected) as f64 / expected as f64;
            engine.cache_accuracy += ACCURACY_SMOOTHING * (confirmed - engine.cache_accuracy);
        }
        let tokens = usage.prompt_tokens + usage.completion_tokens;
        let capacity = engine.cache_tokens;
        let typical = self.typical_tokens.entry(call.model_id.clone());
        let typical = typical.or_insert(tokens as f64);
        let difference = tokens as f64 - *typical;
        let smoothing = if difference > 0.0 {
            LONGER_PREFIX_SMOOTHING
        } else {
            SHORTER_PREFIX_SMOOTHING
        };
        *typical += smoothing * difference;
        if tokens <= capacity {
            self.prefixes
                .record(&call.cache_key, index, tokens, capacity);
        }
    }

    /// Applies a load report that has just arrived. If at least `MISSED_REPORT_LIMIT` reports were
    /// missed before, it ends the pause of the circuit breaker.
    pub fn record_report(&mut self, index: EngineIndex, report: EngineLoad, now: Instant) {
        let engine = &mut self.engines[index];
        let age = Duration::from_millis(report.age_ms);
        let made_at = now.checked_sub(age).unwrap_or(now);
        let calls = report.running.saturating_add(report.waiting);
        let other_entry_calls = f64::from(calls.saturating_sub(engine.in_flight_at(made_at)));
        let mean = engine.other_entry_calls.get_or_insert(other_entry_calls);
        *mean += OTHER_ENTRIES_SMOOTHING * (other_entry_calls - *mean);
        engine.report = report;
        if std::mem::take(&mut engine.missed_reports) >= MISSED_REPORT_LIMIT {
            engine.breaker.end_backoff(now);
        }
        let was_in_service = engine.is_in_service();
        engine.reports_leaving = report.leaving;
        self.update_in_service_counts(index, was_in_service);
        self.update_order(index, now);
    }

    /// Records that an engine did not respond to a load request. Opens the circuit breaker after
    /// `MISSED_REPORT_LIMIT` of them in a row.
    pub fn record_missed_report(&mut self, index: EngineIndex, now: Instant) {
        let engine = &mut self.engines[index];
        engine.missed_reports += 1;
        if engine.missed_reports >= MISSED_REPORT_LIMIT && engine.breaker.call_limit(now, 1) > 0 {
            engine.breaker.open(now);
        }
        self.update_order(index, now);
    }

    /// Marks the engines as leaving whose address the platform's list of VMs shows as leaving, and
    /// clears the mark of all others.
    pub fn set_leaving_vms(&mut self, is_leaving: impl Fn(SocketAddr) -> bool, now: Instant) {
        for index in 0..self.engines.len() {
            let engine = &mut self.engines[index];
            let was_in_service = engine.is_in_service();
            engine.vm_is_leaving = is_leaving(engine.address);
            if self.update_in_service_counts(index, was_in_service) {
                self.update_order(index, now);
            }
        }
    }

    fn update_in_service_counts(&mut self, index: EngineIndex, was_in_service: bool) -> bool {
        let engine = &self.engines[index];
        let is_in_service = engine.is_in_service();
        for group in &engine.groups {
            let group = &mut self.groups[*group];
            match (was_in_service, is_in_service) {
                (true, false) => group.in_service_count -= 1,
                (false, true) => group.in_service_count += 1,
                _ => {}
            }
        }
        was_in_service != is_in_service
    }

    fn recount_in_service(&mut self) {
        for group in &mut self.groups {
            let members = group.members.iter();
            let in_service = members.filter(|index| self.engines[**index].is_in_service());
            group.in_service_count = in_service.count();
        }
    }

    /// Applies the passage of time: expires the uses of prefixes, and reorders the engines whose
    /// circuit breaker is not closed.
    pub fn refresh(&mut self, now: Instant) {
        self.prefixes.refresh(now);
        for index in 0..self.engines.len() {
            if !self.engines[index].breaker.is_closed() {
                self.update_order(index, now);
            }
        }
    }

    /// Indexes of the configured engines, and of removed ones with calls in flight whose id has not
    /// been reused.
    pub fn indexes(&self) -> impl Iterator<Item = EngineIndex> + '_ {
        self.by_id.values().copied()
    }

    pub(super) fn set_pending_poll(&mut self, index: EngineIndex, has_pending_poll: bool) {
        self.engines[index].has_pending_poll = has_pending_poll;
    }

    /// Updates the position of an engine in the ordered sets of its groups.
    fn update_order(&mut self, index: EngineIndex, now: Instant) {
        let engine = &mut self.engines[index];
        let limit = engine.breaker.call_limit(now, engine.max_calls);
        let accepts_calls = engine.is_in_service() && limit > 0;
        let keys = accepts_calls.then(|| {
            let reported = engine.report.running.saturating_add(engine.report.waiting);
            let mut corrected = permille(engine.corrected_calls(), engine.max_calls);
            if engine.has_call_capacity() {
                corrected = corrected.min(FULL_PERMILLE - 1);
            }
            // The circuit breaker limits only the calls of this entry.
            let own = permille(engine.in_flight_calls, limit);
            (corrected.max(own), permille(reported, engine.max_calls))
        });
        let previous = std::mem::replace(&mut engine.order_keys, keys);
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

impl EngineGroup {
    /// Engines that accept calls, in ascending order of corrected load.
    pub fn by_load(&self) -> impl Iterator<Item = EngineIndex> + '_ {
        self.by_load.iter().map(|(_, index)| *index)
    }

    /// Engines that accept calls, in ascending order of reported load.
    pub fn by_report(&self) -> impl Iterator<Item = EngineIndex> + '_ {
        self.by_report.iter().map(|(_, index)| *index)
    }

    /// Whether no engine of the group may run another call.
    pub fn is_full(&self) -> bool {
        let least = self.by_load.first();
        least.is_none_or(|(load, _)| *load >= FULL_PERMILLE)
    }
}

const FULL_PERMILLE: LoadPermille = 1000;

fn permille(calls: u32, limit: u32) -> LoadPermille {
    u64::from(calls) * FULL_PERMILLE / u64::from(limit.max(1))
}

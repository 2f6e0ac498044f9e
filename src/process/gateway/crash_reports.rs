//! Requests that were running at backend servers when these crashed, and which of them are refused.
//!
//! A request may crash each server that runs it. Most requests that were running at a server when it
//! crashed are innocent: they are sent again and succeed, which clears them. What is left is blamed
//! for the crashes: each crash has one cause, so its blame goes to the request with the most
//! crashes, or is shared if there are several. A request with the blame for [`BLAME_TO_REFUSE`]
//! crashes is refused for a while.
//!
//! Not taken for evidence:
//! - crashes of a single server, unless there are many: it may crash by itself;
//! - crashes of runs that began before the last crash was over: they may have one cause outside;
//! - crashes while other requests crash servers as well and none succeeds: the service may be down as
//!   a whole;
//! - crashes that another caller caused, as long as it is the only one: no caller can have the
//!   requests of others refused.
//!
//! Requests are known by their fingerprints, so it does not matter through which gateway and in
//! which program they come again; gateways exchange their reports by gossip, with the admissions of
//! turns and when they start.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::fingerprint::{CallerHash, Fingerprint, FingerprintScope, RequestIdentity};
use crate::process::notify::Notify;

/// Crashes that a request needs to be suspected. The platform allows three.
pub const CRASHES_TO_SUSPECT: usize = 3;
/// Crashes that it needs if all were at the same server.
pub const CRASHES_AT_ONE_SERVER_TO_SUSPECT: usize = 5;
/// Blame because of which a request is refused: one of its crashes may be shared with another
/// request.
const BLAME_TO_REFUSE: f64 = 2.5;
/// Time after the last crash until the reports of other gateways have arrived. A suspected request
/// neither runs nor is refused for good before.
const REPORTING_PERIOD: Duration = Duration::from_millis(500);
/// Time for which a request is refused after its last crash. It doubles with each further crash, so
/// that a request which still crashes servers is tried ever more rarely.
pub const FIRST_REFUSAL_PERIOD: Duration = Duration::from_secs(60);
const MAX_REFUSAL_PERIOD: Duration = Duration::from_secs(16 * 60);
/// Time after the last crash, or the end of the refusal, after which a request is forgotten.
pub const RETENTION: Duration = Duration::from_secs(60);
/// Most fingerprints that are remembered; beyond that, those with the fewest crashes are forgotten.
pub const MAX_FINGERPRINTS: usize = 2_000;
/// Crashes that are remembered of a fingerprint.
const MAX_CRASHES: usize = 8;
/// Most fingerprints in one message between gateways.
const MAX_SHARED_FINGERPRINTS: usize = 64;
/// Time for which a new report is told to gateways of other failure domains as well.
const FRESH_PERIOD: Duration = Duration::from_secs(4);

/// Identifies the crash of one start of a server.
pub type CrashId = u64;

/// A crash of a server while it ran a request.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    /// The same at all gateways.
    pub id: CrashId,
    /// Address of the server.
    pub server_address: SocketAddr,
    /// When the request was sent to the server.
    pub started_at: Instant,
    /// When the connection broke.
    pub at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct RecordedCrash {
    crash: Crash,
    caller: CallerHash,
}

/// What is known of the requests with one fingerprint.
#[derive(Clone, Debug, Default)]
struct CrashHistory {
    /// By the order of the reports.
    crashes: Vec<RecordedCrash>,
    /// When such a request last succeeded; crashes before it do not count.
    succeeded_at: Option<Instant>,
}

impl CrashHistory {
    /// The crashes since the last success, each of a run that began after the one before it, in
    /// their order.
    fn counted(&self) -> Vec<RecordedCrash> {
        let mut crashes = self.crashes.clone();
        crashes.sort_by_key(|recorded| recorded.crash.at);
        let mut last = self.succeeded_at;
        crashes.retain(|recorded| {
            let crash = &recorded.crash;
            let is_counted = last.is_none_or(|last| crash.started_at >= last && crash.at > last);
            if is_counted {
                last = Some(crash.at);
            }
            is_counted
        });
        crashes
    }

    /// Removes a crash, if possible one that does not count. The number of those that count must not
    /// fall when a further one is reported.
    fn remove_least_evidence(&mut self) {
        let counted = self.counted();
        let is_counted = |recorded: &RecordedCrash| {
            let mut counted = counted.iter();
            counted.any(|other| other.crash.id == recorded.crash.id)
        };
        let by_evidence = self.crashes.iter().enumerate();
        let least = by_evidence
            .min_by_key(|(_, recorded)| (is_counted(recorded), recorded.crash.at))
            .map(|(index, _)| index);
        if let Some(index) = least {
            self.crashes.swap_remove(index);
        }
    }

    fn last_event(&self) -> Option<Instant> {
        let last_crash = self.crashes.iter().map(|recorded| recorded.crash.at).max();
        last_crash.max(self.succeeded_at)
    }

    /// When nothing about the fingerprint matters any more.
    fn forgotten_at(&self) -> Option<Instant> {
        Some(self.last_event()? + refusal_period(self.counted().len()) + RETENTION)
    }

    /// The order in which histories are kept and told.
    fn rank(&self) -> (usize, Option<Instant>) {
        (self.counted().len(), self.last_event())
    }
}

/// The time for which a request is refused after this many crashes; zero if they are too few.
fn refusal_period(crashes: usize) -> Duration {
    match crashes.checked_sub(CRASHES_TO_SUSPECT) {
        None => Duration::ZERO,
        Some(further) => {
            let period = FIRST_REFUSAL_PERIOD * 2u32.pow(further.min(MAX_CRASHES) as u32);
            period.min(MAX_REFUSAL_PERIOD)
        }
    }
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    MayRun,
    /// It is suspected; the reports of other gateways are awaited for this time.
    Wait(Duration),
    /// It is refused because of this many crashes.
    Refused(usize),
}

/// What a gateway knows of one fingerprint, as gateways tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The requests.
    pub fingerprint: Fingerprint,
    /// The crashes at which they were running.
    pub crashes: Vec<ReportedCrash>,
    /// Age of the last success; `None` if there was none since the first crash.
    pub success_age_ms: Option<u32>,
}

/// A crash at which a request was running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// The same in the reports of all gateways.
    pub id: CrashId,
    /// Address of the server that crashed.
    pub server_address: SocketAddr,
    /// Who sent the request.
    pub caller: CallerHash,
    /// Time from sending the request to the crash.
    pub run_ms: u32,
    /// Age of the crash.
    pub age_ms: u32,
}

fn whole_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// The requests that were running when servers crashed.
#[derive(Default)]
pub struct CrashReports {
    histories: RefCell<IndexMap<Fingerprint, CrashHistory>>,
    /// When a request last succeeded at this gateway.
    last_success: Cell<Option<Instant>>,
    /// When a report last changed that other gateways may not know.
    changed_at: Cell<Option<Instant>>,
    changed: Notify,
}

impl CrashReports {
    /// Records that a request was running at a server when it crashed.
    pub fn record_crash(&self, identity: &RequestIdentity, crash: Crash) {
        for fingerprint in identity.fingerprints() {
            let recorded = RecordedCrash {
                crash,
                caller: identity.caller,
            };
            self.add_crash(fingerprint, recorded);
        }
        self.changed_at.set(Some(crash.at));
        self.limit_histories();
        self.changed.notify();
    }

    /// Adds a crash unless it is known; returns whether it was added.
    fn add_crash(&self, fingerprint: Fingerprint, recorded: RecordedCrash) -> bool {
        let mut histories = self.histories.borrow_mut();
        let history = histories.entry(fingerprint).or_default();
        let mut known = history.crashes.iter();
        if known.any(|known| known.crash.id == recorded.crash.id) {
            return false;
        }
        history.crashes.push(recorded);
        if history.crashes.len() > MAX_CRASHES {
            history.remove_least_evidence();
        }
        true
    }

    /// Records that a server answered a request completely, which clears it.
    pub fn record_success(&self, identity: &RequestIdentity, now: Instant) {
        self.last_success.set(Some(now));
        let mut histories = self.histories.borrow_mut();
        for fingerprint in identity.fingerprints() {
            if let Some(history) = histories.get_mut(&fingerprint) {
                history.succeeded_at = Some(now);
                self.changed_at.set(Some(now));
            }
        }
    }

    /// Whether a request may be sent to a server now.
    pub fn verdict(&self, identity: &RequestIdentity, now: Instant) -> Verdict {
        let verdicts = identity
            .fingerprints()
            .map(|fingerprint| self.verdict_on(fingerprint, identity, now));
        match verdicts {
            [Verdict::MayRun, start] => start,
            [exact @ Verdict::Refused(_), _] => exact,
            [_, start @ Verdict::Refused(_)] => start,
            [exact, _] => exact,
        }
    }

    fn verdict_on(
        &self,
        fingerprint: Fingerprint,
        identity: &RequestIdentity,
        now: Instant,
    ) -> Verdict {
        let histories = self.histories.borrow();
        let Some(history) = histories.get(&fingerprint) else {
            return Verdict::MayRun;
        };
        let crashes = history.counted();
        let (Some(first), Some(last)) = (crashes.first(), crashes.last()) else {
            return Verdict::MayRun;
        };
        let is_one_server = crashes
            .iter()
            .all(|other| other.crash.server_address == first.crash.server_address);
        let needed = match is_one_server {
            true => CRASHES_AT_ONE_SERVER_TO_SUSPECT,
            false => CRASHES_TO_SUSPECT,
        };
        let is_one_other_caller = crashes
            .iter()
            .all(|other| other.caller == first.caller && other.caller != identity.caller);
        let age = now.saturating_duration_since(last.crash.at);
        if crashes.len() < needed
            || is_one_other_caller
            || age >= refusal_period(crashes.len())
            || self.nothing_succeeds(&histories, fingerprint, &crashes)
        {
            return Verdict::MayRun;
        }
        if age < REPORTING_PERIOD {
            return Verdict::Wait(REPORTING_PERIOD - age);
        }
        match blame(&histories, fingerprint.scope, &crashes) >= BLAME_TO_REFUSE {
            true => Verdict::Refused(crashes.len()),
            false => Verdict::MayRun,
        }
    }

    /// Whether other requests crash servers as well since the first of `crashes`, and none has
    /// succeeded at this gateway.
    fn nothing_succeeds(
        &self,
        histories: &IndexMap<Fingerprint, CrashHistory>,
        fingerprint: Fingerprint,
        crashes: &[RecordedCrash],
    ) -> bool {
        let Some(first) = crashes.first() else {
            return false;
        };
        let since = first.crash.at;
        if self.last_success.get().is_some_and(|at| at > since) {
            return false;
        }
        let others = histories
            .iter()
            .filter(|(other, _)| other.scope == fingerprint.scope && **other != fingerprint);
        let mut other_crashes = others.flat_map(|(_, history)| &history.crashes);
        other_crashes.any(|other| {
            let is_shared = crashes.iter().any(|own| own.crash.id == other.crash.id);
            other.crash.at >= since && !is_shared
        })
    }

    /// Notified when this gateway has seen a crash.
    pub fn changed(&self) -> &Notify {
        &self.changed
    }

    /// Whether there are reports that gateways of other failure domains may not have yet.
    pub fn has_fresh(&self, now: Instant) -> bool {
        let changed_at = self.changed_at.get();
        changed_at.is_some_and(|at| now.saturating_duration_since(at) < FRESH_PERIOD)
    }

    /// What other gateways are told: the fingerprints with the most crashes, the latest ones first.
    pub fn reports(&self, now: Instant) -> Vec<CrashReport> {
        let histories = self.histories.borrow();
        let mut told: Vec<_> = histories.iter().collect();
        if told.len() > MAX_SHARED_FINGERPRINTS {
            told.sort_by_cached_key(|(_, history)| Reverse(history.rank()));
            told.truncate(MAX_SHARED_FINGERPRINTS);
        }
        let age_ms = |at: Instant| whole_ms(now.saturating_duration_since(at));
        let reports = told.into_iter().map(|(fingerprint, history)| {
            let crashes = history.crashes.iter().map(|recorded| {
                let crash = &recorded.crash;
                ReportedCrash {
                    id: crash.id,
                    server_address: crash.server_address,
                    caller: recorded.caller,
                    run_ms: whole_ms(crash.at.saturating_duration_since(crash.started_at)),
                    age_ms: age_ms(crash.at),
                }
            });
            CrashReport {
                fingerprint: *fingerprint,
                crashes: crashes.collect(),
                success_age_ms: history.succeeded_at.map(age_ms),
            }
        });
        reports.collect()
    }

    /// Adopts the reports of another gateway.
    pub fn merge(&self, reports: &[CrashReport], now: Instant) {
        let before = |at: Instant, ms: u32| at.checked_sub(Duration::from_millis(u64::from(ms)));
        for report in reports {
            for reported in &report.crashes {
                let at = before(now, reported.age_ms);
                let started_at = at.and_then(|at| before(at, reported.run_ms));
                let (Some(at), Some(started_at)) = (at, started_at) else {
                    continue;
                };
                let crash = Crash {
                    id: reported.id,
                    server_address: reported.server_address,
                    started_at,
                    at,
                };
                let caller = reported.caller;
                if self.add_crash(report.fingerprint, RecordedCrash { crash, caller }) {
                    self.changed_at.set(Some(now));
                }
            }
            let succeeded_at = report.success_age_ms.and_then(|age| before(now, age));
            if let Some(history) = self.histories.borrow_mut().get_mut(&report.fingerprint) {
                history.succeeded_at = history.succeeded_at.max(succeeded_at);
            }
        }
        self.remove_expired(now);
        self.limit_histories();
    }

    /// Forgets the fingerprints whose crashes are long ago.
    pub fn remove_expired(&self, now: Instant) {
        let is_kept = |history: &CrashHistory| history.forgotten_at().is_some_and(|end| now < end);
        self.histories
            .borrow_mut()
            .retain(|_, history| is_kept(history));
    }

    fn limit_histories(&self) {
        let mut histories = self.histories.borrow_mut();
        if histories.len() <= MAX_FINGERPRINTS {
            return;
        }
        histories.sort_by_cached_key(|_, history| Reverse(history.rank()));
        // A part is freed at once, so that not every report sorts them.
        histories.truncate(MAX_FINGERPRINTS * 9 / 10);
    }

    /// The number of fingerprints that are remembered.
    pub fn len(&self) -> usize {
        self.histories.borrow().len()
    }

    /// Whether no fingerprint is remembered.
    pub fn is_empty(&self) -> bool {
        self.histories.borrow().is_empty()
    }
}

/// The part of `crashes` that a request with them is to blame for. The blame for a crash is shared
/// by the requests with the most crashes among those that were running, in fingerprints of one
/// scope.
fn blame(
    histories: &IndexMap<Fingerprint, CrashHistory>,
    scope: FingerprintScope,
    crashes: &[RecordedCrash],
) -> f64 {
    let same_scope = histories
        .iter()
        .filter(|(fingerprint, _)| fingerprint.scope == scope);
    let counts: Vec<(Vec<CrashId>, usize)> = same_scope
        .map(|(_, history)| {
            let ids = history.crashes.iter().map(|recorded| recorded.crash.id);
            (ids.collect(), history.counted().len())
        })
        .collect();
    let shares = crashes.iter().map(|recorded| {
        let running = counts
            .iter()
            .filter(|(ids, _)| ids.contains(&recorded.crash.id));
        let running: Vec<usize> = running.map(|(_, count)| *count).collect();
        let most = running.iter().copied().max().unwrap_or(0);
        let suspects = running.iter().filter(|count| **count == most).count();
        match crashes.len() >= most {
            true => 1.0 / suspects.max(1) as f64,
            false => 0.0,
        }
    });
    shares.sum()
}

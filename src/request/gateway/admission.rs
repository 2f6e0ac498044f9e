//! Admits the turns of programs at services that are overloaded.
//!
//! Only the first turn of a program may be refused. A program that has begun has spent the time of
//! servers, which a refusal would waste.

use std::time::{Duration, Instant};

use rand::Rng;
use sapphireford_platform::headers::CallHeaders;
use sapphireford_platform::operator::RouteRecord;

use super::caller::Caller;
use super::forward::RequestForwarder;
use super::qualified_ids::QualifiedIds;
use crate::error::{Error, ErrorKind, Result};
use crate::ids::TeamId;
use crate::process::gateway::running::Gateway;
use crate::process::gateway::server::Server;
use crate::process::metrics;
use crate::process::overload::admission::{Decision, RefusalReason, Turn};
use crate::process::overload::demand::Urgency;
use crate::process::slots::placement::hash_bytes;
use crate::version::route_table::{RouteTable, choose_target};

/// Shortest delay after which a caller should repeat a request that a server has refused; the
/// longest one is twice as long. A queue that is full has room after some turns.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Identifies a program in the memory of this gateway.
fn program_hash(ids: &QualifiedIds) -> Option<u64> {
    let program_id = ids.program_id.as_ref()?;
    Some(hash_bytes(program_id.as_bytes()))
}

/// Fails if the request is the first turn of a program and the service is too loaded for it.
/// `may_begin_program` is false for requests that certainly are not.
pub async fn admit(
    gateway: &Gateway,
    routes: &RouteTable,
    route: &RouteRecord,
    call: &CallHeaders,
    ids: &QualifiedIds,
    caller: &Caller,
    may_begin_program: bool,
) -> Result<()> {
    let target = choose_target(&route.targets, rand::rng().random::<f64>());
    let Some(service) = target.and_then(|target| routes.service(&target.service)) else {
        return Ok(());
    };
    if service.engine.is_none() {
        return Ok(());
    }
    let no_team = TeamId::from("");
    let urgency = Urgency {
        team_priority: caller.team.as_ref().map_or(0, |team| team.priority),
        route_priority: route.priority,
    };
    let prompt = &call.prompt;
    let turn = Turn {
        program: program_hash(ids),
        urgency,
        team: caller.team.as_ref().map_or(&no_team, |team| &team.id),
        tokens: prompt
            .prompt_tokens
            .saturating_add(prompt.max_output_tokens),
        time_left: call
            .program
            .as_ref()
            .and_then(|program| program.finish_within),
    };
    let (overload, servers) = (&gateway.overload, &gateway.servers);
    let has_begun = |program| overload.has_begun(&service.name, program);
    if !may_begin_program || turn.program.is_some_and(has_begun) {
        overload.record_later_turn(servers, &service.name, turn, Instant::now());
        return Ok(());
    }
    let decision = overload.decide(servers, &service.name, turn, Instant::now());
    let Decision::Refuse {
        reason,
        retry_after,
    } = decision
    else {
        return Ok(());
    };
    // Turns need not name the previous one. The account knows of those at other gateways.
    let has_budget = call
        .program
        .as_ref()
        .is_some_and(|program| program.budget_tokens.is_some());
    if let Some(program_id) = ids.program_id.as_deref().filter(|_| has_budget)
        && gateway.budgets.may_have_begun(program_id).await
    {
        overload.record_later_turn(servers, &service.name, turn, Instant::now());
        return Ok(());
    }
    let labels = [
        ("service", service.name.clone()),
        ("reason", reason.name().to_string()),
        ("team_priority", urgency.team_priority.to_string()),
        ("route_priority", urgency.route_priority.to_string()),
    ];
    ::metrics::counter!(metrics::OVERLOAD_REFUSALS, &labels).increment(1);
    let message = match reason {
        RefusalReason::Level => {
            "the backend servers have more work than they can complete in time, so this program \
             does not begin now; retry later"
        }
        RefusalReason::CannotEndInTime => {
            "the backend servers are overloaded, and the program cannot end in the time that it \
             has left"
        }
    };
    Err(Error::new(ErrorKind::ServersOverloaded, message).with_retry_after(retry_after))
}

impl RequestForwarder {
    /// Records the arrival of the first event of the request.
    pub(super) fn record_first_event(&self, server: &Server) {
        let now = Instant::now();
        let wait = now.saturating_duration_since(self.attempt_started_at);
        let overload = &self.gateway.overload;
        let program = program_hash(&self.ids);
        overload.record_first_event(&server.service(), server, program, wait, now);
    }

    /// The error if a server has refused the request and the service is too loaded for a retry;
    /// `None` if it may be sent to another server. A stream that has begun may always.
    pub(super) fn retry_refusal(&self, server: &Server) -> Option<Error> {
        let program = program_hash(&self.ids);
        let (overload, service) = (&self.gateway.overload, server.service());
        let has_begun = self.attempts.may_have_run
            || self.prefix_holder.is_some()
            || self.call.previous_turn_id.is_some()
            || self.call.last_event_id.is_some()
            || self.record.has_events()
            || program.is_some_and(|program| overload.has_begun(&service, program));
        if overload.may_retry(&service, has_begun) {
            return None;
        }
        let message = "a backend server refused the request, and the others have more work than \
                       they can complete in time; retry later";
        let error = Error::new(ErrorKind::ServersOverloaded, message);
        Some(error.with_retry_after(REFUSED_RETRY_DELAY.mul_f64(1.0 + rand::rng().random::<f64>())))
    }

    /// Records that a server has completed the stream.
    pub(super) fn record_turn_end(&self, server: &Server) {
        let now = Instant::now();
        let time = now.saturating_duration_since(self.attempt_started_at);
        let program = program_hash(&self.ids);
        let overload = &self.gateway.overload;
        overload.record_turn_end(&server.service(), server, program, time, now);
    }
}

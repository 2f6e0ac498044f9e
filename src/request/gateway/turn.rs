//! Prepares turns of agent programs for a backend server: reserves their tokens and loads the
//! conversation history.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use sapphireford_platform::headers::CallHeaders;
use sapphireford_platform::operator::RouteRecord;

use super::qualified_ids::QualifiedIds;
use crate::error::{Error, ErrorKind, Result};
use crate::ids::BackendServerId;
use crate::process::gateway::budget::{
    AdmittedTurn, Reservation, ReservationOutcome, TurnAdmission,
};
use crate::process::gateway::history::{Lookup, TurnChain};
use crate::process::gateway::ledger::{TurnBudget, TurnPart};
use crate::process::gateway::running::Gateway;
use crate::process::gateway::store::StoreError;
use crate::process::gateway::stream_origins::StreamOrigin;

/// A turn that is ready to be sent to a server.
pub struct PreparedTurn {
    /// The request body for the server: the history followed by the input.
    pub body: Bytes,
    /// The reserved tokens of the turn; `None` if the program has no budget.
    pub reservation: Option<Reservation>,
    /// The server that has the prefix of the prompt in its cache, if known.
    pub prefix_holder: Option<BackendServerId>,
    /// Where the streams of the program begin that have no row of their own; `None` if it is not
    /// known.
    pub stream_origin: Option<StreamOrigin>,
    /// What to save when the turn is complete; `None` if the route keeps no history or the request
    /// has no id.
    pub unsaved_turn: Option<UnsavedTurn>,
}

/// A turn in progress that is saved to the conversation history when it is complete.
pub struct UnsavedTurn {
    /// The id under which the turn is saved: the request id of the caller, qualified by its team.
    pub turn_id: String,
    /// The history that the turn continues.
    pub chain: Rc<TurnChain>,
    /// The input of the turn.
    pub input: Bytes,
}

fn store_unavailable_error(error: StoreError) -> Error {
    let message = "the store is unavailable, so the turn cannot start; retry later";
    Error::new(ErrorKind::PlatformUnavailable, message).with_cause(error)
}

/// What an account needs to know to reserve the tokens of a turn, beside its budget.
pub struct ReservationRequest {
    /// The place of the request in its turn, if the turn may be taken up again.
    pub part: Option<TurnPart>,
    /// Where the turn will begin if it can be resumed later, as far as that can be predicted.
    pub proposed_origin: Option<StreamOrigin>,
}

/// Reserves the tokens of a turn and loads its history. Without a `reservation_request`, another gateway
/// has reserved them.
///
/// The gateway that owns the account of the program often has the history in memory and returns it
/// with the reservation. Only if it does not is the history loaded here, from the cache of this
/// gateway or the store.
pub async fn prepare(
    gateway: &Gateway,
    route: &RouteRecord,
    headers: &CallHeaders,
    ids: &QualifiedIds,
    input: Bytes,
    reservation_request: Option<ReservationRequest>,
    deadline: Instant,
) -> Result<PreparedTurn> {
    let budget =
        reservation_request.and_then(|request| Some((request, turn_budget(headers, ids)?)));
    if route.has_stored_history && !gateway.store.is_available() {
        return Err(store_unavailable_error(StoreError::Outage));
    }
    let previous = ids.previous_turn_id.as_deref();
    let previous = previous.filter(|_| route.has_stored_history);
    let admission = budget.map(|(request, turn)| TurnAdmission {
        turn,
        part: request.part,
        are_ids_qualified: ids.are_qualified,
        previous_turn_id: previous,
        proposed_origin: request.proposed_origin,
        deadline,
    });
    let admitted = reserve_budget(gateway, admission).await?;
    let (reservation, owner_chain, prefix_holder, stream_origin) = match admitted {
        Some(admitted) => (
            Some(admitted.reservation),
            admitted.chain,
            admitted.prefix_holder,
            admitted.stream_origin,
        ),
        None => (None, None, None, None),
    };
    let chain = match owner_chain {
        Some(chain) => Some(Rc::new(chain)),
        None => load_history(gateway, route, headers, ids, deadline).await?,
    };
    let body = match &chain {
        Some(chain) if !chain.text.is_empty() => {
            Bytes::from([chain.text.as_slice(), &input].concat())
        }
        _ => input.clone(),
    };
    let unsaved_turn = match (chain, &ids.turn_id) {
        (Some(chain), Some(turn_id)) => Some(UnsavedTurn {
            turn_id: turn_id.clone(),
            chain,
            input,
        }),
        _ => None,
    };
    Ok(PreparedTurn {
        body,
        reservation,
        prefix_holder,
        stream_origin,
        unsaved_turn,
    })
}

fn turn_budget(headers: &CallHeaders, ids: &QualifiedIds) -> Option<TurnBudget> {
    Some(TurnBudget {
        program_id: ids.program_id.clone()?,
        max_tokens: headers.prompt.max_output_tokens,
        budget_tokens: headers.program.as_ref()?.budget_tokens?,
    })
}

async fn reserve_budget(
    gateway: &Gateway,
    admission: Option<TurnAdmission<'_>>,
) -> Result<Option<Box<AdmittedTurn>>> {
    let Some(admission) = admission else {
        return Ok(None);
    };
    let budget_tokens = admission.turn.budget_tokens;
    match gateway.budgets.reserve(admission).await {
        Ok(ReservationOutcome::Reserved(admitted)) => Ok(Some(admitted)),
        Ok(ReservationOutcome::Exceeded { spent_tokens }) => {
            let message =
                format!("the program has used {spent_tokens} of its {budget_tokens} tokens");
            Err(Error::new(ErrorKind::BudgetExceeded, message))
        }
        Err(error) => Err(store_unavailable_error(error)),
    }
}

async fn load_history(
    gateway: &Gateway,
    route: &RouteRecord,
    headers: &CallHeaders,
    ids: &QualifiedIds,
    deadline: Instant,
) -> Result<Option<Rc<TurnChain>>> {
    if !route.has_stored_history {
        return Ok(None);
    }
    let Some(previous) = &ids.previous_turn_id else {
        return Ok(Some(Rc::default()));
    };
    match gateway.history.load(previous, deadline).await {
        Ok(Lookup::Found(chain)) => Ok(Some(chain)),
        Ok(Lookup::NotFound) => {
            let previous = headers.previous_turn_id.as_deref().unwrap_or_default();
            let message = format!("the previous turn `{previous}` does not exist");
            Err(Error::new(ErrorKind::NotFound, message))
        }
        Err(error) => Err(store_unavailable_error(error)),
    }
}

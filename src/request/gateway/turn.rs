//! Turns of agent programs: their budget and their history, before they go to a server.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use sapphireford_platform::headers::CallHeaders;
use sapphireford_platform::operator::RouteRecord;

use crate::error::{Error, ErrorKind, Result};
use crate::ids::BackendServerId;
use crate::process::gateway::budget::{Admitted, Outcome, Reservation};
use crate::process::gateway::history::{Chain, Lookup};
use crate::process::gateway::ledger::TurnBudget;
use crate::process::gateway::running::Gateway;
use crate::process::gateway::store::StoreError;

/// A turn that may go to a server.
pub struct PreparedTurn {
    /// What the server receives: the history and then the input.
    pub body: Bytes,
    /// Holds the tokens of the turn; absent if the program has no budget.
    pub reservation: Option<Reservation>,
    /// The server that has the start of the prompt in its cache, if it is known.
    pub prefix_holder: Option<BackendServerId>,
    /// Set if the turn must be kept once it is complete.
    pub record: Option<TurnToKeep>,
}

/// A turn that becomes part of a conversation when it is complete.
pub struct TurnToKeep {
    /// Names the turn.
    pub turn_id: String,
    /// What comes before it.
    pub chain: Rc<Chain>,
    /// The input of the turn.
    pub input: Bytes,
}

fn store_failure(error: StoreError) -> Error {
    let message = "the store does not answer, so the turn cannot start; come back later";
    Error::new(ErrorKind::PlatformUnavailable, message).with_cause(error)
}

/// Reserves the tokens of a turn and reads its history. The gateway that looks after the program
/// often has the history in memory, so the store is read only if it does not.
pub async fn prepare(
    gateway: &Gateway,
    route: &RouteRecord,
    headers: &CallHeaders,
    input: Bytes,
    deadline: Instant,
) -> Result<PreparedTurn> {
    let budget = turn_budget(headers);
    if route.has_stored_history && !gateway.store.is_available() {
        return Err(store_failure(StoreError::Outage));
    }
    let previous = headers.previous_turn_id.as_deref();
    let previous = previous.filter(|_| route.has_stored_history);
    let admitted = reserve(gateway, budget, previous, deadline).await?;
    let (reservation, known_chain, prefix_holder) = match admitted {
        Some(admitted) => (
            Some(admitted.reservation),
            admitted.chain,
            admitted.prefix_holder,
        ),
        None => (None, None, None),
    };
    let chain = match known_chain {
        Some(chain) => Some(Rc::new(chain)),
        None => load(gateway, route, headers, deadline).await?,
    };
    let body = match &chain {
        Some(chain) if !chain.text.is_empty() => {
            Bytes::from([chain.text.as_slice(), &input].concat())
        }
        _ => input.clone(),
    };
    let record = match (chain, &headers.request_id) {
        (Some(chain), Some(turn_id)) => Some(TurnToKeep {
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
        record,
    })
}

fn turn_budget(headers: &CallHeaders) -> Option<TurnBudget> {
    let program = headers.program.as_ref()?;
    Some(TurnBudget {
        program_id: program.program_id.clone(),
        max_tokens: headers.prompt.max_output_tokens,
        budget_tokens: program.budget_tokens?,
    })
}

async fn reserve(
    gateway: &Gateway,
    budget: Option<TurnBudget>,
    previous_turn_id: Option<&str>,
    deadline: Instant,
) -> Result<Option<Box<Admitted>>> {
    let Some(budget) = budget else {
        return Ok(None);
    };
    let budget_tokens = budget.budget_tokens;
    let budgets = &gateway.budgets;
    match budgets.reserve(budget, previous_turn_id, deadline).await {
        Ok(Outcome::Reserved(admitted)) => Ok(Some(admitted)),
        Ok(Outcome::Exceeded { spent_tokens }) => {
            let message =
                format!("the program has used {spent_tokens} of its {budget_tokens} tokens");
            Err(Error::new(ErrorKind::BudgetExceeded, message))
        }
        Err(error) => Err(store_failure(error)),
    }
}

async fn load(
    gateway: &Gateway,
    route: &RouteRecord,
    headers: &CallHeaders,
    deadline: Instant,
) -> Result<Option<Rc<Chain>>> {
    if !route.has_stored_history {
        return Ok(None);
    }
    let Some(previous) = &headers.previous_turn_id else {
        return Ok(Some(Rc::default()));
    };
    match gateway.history.load(previous, deadline).await {
        Ok(Lookup::Found(chain)) => Ok(Some(chain)),
        Ok(Lookup::NotFound) => {
            let message = format!("there is no turn `{previous}` to continue from");
            Err(Error::new(ErrorKind::NotFound, message))
        }
        Err(error) => Err(store_failure(error)),
    }
}

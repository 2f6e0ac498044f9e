//! The audit trail of paid actions and of operator actions, written to the structured log.
//!
//! Configuration changes are audited in rows of the platform's table instead, see
//! [`crate::version::store`].

use crate::ids::{ConversationKey, Micros, RunId};
use crate::process::conversation::Action;

/// Log target that distinguishes audit records from other records.
const AUDIT_TARGET: &str = "audit";

/// Logs an action that ran. Call it only after the result of the action is durable.
pub fn paid_action(key: &ConversationKey, run_id: RunId, action: &Action, charge_micros: Micros) {
    log::info!(
        target: AUDIT_TARGET,
        team = &*key.team_id,
        conversation = &*key.conversation_id,
        run_id,
        tool = &*action.tool_id,
        action_id = &*action.action_id,
        charge_micros;
        "action ran"
    );
}

/// Logs an action of an operator on this entry; `subject` is the id of the entry or of the
/// conversation that it affects.
pub fn operator_action(operator: &str, action: &str, subject: &str) {
    log::info!(target: AUDIT_TARGET, operator, action, subject; "operator action");
}

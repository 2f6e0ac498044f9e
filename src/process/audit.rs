//! The audit trail of paid actions, in the structured log.
//!
//! Changes of the configuration have their audit rows in the platform's table, see
//! [`crate::version::store`].

use crate::ids::{ConversationKey, Micros, RunId};
use crate::process::conversation::Action;

/// Target of the log records that make up the audit trail.
const AUDIT_TARGET: &str = "audit";

/// Records an action that ran, after it became durable.
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

/// Records what an operator did to this entry.
pub fn operator_action(operator: &str, action: &str, subject: &str) {
    log::info!(target: AUDIT_TARGET, operator, action, subject; "operator action");
}

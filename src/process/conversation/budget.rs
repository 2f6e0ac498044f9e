//! Reservations and their settlement, along the line from a run to its root.
//!
//! A reservation is made in two steps: pending while its event travels to the journal, then part of
//! the durable state. Both count against the budget of the run and of every run above it, so that
//! sub-agents working in parallel cannot overdraw their parent together.

use crate::error::{Error, ErrorKind};
use crate::ids::{Micros, RunId};
use crate::process::conversation::{Conversation, Result};

impl Conversation {
    /// What a run may still reserve.
    ///
    /// `program_budget_micros` is the budget that the configuration in force gives to the root's
    /// program; a budget that was lowered holds for the next call.
    pub fn available_micros(&self, run_id: RunId, program_budget_micros: Micros) -> Micros {
        let mut available = Micros::MAX;
        let mut next = Some(run_id);
        while let Some(run) = next.and_then(|id| self.runs.get(&id)) {
            let budget = match run.parent_run_id {
                Some(_) => run.budget_micros,
                None => run.budget_micros.min(program_budget_micros),
            };
            let used = run.spent_micros + run.reserved_micros + run.pending_micros;
            available = available.min(budget.saturating_sub(used));
            next = run.parent_run_id;
        }
        available
    }

    /// Reserves an amount for an event that is about to be appended to the journal.
    pub fn reserve_pending(
        &mut self,
        run_id: RunId,
        amount_micros: Micros,
        program_budget_micros: Micros,
    ) -> Result<()> {
        let available = self.available_micros(run_id, program_budget_micros);
        if amount_micros > available {
            let message = format!(
                "the call can cost {amount_micros} micros, but the run has {available} micros left; \
                 ask for fewer output tokens, or end the run"
            );
            return Err(Error::new(ErrorKind::BudgetExceeded, message));
        }
        self.update_run_and_ancestors(run_id, |run| run.pending_micros += amount_micros);
        Ok(())
    }

    /// Takes a pending reservation back: its event became durable, or never will.
    pub fn release_pending(&mut self, run_id: RunId, amount_micros: Micros) {
        self.update_run_and_ancestors(run_id, |run| {
            run.pending_micros = run.pending_micros.saturating_sub(amount_micros);
        });
    }

    pub(super) fn reserve(&mut self, run_id: RunId, amount_micros: Micros) {
        self.update_run_and_ancestors(run_id, |run| run.reserved_micros += amount_micros);
    }

    pub(super) fn settle(&mut self, run_id: RunId, reserved_micros: Micros, cost_micros: Micros) {
        self.update_run_and_ancestors(run_id, |run| {
            run.reserved_micros = run.reserved_micros.saturating_sub(reserved_micros);
            run.spent_micros += cost_micros;
        });
    }

    fn update_run_and_ancestors(
        &mut self,
        run_id: RunId,
        mut change: impl FnMut(&mut crate::process::conversation::Run),
    ) {
        let mut next = Some(run_id);
        while let Some(run) = next.and_then(|id| self.runs.get_mut(&id)) {
            change(run);
            next = run.parent_run_id;
        }
    }
}

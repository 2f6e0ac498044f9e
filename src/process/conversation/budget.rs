//! Reservation and settlement of cost, for a run and all its ancestors.
//!
//! A reservation is pending until its event is committed, and then part of the durable state. Both
//! count against the budgets of the run and of all its ancestors, so that concurrent sub-agents
//! cannot together exceed the budget of their parent.

use crate::error::{Error, ErrorKind};
use crate::ids::{Micros, RunId};
use crate::process::conversation::{Conversation, Result};

impl Conversation {
    /// The amount that a run can still reserve.
    ///
    /// `program_budget_micros` is the budget of the root run's program in the configuration in
    /// force; a lowered budget applies from the next call on.
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

    /// Reserves an amount for an event that is about to be appended to the journal. Fails if a
    /// budget of the run or of an ancestor does not cover it.
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

    /// Releases a pending reservation, because its event became durable or never will.
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

//! Checks the invariants that are visible to callers: no program exceeds its budget, and no tool
//! action is executed more than once.

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use crate::load::route::Spending;
use crate::load::stats::ServerStats;

/// Limit on the violations of one invariant that are described; further ones are only counted.
const MAX_EXAMPLES: usize = 20;

/// Violations of one invariant.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Violations {
    /// Number of violations, including those without an example.
    pub count: u64,
    /// Descriptions of the first violations.
    pub examples: Vec<String>,
}

impl Violations {
    fn add(&mut self, text: String) {
        self.count += 1;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(text);
        }
    }
}

/// Collects the data for the checks while programs run.
#[derive(Default)]
pub struct Checks {
    over_budget: Violations,
    tool_requests: u64,
    action_ids: IndexSet<String>,
}

/// The outcome of the checks.
#[derive(Clone, Debug, Serialize)]
pub struct CheckReport {
    /// Whether no invariant was violated and all given tools were read; does not depend on
    /// `answered_without_execution`.
    pub passed: bool,
    /// Programs that spent more than their budget.
    pub over_budget: Violations,
    /// Actions that a tool executed more than once.
    pub executed_twice: Violations,
    /// Executions in excess of the number of tool requests. Executions for other users of a tool
    /// are counted as well, so the given tools must have no other users.
    pub executions_beyond_requests: u64,
    /// Actions that were answered but that no tool reported as executed; 0 if no tool was read.
    pub answered_without_execution: u64,
    /// Number of tool requests sent, each with its own request id.
    pub tool_requests: u64,
    /// Tools whose executions were read; if there are none, executions are not checked.
    pub tools_read: usize,
    /// Given tools whose executions could not be read. If there are any, the checks fail, because
    /// the executions are unknown.
    pub tools_unread: usize,
}

impl Checks {
    /// Records a violation if a program has spent more than its budget.
    pub fn check_spending(&mut self, conversation: &str, spending: Option<Spending>) {
        if let Some(spending) = spending
            && spending.spent_micros > spending.budget_micros
        {
            let text = format!(
                "{conversation}: spent {} of {} micros",
                spending.spent_micros, spending.budget_micros
            );
            self.over_budget.add(text);
        }
    }

    /// Counts a tool request that is about to be sent.
    pub fn count_tool_request(&mut self) {
        self.tool_requests += 1;
    }

    /// Records the action of an answered tool request.
    pub fn record_action(&mut self, action_id: String) {
        self.action_ids.insert(action_id);
    }

    /// Evaluates the checks against the executions that the tools reported for the run.
    pub fn finish(&self, tools: &[ServerStats]) -> CheckReport {
        let mut executions: IndexMap<&str, u64> = IndexMap::new();
        let mut tools_read = 0;
        for tool in tools {
            let Some(by_key) = tool.executions_during_run() else {
                continue;
            };
            tools_read += 1;
            for (key, count) in by_key {
                *executions.entry(key).or_default() += count;
            }
        }
        let mut executed_twice = Violations::default();
        for (key, count) in executions.iter().filter(|(_, count)| **count > 1) {
            executed_twice.add(format!("{key}: executed {count} times"));
        }
        let total_executions: u64 = executions.values().sum();
        let was_not_executed = |id: &&String| !executions.contains_key(id.as_str());
        let (beyond_requests, without_execution) = if tools_read > 0 {
            let without_execution = self.action_ids.iter().filter(was_not_executed).count() as u64;
            (
                total_executions.saturating_sub(self.tool_requests),
                without_execution,
            )
        } else {
            (0, 0)
        };
        let tools_unread = tools.len() - tools_read;
        CheckReport {
            passed: self.over_budget.count == 0
                && executed_twice.count == 0
                && beyond_requests == 0
                && tools_unread == 0,
            over_budget: self.over_budget.clone(),
            executed_twice,
            executions_beyond_requests: beyond_requests,
            answered_without_execution: without_execution,
            tool_requests: self.tool_requests,
            tools_read,
            tools_unread,
        }
    }
}

//! Checks of the invariants that a caller can see: budgets, and actions that run at most once.

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use crate::load::route::Spending;
use crate::load::stats::ServerStats;

/// Violations of one kind that are kept in full; further ones are only counted.
const KEPT_VIOLATIONS: usize = 20;

/// Violations of one invariant.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Violations {
    /// How many were seen.
    pub count: u64,
    /// The first ones.
    pub examples: Vec<String>,
}

impl Violations {
    fn add(&mut self, text: String) {
        self.count += 1;
        if self.examples.len() < KEPT_VIOLATIONS {
            self.examples.push(text);
        }
    }
}

/// Collects what the checks need while programs run.
#[derive(Default)]
pub struct Checks {
    over_budget: Violations,
    tool_requests: u64,
    action_ids: IndexSet<String>,
}

/// The outcome of the checks.
#[derive(Clone, Debug, Serialize)]
pub struct CheckReport {
    /// Whether no violation was seen.
    pub passed: bool,
    /// Programs that spent more than their budget.
    pub over_budget: Violations,
    /// Actions that a tool executed more than once.
    pub executed_twice: Violations,
    /// Executions beyond the number of tool requests. Other users of a tool count as well, so the
    /// tools that are given must have none.
    pub executions_beyond_requests: u64,
    /// Actions that were answered but that no tool reports.
    pub answered_without_execution: u64,
    /// Tool requests that were sent, each with its own request id.
    pub tool_requests: u64,
    /// Tools whose executions were read; without any, executions are not checked.
    pub tools_read: usize,
    /// Tools that were given but whose executions could not be read; the checks fail then, because
    /// nothing is known about their executions.
    pub tools_unread: usize,
}

impl Checks {
    /// Checks a program's spending.
    pub fn spending(&mut self, conversation: &str, spending: Option<Spending>) {
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

    /// Notes that a tool request is sent.
    pub fn tool_request(&mut self) {
        self.tool_requests += 1;
    }

    /// Notes the action of an answered tool request.
    pub fn action(&mut self, action_id: String) {
        self.action_ids.insert(action_id);
    }

    /// Compares with what the tools executed during the run.
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
        let total: u64 = executions.values().sum();
        let missing = |id: &&String| !executions.contains_key(id.as_str());
        let (beyond, without) = if tools_read > 0 {
            let without = self.action_ids.iter().filter(missing).count() as u64;
            (total.saturating_sub(self.tool_requests), without)
        } else {
            (0, 0)
        };
        let tools_unread = tools.len() - tools_read;
        CheckReport {
            passed: self.over_budget.count == 0
                && executed_twice.count == 0
                && beyond == 0
                && tools_unread == 0,
            over_budget: self.over_budget.clone(),
            executed_twice,
            executions_beyond_requests: beyond,
            answered_without_execution: without,
            tool_requests: self.tool_requests,
            tools_read,
            tools_unread,
        }
    }
}

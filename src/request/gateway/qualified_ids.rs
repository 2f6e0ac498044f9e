//! The ids of programs and turns as the gateway stores them and tells them to peers.
//!
//! Callers choose these ids, so two teams may choose the same one. [`IdScope`] qualifies them by the
//! team; it is the only place that does. Backend servers, callers and log lines of requests get the
//! ids as the caller sent them, from [`CallHeaders`].

use sapphireford_platform::headers::CallHeaders;

use crate::version::key_digest::{digest, encode_hex};

/// Longest name of a team that is part of an id; a longer one is replaced by its digest.
const MAX_NAME_BYTES: usize = 64;

/// The ids of one team, kept apart from those of other teams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IdScope {
    /// `LENGTH:TEAM:`; `None` if the configuration has no teams, so that ids stay as they are.
    prefix: Option<String>,
}

impl IdScope {
    /// The ids of all callers, if the configuration has no teams.
    pub fn without_teams() -> Self {
        Self::default()
    }

    /// The ids of a team; `None` are those of callers without a team, on public routes.
    ///
    /// The length is that of the whole name, so that a digest is not taken for a name.
    pub fn of_team(team: Option<&str>) -> Self {
        let name = team.unwrap_or_default();
        let length = name.len();
        let prefix = match length > MAX_NAME_BYTES {
            true => format!("{length}:{}:", encode_hex(&digest(name))),
            false => format!("{length}:{name}:"),
        };
        Self {
            prefix: Some(prefix),
        }
    }

    /// Qualifies the id of a program or turn.
    pub fn qualify(&self, id: &str) -> String {
        match &self.prefix {
            Some(prefix) => format!("{prefix}{id}"),
            None => id.to_string(),
        }
    }

    /// What stands before each id; empty if the configuration has no teams.
    pub fn prefix(&self) -> &str {
        self.prefix.as_deref().unwrap_or_default()
    }

    /// Whether ids are qualified by a team.
    pub fn has_teams(&self) -> bool {
        self.prefix.is_some()
    }
}

/// The ids of one request, qualified by the team of its caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QualifiedIds {
    /// Whether the ids are qualified by a team.
    pub are_qualified: bool,
    /// The program of the request.
    pub program_id: Option<String>,
    /// This attempt of the caller, which is also the turn that it makes.
    pub turn_id: Option<String>,
    /// The turn that it continues.
    pub previous_turn_id: Option<String>,
    /// The attempt that began the stream that it resumes.
    pub resumed_turn_id: Option<String>,
}

impl QualifiedIds {
    /// Qualifies the ids in the headers of a request.
    pub fn new(scope: &IdScope, call: &CallHeaders) -> Self {
        let qualify = |id: &Option<String>| id.as_deref().map(|id| scope.qualify(id));
        let program = call.program.as_ref();
        Self {
            are_qualified: scope.has_teams(),
            program_id: program.map(|program| scope.qualify(&program.program_id)),
            turn_id: qualify(&call.request_id),
            previous_turn_id: qualify(&call.previous_turn_id),
            resumed_turn_id: qualify(&call.resumed_request_id),
        }
    }

    /// The program, if it has an account: a token budget.
    pub fn account_program(&self, call: &CallHeaders) -> Option<&str> {
        call.program.as_ref()?.budget_tokens?;
        self.program_id.as_deref()
    }
}

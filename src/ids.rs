//! Types of the ids and numbers that several modules share.

use std::fmt;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// Identifies a team of the configuration; a team owns conversations.
pub type TeamId = Rc<str>;
/// Identifies a conversation within its team; chosen by the caller.
pub type ConversationId = Rc<str>;
/// Identifies a program of the configuration.
pub type ProgramId = Rc<str>;
/// Number of a run within its conversation, from 1.
pub type RunId = u64;
/// Identifies a request within a conversation; chosen by the caller, who repeats a request with the
/// same id.
pub type RequestId = Rc<str>;
/// Identifies a tool of the configuration.
pub type ToolId = Rc<str>;
/// Identifies a backend server of the configuration.
pub type BackendServerId = Rc<str>;
/// Identifies a model of the configuration.
pub type ModelId = Rc<str>;
/// Identifies a failure domain.
pub type FailureDomainId = Rc<str>;
/// Identifies an entry; stays the same across restarts on one VM address.
pub type EntryId = Rc<str>;
/// Number of a registration of one entry; a later registration has a higher number.
pub type Incarnation = u64;
/// Number of a slot, from 0; less than the slot count.
pub type SlotId = u32;
/// Fencing token of orders for an engine. It increases with each change of the lease holder of the
/// order row, and an engine that checks it refuses a number lower than the highest it has seen.
pub type FencingNumber = u64;
/// Number of a configuration version, from 1; 0 where none is in force.
pub type VersionNumber = u64;
/// An amount of money in millionths of the currency unit.
pub type Micros = u64;

/// Identifies a conversation among those of all teams.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConversationKey {
    /// The owning team; only its callers may read or continue the conversation.
    pub team_id: TeamId,
    /// Unique within the team only.
    pub conversation_id: ConversationId,
}

impl fmt::Display for ConversationKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.team_id, self.conversation_id)
    }
}

//! Type aliases for the ids that several modules share.

use std::fmt;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// Names a team, the owner of conversations.
pub type TeamId = Rc<str>;
/// Names a conversation within its team.
pub type ConversationId = Rc<str>;
/// Names a program definition of the configuration.
pub type ProgramId = Rc<str>;
/// Numbers a run of a program within its conversation, from 1.
pub type RunId = u64;
/// Chosen by the caller; names one request within a conversation.
pub type RequestId = Rc<str>;
/// Names a tool of the configuration.
pub type ToolId = Rc<str>;
/// Names a backend server of the configuration.
pub type BackendServerId = Rc<str>;
/// Names a model of the configuration.
pub type ModelId = Rc<str>;
/// Names a failure domain.
pub type FailureDomainId = Rc<str>;
/// Names an entry; stays the same over restarts of one VM address.
pub type EntryId = Rc<str>;
/// Numbers the starts of one entry; a later start has a higher number.
pub type Incarnation = u64;
/// Numbers a slot, from 0 to the slot count.
pub type SlotId = u32;
/// Grows with each change of the holder of a right; a receiver refuses a lower one.
pub type FencingNumber = u64;
/// Numbers the accepted configurations, from 1.
pub type VersionNumber = u64;
/// An amount of money in millionths of the currency unit.
pub type Micros = u64;

/// Names a conversation among all teams.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConversationKey {
    /// The owner; only its callers may read or continue the conversation.
    pub team_id: TeamId,
    /// Unique within the team only.
    pub conversation_id: ConversationId,
}

impl fmt::Display for ConversationKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.team_id, self.conversation_id)
    }
}

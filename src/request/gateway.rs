//! Handling of caller requests in the gateway process, which speaks the protocol of the users'
//! platform.
//!
//! [`dispatch`] looks up the route of a request, and [`caller`] the team of its key, by which
//! [`qualified_ids`] keeps the ids of teams apart. [`admission`] refuses first turns of programs
//! while a service is overloaded. For streams, [`turn`] reserves the tokens of the turn and prepends
//! the conversation history to its input. [`forward`] sends the request to a backend server of its
//! [`selection`], if possible one that knows its [`topic`], by [`origin`] only to one whose events
//! fit together with those that the caller has. After a failed attempt, it asks [`retry`] what to do,
//! and [`crash`] finds out whether the server has crashed. [`stream`] forwards the events of a stream
//! to the caller and resumes a broken stream at another server. [`relay`] sends a request through a
//! peer while this gateway reaches no server. [`refusal`] builds the response to a request that fails
//! in the gateway. [`record`] collects the log line and the metrics of each request.

pub mod admission;
pub mod caller;
pub mod crash;
pub mod dispatch;
pub mod forward;
pub mod origin;
pub mod qualified_ids;
pub mod record;
pub mod refusal;
pub mod relay;
pub mod retry;
pub mod selection;
pub mod stream;
pub mod topic;
pub mod turn;

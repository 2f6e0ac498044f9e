//! State and logic that live as long as one request.
//!
//! [`dispatch`] receives and authenticates a request, and [`forward`] sends it to the entry that
//! holds its conversation. There it is served as a turn ([`turn`]), a tool call ([`tool_call`]), a
//! start or end of a run ([`run`]) or a read ([`read`]). Services are called from the entry that
//! received the request ([`service_call`]).

pub mod api;
pub mod call;
pub mod conversation_request;
pub mod dispatch;
pub mod forward;
pub mod gateway;
pub mod operator;
pub mod read;
pub mod run;
pub mod service_call;
pub mod tool_call;
pub mod turn;

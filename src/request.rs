//! What lives for one request.
//!
//! A request enters through [`dispatch`]: it is authenticated, and passed to the entry that holds its
//! conversation ([`forward`]). There it becomes a turn ([`turn`]), a tool call ([`tool_call`]), a new
//! run ([`run`]) or a read ([`read`]). Plain services are called from the entry that the caller
//! chose ([`service_call`]).

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

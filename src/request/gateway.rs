//! Requests of callers that speak the protocol of the users' platform.
//!
//! [`dispatch`] finds the route of a request. [`turn`] prepares turns of agent programs: it reserves
//! their tokens and puts the history before their input. [`forward`] sends the request to a backend
//! server and decides with [`retry`] what follows a failure. [`stream`] passes the events of a stream
//! on. [`refusal`] makes the answers of requests that the system gives up on.

pub mod dispatch;
pub mod forward;
pub mod record;
pub mod refusal;
pub mod retry;
pub mod stream;
pub mod turn;

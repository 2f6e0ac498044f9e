//! What lives for one connection: to a caller, a peer, a backend server or the platform.

pub mod body;
pub mod engine;
pub mod http_client;
pub mod http_server;
pub mod peer;
pub mod platform;
pub mod sse;
pub mod tool;

//! Network clients and servers: callers (HTTP), peers (QUIC), model engines, tools and the platform.

pub mod body;
pub mod body_buffer;
pub mod engine;
pub mod fair_io;
pub mod http_client;
pub mod http_server;
pub mod listener;
pub mod peer;
pub mod platform;
pub mod sse;
pub mod tool;

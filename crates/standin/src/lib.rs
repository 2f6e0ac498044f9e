//! Test doubles for the outside systems that an entry talks to.
//!
//! Each binary serves one protocol of `docs/design.md` over HTTP/1.1 and keeps everything in memory:
//!
//! - [`platform`]: the store of the users' platform, VM list and weight store (section 5.4),
//! - [`engine`]: a model engine with continuous batching and a prefix cache (section 5.2),
//! - [`tool`] and [`service`]: a tool service and a plain service (section 5.3),
//!
//! - [`backend_server`]: a backend server of the users' platform.
//!
//! All of them take failure injection by `POST /control` and report counters by `GET /stats`. Tests
//! start them with [`harness`]. They are for tests and the local site only.

pub mod arguments;
pub mod backend_server;
pub mod engine;
pub mod fault;
pub mod harness;
pub mod platform;
pub mod response;
pub mod server;
pub mod service;
pub mod tool;

//! Stand-ins: test servers that simulate the external systems an entry or a gateway calls.
//!
//! Each binary serves one protocol of `docs/design.md` over HTTP/1.1 and holds all state in memory:
//!
//! - [`platform`]: the platform's row and object store, VM list and weight store (section 5.4),
//! - [`engine`]: a model engine with continuous batching and a prefix cache (section 5.2),
//! - [`tool`] and [`service`]: a tool service and a plain service (section 5.3),
//! - [`backend_server`]: a backend server that a gateway routes to.
//!
//! `POST /control` injects failures and `GET /stats` returns counters. Tests start the binaries
//! with [`harness`]. They are meant for tests and the local site only.

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

//! A scheduler for agent programs.
//!
//! An entry is a server process between callers and backend servers. It holds the state of agent
//! programs, calls model engines and tools on their behalf, and is responsible for their cost,
//! their completion and their side effects. The modules are divided by the lifetime of the state
//! that they hold:
//!
//! - [`request`]: a request of a caller,
//! - [`connection`]: a connection to a caller, a peer, a backend server or the platform,
//! - [`version`]: a version of the configuration,
//! - [`process`]: an entry process, from its start to its end,
//! - [`admin`]: an invocation of the operators' command.
//!
//! [`caller`] is a client library for callers, and [`load`] a load generator. `docs/design.md`
//! explains how the modules work together.

pub mod admin;
pub mod caller;
pub mod connection;
pub mod error;
pub mod ids;
pub mod load;
pub mod process;
pub mod request;
pub mod version;

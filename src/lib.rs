//! A scheduler for agent programs.
//!
//! An entry stands between callers and backend servers. It keeps the state of agent programs, calls
//! model engines and tools on their behalf, and answers for their cost, their finish and their side
//! effects. The modules are laid out by the life span of what they hold:
//!
//! - [`request`]: one request of a caller,
//! - [`connection`]: one connection to a caller, a peer, a backend server or the platform,
//! - [`version`]: one version of the configuration,
//! - [`process`]: the whole life of an entry process,
//! - [`admin`]: one call of the operators' command.
//!
//! `docs/design.md` explains how the parts work together.

pub mod admin;
pub mod caller;
pub mod connection;
pub mod error;
pub mod ids;
pub mod load;
pub mod process;
pub mod request;
pub mod version;

//! Decides which requests are refused while the servers of an engine service have more work than
//! they can complete in time.
//!
//! Engines process requests in order of arrival, so under overload every turn is late and programs
//! fail halfway. A first turn that is refused at once costs little, so the gateway admits fewer of
//! them and serves every program that has begun.
//!
//! - [`service_load`] combines the loads of the servers of a service.
//! - [`level`] computes the share of the first turns that is admitted.
//! - [`demand`] distributes this share over priorities and teams.
//! - [`waits`] learns the time to the first event.
//! - [`program_times`] learns the time that programs need.
//! - [`recent`] remembers programs in bounded memory.
//! - [`admission`] decides on the requests of one service.
//! - [`exchange`] averages the demand over the gateways.
//! - [`control`] holds the decisions of all services of a gateway.
//!
//! Only [`control`] reads the registry of servers, and only [`exchange`] performs I/O.

pub mod admission;
pub mod control;
pub mod demand;
pub mod exchange;
pub mod level;
pub mod program_times;
pub mod recent;
pub mod service_load;
pub mod waits;

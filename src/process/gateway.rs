//! The parts of a gateway process.
//!
//! A gateway serves callers that speak the protocol of the users' platform. Its VM has no disk, so
//! what must last lies in the platform's store, and any gateway can serve any request:
//!
//! - [`store`] reaches the store directly, or through a peer while the store refuses this VM.
//! - [`writer`] commits rows in groups; [`watch`] follows the changes of a table.
//! - [`budget`] admits turns with the [`ledger`] of the gateway that looks after their program, and
//!   [`history`] keeps the turns of conversations.
//! - [`servers`] knows the backend servers and their load, [`placement`] chooses one of them.
//! - [`directory`] knows the other gateways and answers the look-ups of callers.

pub mod account;
pub mod budget;
pub mod directory;
pub mod history;
pub mod ledger;
pub mod peers;
pub mod placement;
pub mod running;
pub mod servers;
pub mod settings;
pub mod store;
pub mod store_path;
pub mod watch;
pub mod writer;

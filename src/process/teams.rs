//! Teams of callers: whether the keys of the active configuration may still be used, and the limits
//! of teams over all gateways.
//!
//! - [`config_age`] keeps the time at which the active configuration is known to have been the
//!   newest one, so that a withdrawn key does not stay in use at a gateway that is cut off.
//! - [`config_reads`] reads the configuration so that this time stays recent.
//! - [`limits`] admits requests within the limits of their teams. The decisions are in
//!   [`limit_bucket`], with [`token_bucket`] and [`limit_window`], and [`limit_owner`] for the
//!   gateway that counts the requests of a team, in [`limit_holdings`] for the others, and in
//!   [`limit_leases`] for the choice of the former, which [`limit_ownership`] carries out;
//!   [`limit_owners`] and [`limit_messages`] have the calls between them. [`limit_report`] has the
//!   errors, log lines and counters of refusals.

pub mod config_age;
pub mod config_reads;
pub mod limit_bucket;
pub mod limit_holdings;
pub mod limit_leases;
pub mod limit_messages;
pub mod limit_owner;
pub mod limit_owners;
pub mod limit_ownership;
pub mod limit_report;
pub mod limit_window;
pub mod limits;
mod token_bucket;

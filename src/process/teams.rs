//! Teams of callers: whether the keys of the active configuration may still be used, and the limits
//! of teams over all gateways.
//!
//! - [`config_age`] keeps the time at which the active configuration is known to have been the
//!   newest one, so that a withdrawn key does not stay in use at a gateway that is cut off.
//! - [`config_reads`] reads the configuration so that this time stays recent.
//! - [`limits`] admits requests within the limits of their teams.

pub mod config_age;
pub mod config_reads;
pub mod limits;

//! The load and experiment tool.
//!
//! A workload is planned in full from its seed before anything is sent, so that two runs with the
//! same workload send the same requests at the same times. Programs arrive in an open loop: a slow
//! site does not slow the arrivals down, and the latency of a program counts from its planned
//! arrival. A bound on the programs in flight protects the machine; arrivals beyond it are counted
//! and not sent.
//!
//! With a second route, directly to an engine, each planned program runs once over each route. The
//! difference between the two is what an entry adds.

pub mod checks;
pub mod experiment;
pub mod measures;
pub mod report;
pub mod route;
pub mod runner;
pub mod stats;
pub mod workload;

//! Load generator and experiment runner.
//!
//! The [`workload`] module generates the complete plan of a workload from its seed before any
//! request is sent, so that two runs of the same workload send the same requests at the same times.
//! The [`runner`] module sends the planned programs over a [`route`]. Programs arrive in an open
//! loop: a slow site does not delay the arrivals, and the latency of a program is measured from its
//! planned arrival. A limit on the programs in flight protects the machine; arrivals beyond it are
//! counted and not sent.
//!
//! With the second route, directly to an engine, each planned program runs once over each route.
//! The difference in latency is the overhead of the entries.

pub mod checks;
pub mod experiment;
pub mod measures;
pub mod report;
pub mod route;
pub mod runner;
pub mod stats;
pub mod workload;

//! What lives as long as the process.

pub mod logging;
pub mod membership;
pub mod metrics;
pub mod rows;
pub mod settings;
pub mod slots;
pub mod timer;

//! What lives as long as the process.

pub mod breaker;
pub mod retry_budget;
pub mod routing;
pub mod rows;
pub mod settings;
pub mod timer;

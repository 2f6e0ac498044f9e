//! What lives as long as the process.

pub mod settings;
pub mod timer;

//! What lives as long as the process.

pub mod rows;
pub mod settings;
pub mod timer;

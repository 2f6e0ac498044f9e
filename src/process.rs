//! What lives as long as the process.

pub mod config_watch;
pub mod rows;
pub mod settings;
pub mod timer;

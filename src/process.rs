//! What lives as long as the process.

pub mod membership;
pub mod rows;
pub mod settings;
pub mod slots;
pub mod timer;

//! What lives as long as the process.

pub mod config_watch;
pub mod conversation;
pub mod audit;
pub mod entry;
pub mod shutdown;
pub mod journal;
pub mod membership;
pub mod notify;
pub mod recovery;
pub mod rows;
pub mod settings;
pub mod slots;
pub mod timer;

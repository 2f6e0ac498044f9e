//! What lives as long as the process.

<<<<<<< HEAD
pub mod config_watch;
pub mod conversation;
pub mod journal;
pub mod notify;
pub mod recovery;
=======
pub mod membership;
>>>>>>> peers
pub mod rows;
pub mod settings;
pub mod slots;
pub mod timer;

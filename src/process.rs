//! State and tasks that live as long as the process, of entries and of gateways.

pub mod audit;
pub mod boot_clock;
pub mod breaker;
pub mod command_line;
pub mod config_watch;
pub mod conversation;
pub mod entry;
pub mod gateway;
pub mod invariant;
pub mod journal;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod notify;
pub mod overload;
pub mod recovery;
pub mod retry_budget;
pub mod routing;
pub mod rows;
pub mod settings;
pub mod shutdown;
pub mod slots;
pub mod task;
pub mod teams;
pub mod timer;
pub mod topics;

//! Configuration versions: reading, validating, storing and indexing them.
//!
//! A configuration is a folder of JSON files. [`merge`] joins them into one document and records
//! the origin of each value, [`raw`] deserializes the document, and [`check`] validates it and
//! builds a [`config::Config`]. [`store`] persists the accepted versions in the platform, and
//! [`diff`] lists the changes between two documents. [`key_digest`] and [`key_index`] find the team or
//! operator of a key. [`route_table`] holds the routes of the platform operators' own configuration,
//! which is versioned separately, [`teams`] its teams, and [`config_check`] checks it.

pub mod check;
pub mod config;
pub mod config_check;
pub mod diff;
pub mod key_digest;
pub mod key_index;
pub mod merge;
pub mod raw;
pub mod route_table;
pub mod store;
pub mod teams;

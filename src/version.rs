//! What lives for one version of the configuration.
//!
//! A configuration is a folder of JSON files. [`merge`] joins them into one document and remembers
//! where each value comes from, [`raw`] gives the document its shape, [`check`] makes the checked
//! [`config`] of it. [`store`] keeps the accepted versions in the platform, and [`diff`] tells what
//! changed from one to the next.

pub mod check;
pub mod config;
pub mod diff;
pub mod key_digest;
pub mod key_index;
pub mod merge;
pub mod raw;
pub mod route_table;
pub mod store;

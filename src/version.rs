//! What lives for one version of the configuration.

pub mod config;

//! The slots that spread conversations over the entries.

pub mod placement;

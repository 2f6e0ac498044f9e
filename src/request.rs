//! What lives for one request.

pub mod api;

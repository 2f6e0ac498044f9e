//! The object store, held in memory.

use bytes::Bytes;
use hyper::body::Body as _;
use hyper::{Response, StatusCode};
use indexmap::IndexMap;
use sapphireford::connection::body::Body;

use crate::response;

/// Objects by name. A name may contain slashes.
#[derive(Default)]
pub struct Objects {
    objects: IndexMap<String, Bytes>,
}

impl Objects {
    /// Returns the number of objects.
    pub fn len(&self) -> usize {
        self.objects.len()
    }

    /// Returns the total size of all objects in bytes.
    pub fn bytes(&self) -> usize {
        self.objects.values().map(Bytes::len).sum()
    }

    /// Stores an object and replaces any object with the same name.
    pub fn put(&mut self, name: &str, bytes: Bytes) {
        self.objects.insert(name.to_string(), bytes);
    }

    /// Returns a response with the object, or 404 if there is none.
    pub fn get(&self, name: &str) -> Response<Body> {
        match self.objects.get(name) {
            Some(bytes) => Response::new(Body::full(bytes.clone())),
            None => response::error(StatusCode::NOT_FOUND, "object not found"),
        }
    }

    /// Deletes an object if it exists.
    pub fn delete(&mut self, name: &str) {
        self.objects.swap_remove(name);
    }
}

/// Returns the length of a response body in bytes; 0 for an error response.
pub fn body_length(response: &Response<Body>) -> u64 {
    if response.status().is_success() {
        response.body().size_hint().lower()
    } else {
        0
    }
}

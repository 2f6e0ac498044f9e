//! The object store.

use bytes::Bytes;
use hyper::body::Body as _;
use hyper::{Response, StatusCode};
use indexmap::IndexMap;
use sapphireford::connection::body::Body;

use crate::response;

/// Objects by key. A key may contain slashes.
#[derive(Default)]
pub struct Objects {
    objects: IndexMap<String, Bytes>,
}

impl Objects {
    /// Number of objects.
    pub fn len(&self) -> usize {
        self.objects.len()
    }

    /// Bytes of all objects.
    pub fn bytes(&self) -> usize {
        self.objects.values().map(Bytes::len).sum()
    }

    /// Stores an object, in place of an older one with the same key.
    pub fn put(&mut self, key: &str, bytes: Bytes) {
        self.objects.insert(key.to_string(), bytes);
    }

    /// Answers with an object.
    pub fn get(&self, key: &str) -> Response<Body> {
        match self.objects.get(key) {
            Some(bytes) => Response::new(Body::full(bytes.clone())),
            None => response::error(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    /// Deletes an object if it exists.
    pub fn delete(&mut self, key: &str) {
        self.objects.swap_remove(key);
    }
}

/// Length of an answer's body.
pub fn body_length(response: &Response<Body>) -> u64 {
    if response.status().is_success() {
        response.body().size_hint().lower()
    } else {
        0
    }
}

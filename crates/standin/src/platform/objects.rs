//! The object store.

use std::ops::Range;

use bytes::Bytes;
use hyper::body::Body as _;
use hyper::header::CONTENT_RANGE;
use hyper::{Response, StatusCode};
use indexmap::IndexMap;
use sapphireford::connection::body::Body;

use crate::answer;

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

    /// Answers with an object or the part of it that the `Range` header names.
    pub fn get(&self, key: &str, range: Option<&str>) -> Response<Body> {
        let Some(bytes) = self.objects.get(key) else {
            return answer::refused(StatusCode::NOT_FOUND, "no such object");
        };
        let Some(range) = range else {
            return Response::new(Body::full(bytes.clone()));
        };
        match parse_range(range, bytes.len()) {
            Some(range) => part(bytes, range),
            None => answer::refused(
                StatusCode::RANGE_NOT_SATISFIABLE,
                "the range is not inside the object",
            ),
        }
    }

    /// Deletes an object if it exists.
    pub fn delete(&mut self, key: &str) {
        self.objects.swap_remove(key);
    }
}

/// Length of an answer's body.
pub fn length(response: &Response<Body>) -> u64 {
    if response.status().is_success() {
        response.body().size_hint().lower()
    } else {
        0
    }
}

fn part(bytes: &Bytes, range: Range<usize>) -> Response<Body> {
    let text = format!("bytes {}-{}/{}", range.start, range.end - 1, bytes.len());
    let mut response = Response::new(Body::full(bytes.slice(range)));
    *response.status_mut() = StatusCode::PARTIAL_CONTENT;
    if let Ok(value) = text.parse() {
        response.headers_mut().insert(CONTENT_RANGE, value);
    }
    response
}

/// Parses `bytes=FIRST-LAST`, `bytes=FIRST-` and `bytes=-LENGTH`; a range past the end is cut.
fn parse_range(text: &str, length: usize) -> Option<Range<usize>> {
    let (first, last) = text.strip_prefix("bytes=")?.split_once('-')?;
    let range = match (first.parse::<usize>(), last.parse::<usize>()) {
        (Ok(first), Ok(last)) => first..length.min(last.saturating_add(1)),
        (Ok(first), Err(_)) if last.is_empty() => first..length,
        (Err(_), Ok(count)) if first.is_empty() => length.saturating_sub(count)..length,
        _ => return None,
    };
    (range.start < range.end).then_some(range)
}

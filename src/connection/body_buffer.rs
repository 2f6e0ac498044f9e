//! Reads whole bodies into memory, within a limit for all of them together.
//!
//! A limit for each body does not protect the process: a peer that sends without end on several
//! connections would fill the memory of a small VM before any of the bodies reached its limit.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The result of reading a body.
pub type Result<T> = std::result::Result<T, BodyError>;

/// Why a body was not read completely.
#[derive(Debug)]
pub enum BodyError {
    /// The connection failed, or the framing of the body is invalid.
    Broken(hyper::Error),
    /// The body exceeds its limit in bytes, which it holds.
    TooLong(usize),
    /// All bodies that are being read exceed the limit that they share.
    BudgetExhausted,
}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::Broken(error) => write!(formatter, "the body is incomplete: {error}"),
            BodyError::TooLong(limit) => {
                write!(formatter, "the body is longer than {limit} bytes")
            }
            BodyError::BudgetExhausted => {
                formatter.write_str("too many bytes of long bodies are being read")
            }
        }
    }
}

impl std::error::Error for BodyError {}

/// The first bytes of a body, which are not counted: short bodies are read at any time.
const UNCOUNTED_BYTES: usize = 64 << 10;

/// The bytes of long bodies that may be in memory at the same time; clones share the count.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    limit_bytes: usize,
    used_bytes: Rc<Cell<usize>>,
}

impl BodyBudget {
    /// Makes a budget of `limit_bytes`, of which nothing is used.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            used_bytes: Rc::default(),
        }
    }

    /// Reads a body of at most `limit_bytes`. Its bytes count as used until it has been read.
    pub async fn read(&self, mut body: Incoming, limit_bytes: usize) -> Result<Bytes> {
        let mut share = BudgetShare {
            budget: self,
            bytes: 0,
        };
        let mut chunks: Vec<Bytes> = Vec::new();
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else {
                continue;
            };
            length += data.len();
            if length > limit_bytes {
                return Err(BodyError::TooLong(limit_bytes));
            }
            share.grow_to(length.saturating_sub(UNCOUNTED_BYTES))?;
            chunks.push(data);
        }
        if chunks.len() <= 1 {
            return Ok(chunks.pop().unwrap_or_default());
        }
        let mut whole = BytesMut::with_capacity(length);
        chunks
            .iter()
            .for_each(|chunk| whole.extend_from_slice(chunk));
        Ok(whole.freeze())
    }
}

/// The part of a budget that one body uses; dropping it returns the bytes.
struct BudgetShare<'a> {
    budget: &'a BodyBudget,
    bytes: usize,
}

impl BudgetShare<'_> {
    fn grow_to(&mut self, bytes: usize) -> Result<()> {
        let used_bytes = self.budget.used_bytes.get() + bytes - self.bytes;
        if used_bytes > self.budget.limit_bytes {
            return Err(BodyError::BudgetExhausted);
        }
        self.budget.used_bytes.set(used_bytes);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for BudgetShare<'_> {
    fn drop(&mut self) {
        let used_bytes = &self.budget.used_bytes;
        used_bytes.set(used_bytes.get() - self.bytes);
    }
}

//! The retry logic of one call: selects the address of each attempt and decides whether a failure
//! allows another one.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use rand::Rng;

use crate::caller::{CallError, Caller, MAX_ANSWER_BYTES, Result};
use crate::connection::http_client::ClientError;
use crate::error::{ErrorBody, ErrorDetail, ErrorKind, Ran};
use crate::request::api::{EntriesAnswer, EntryAddress};

const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff; the `retry_after_ms` of an answer may be longer.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Timeout of one request for the list of entries.
const ENTRIES_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether a request may be repeated after an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetrySafety {
    /// The request is read-only, carries a request id, or the caller allows repetition.
    Safe,
    /// A second execution would repeat the side effect.
    Unsafe,
}

/// Why one attempt failed.
pub(super) enum Failure {
    /// No complete answer was received.
    Client(ClientError),
    /// An entry answered with this status and error.
    Refused(u16, ErrorDetail),
    /// The answer violates the protocol.
    Protocol(String),
}

impl Failure {
    /// Parses the answer of an entry with an error status.
    pub fn from_error_answer(status: StatusCode, body: &Bytes) -> Self {
        match serde_json::from_slice::<ErrorBody>(body) {
            Ok(body) => Failure::Refused(status.as_u16(), body.error),
            Err(_) => {
                Failure::Protocol(format!("status {} without an error body", status.as_u16()))
            }
        }
    }

    fn into_error(self) -> CallError {
        match self {
            Failure::Client(error) => CallError::Interrupted(error),
            Failure::Refused(status, detail) => CallError::Refused(status, detail),
            Failure::Protocol(reason) => CallError::Protocol(reason),
        }
    }

    /// Whether the attempt may have been executed.
    fn may_have_run(&self) -> bool {
        match self {
            Failure::Client(error) => !error.is_not_sent(),
            Failure::Refused(_, detail) => detail.ran != Ran::No,
            Failure::Protocol(_) => true,
        }
    }

    /// Whether another attempt may succeed.
    fn is_transient(&self) -> bool {
        match self {
            Failure::Client(_) => true,
            Failure::Refused(_, detail) => {
                detail.retry_after_ms.is_some() && detail.ran != Ran::Yes
            }
            Failure::Protocol(_) => false,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Failure::Refused(_, detail) => detail.retry_after_ms.map(Duration::from_millis),
            _ => None,
        }
    }

    /// Whether the failure indicates that the cached addresses are out of date.
    fn invalidates_addresses(&self) -> bool {
        match self {
            Failure::Client(_) => true,
            Failure::Refused(_, detail) => [ErrorKind::Leaving, ErrorKind::HolderLost]
                .iter()
                .any(|kind| kind.answer().name == detail.kind),
            Failure::Protocol(_) => false,
        }
    }
}

/// The attempts of one call.
pub(super) struct Attempts {
    pub caller: Caller,
    conversation: String,
    retry_safety: RetrySafety,
    deadline: Instant,
    /// Failed attempts, including failed requests for the list of entries.
    attempt_count: u32,
    backoff_count: u32,
    may_have_run: bool,
    /// Addresses that failed in this call; cleared once all listed addresses have failed.
    failed_addresses: Vec<SocketAddr>,
}

impl Attempts {
    pub fn new(caller: Caller, conversation: &str, retry_safety: RetrySafety) -> Self {
        let deadline = Instant::now() + caller.options.call_timeout;
        Self {
            caller,
            conversation: conversation.to_string(),
            retry_safety,
            deadline,
            attempt_count: 0,
            backoff_count: 0,
            may_have_run: false,
            failed_addresses: Vec::new(),
        }
    }

    /// The timeout of the next attempt, limited by the deadline of the call.
    pub fn attempt_timeout(&self) -> Duration {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        remaining.min(self.caller.options.attempt_timeout)
    }

    /// The idle timeout of the stream, limited by the deadline of the call.
    pub fn stream_idle_timeout(&self) -> Duration {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        remaining.min(self.caller.options.stream_idle_timeout)
    }

    /// Selects the address for the next attempt: the first listed one that has not failed in this
    /// call, or the first one if all have.
    pub async fn next_address(&mut self) -> Result<SocketAddr> {
        let answer = self.entries().await?;
        let has_not_failed =
            |entry: &&EntryAddress| !self.failed_addresses.contains(&entry.address);
        let entry = answer.entries.iter().find(has_not_failed);
        let address = entry.or(answer.entries.first()).map(|entry| entry.address);
        if entry.is_none() {
            self.failed_addresses.clear();
        }
        address.ok_or_else(|| {
            CallError::NoEntryAvailable(String::from("the list of entries is empty"))
        })
    }

    /// Returns the entries of the conversation from the cache, or requests them until an entry
    /// answers or the limits of the call are reached.
    pub async fn entries(&mut self) -> Result<EntriesAnswer> {
        loop {
            let cache = self.caller.addresses.clone();
            let cached = cache.borrow().get(&self.conversation, Instant::now());
            if let Some(answer) = cached {
                return Ok(answer);
            }
            let failure = match self.fetch_entries_from_any().await {
                Ok(answer) if !answer.entries.is_empty() => {
                    let mut cache = cache.borrow_mut();
                    cache.insert(&self.conversation, &answer, Instant::now());
                    return Ok(answer);
                }
                Ok(_) => CallError::NoEntryAvailable(String::from("the list of entries is empty")),
                Err(error) => error,
            };
            if is_permanent(&failure) {
                return Err(self.permanent_error(failure));
            }
            self.attempt_count += 1;
            if self.attempt_count >= self.caller.options.max_attempts {
                return Err(self.retries_exhausted(failure));
            }
            let retry_after_ms = failure.detail().and_then(|detail| detail.retry_after_ms);
            let delay = self
                .next_backoff()
                .max(Duration::from_millis(retry_after_ms.unwrap_or(0)));
            if Instant::now() + delay >= self.deadline {
                return Err(self.retries_exhausted(failure));
            }
            self.caller.http.timer().sleep(delay).await;
        }
    }

    /// Requests the list from each candidate in turn, starting at a random one; addresses that
    /// failed in this call are last.
    async fn fetch_entries_from_any(&self) -> Result<EntriesAnswer> {
        let candidates = self
            .caller
            .addresses
            .borrow()
            .candidates(&self.failed_addresses);
        let untried_count = candidates
            .iter()
            .filter(|address| !self.failed_addresses.contains(address))
            .count();
        let start = if untried_count > 1 {
            rand::rng().random_range(0..untried_count)
        } else {
            0
        };
        let order = candidates[start..untried_count]
            .iter()
            .chain(&candidates[..start])
            .chain(&candidates[untried_count..]);
        let mut last_error = CallError::NoEntryAvailable(String::from("none is known"));
        for address in order {
            match self.fetch_entries(*address).await {
                Ok(answer) => return Ok(answer),
                Err(error) if is_permanent(&error) => return Err(error),
                Err(error @ CallError::Refused(..)) => last_error = error,
                Err(error) => last_error = CallError::NoEntryAvailable(crate::error::chain(&error)),
            }
            if Instant::now() >= self.deadline {
                break;
            }
        }
        Err(last_error)
    }

    async fn fetch_entries(&self, address: SocketAddr) -> Result<EntriesAnswer> {
        let path = format!("/v1/entries?conversation={}", self.conversation);
        let request = self.caller.request(Method::GET, &path, Bytes::new())?;
        let limit = self.attempt_timeout().min(ENTRIES_TIMEOUT);
        let fetch = self
            .caller
            .http
            .fetch(address, request, limit, MAX_ANSWER_BYTES);
        let response = fetch.await.map_err(CallError::Interrupted)?;
        if response.status().is_success() {
            return serde_json::from_slice(response.body()).map_err(CallError::Decode);
        }
        Err(Failure::from_error_answer(response.status(), response.body()).into_error())
    }

    /// Records a failed attempt and waits for the retry delay, or returns the final error if no
    /// retry is allowed.
    pub async fn prepare_retry(&mut self, address: SocketAddr, failure: Failure) -> Result<()> {
        self.attempt_count += 1;
        let may_have_run = failure.may_have_run();
        self.may_have_run |= may_have_run;
        if !failure.is_transient() || (may_have_run && self.retry_safety == RetrySafety::Unsafe) {
            return Err(self.permanent_error(failure.into_error()));
        }
        if failure.invalidates_addresses() {
            let mut cache = self.caller.addresses.borrow_mut();
            cache.invalidate(&self.conversation);
        }
        self.failed_addresses.push(address);
        let delay = self.retry_delay(&failure);
        if self.attempt_count >= self.caller.options.max_attempts
            || Instant::now() + delay >= self.deadline
        {
            return Err(self.retries_exhausted(failure.into_error()));
        }
        self.caller.http.timer().sleep(delay).await;
        Ok(())
    }

    /// The delay that the answer specifies; otherwise zero after the first failure of a call and a
    /// backoff after later ones.
    fn retry_delay(&mut self, failure: &Failure) -> Duration {
        match failure.retry_after() {
            // Jitter only extends the delay, because the answer specifies a minimum.
            Some(delay) => delay.mul_f64(rand::rng().random_range(1.0..1.25)),
            None if self.attempt_count == 1 => Duration::ZERO,
            None => self.next_backoff(),
        }
    }

    fn next_backoff(&mut self) -> Duration {
        let max_delay = (INITIAL_BACKOFF * 2u32.pow(self.backoff_count.min(10))).min(MAX_BACKOFF);
        self.backoff_count += 1;
        max_delay.mul_f64(rand::rng().random_range(0.5..1.0))
    }

    /// Changes `ran: no` to `unknown` if an earlier attempt may have run: a refusal of a repeated
    /// request does not cover the attempts before it.
    fn permanent_error(&self, mut error: CallError) -> CallError {
        if let CallError::Refused(_, detail) = &mut error
            && detail.ran == Ran::No
            && self.may_have_run
        {
            detail.ran = Ran::Unknown;
        }
        error
    }

    fn retries_exhausted(&self, last: CallError) -> CallError {
        CallError::RetriesExhausted {
            attempts: self.attempt_count,
            ran: if self.may_have_run {
                Ran::Unknown
            } else {
                Ran::No
            },
            last: Box::new(last),
        }
    }
}

/// Whether a refused request for the list of entries must not be retried, such as with a wrong key.
fn is_permanent(error: &CallError) -> bool {
    matches!(error, CallError::Refused(_, detail) if detail.retry_after_ms.is_none())
}

//! The attempts of one call: which address is next, and whether a failure allows another attempt.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use rand::Rng;

use crate::caller::{ANSWER_LIMIT_BYTES, CallError, Caller, Result};
use crate::connection::http_client::ClientError;
use crate::error::{ErrorBody, ErrorDetail, ErrorKind, Ran};
use crate::request::api::{EntriesAnswer, EntryAddress};

/// First wait between attempts.
const BACKOFF_START: Duration = Duration::from_millis(50);
/// Longest wait between attempts, unless an answer names a longer one.
const BACKOFF_LIMIT: Duration = Duration::from_secs(2);
/// Time for one entry to answer a question for addresses.
const ENTRIES_TIME: Duration = Duration::from_secs(2);

/// Whether a request may be repeated when it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Repeat {
    /// It only reads, carries a request id, or the caller allows it.
    Safe,
    /// A second execution would be a second effect.
    Unsafe,
}

/// Why one attempt failed.
pub(super) enum Failure {
    /// No complete answer came.
    Client(ClientError),
    /// An entry answered with an error.
    Refused(u16, ErrorDetail),
    /// The answer is not what the protocol says.
    Protocol(String),
}

impl Failure {
    /// Reads the answer of an entry whose status is not a success.
    pub fn from_answer(status: StatusCode, body: &Bytes) -> Self {
        match serde_json::from_slice::<ErrorBody>(body) {
            Ok(body) => Failure::Refused(status.as_u16(), body.error),
            Err(_) => Failure::Protocol(format!("status {} without an error", status.as_u16())),
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

    /// Whether another attempt can succeed.
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

    /// Whether the addresses that led here may be out of date.
    fn is_about_the_address(&self) -> bool {
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
    repeat: Repeat,
    deadline: Instant,
    made: u32,
    waits: u32,
    may_have_run: bool,
    /// Addresses that failed in this call; they are tried again when all others failed too.
    avoid: Vec<SocketAddr>,
}

impl Attempts {
    pub fn new(caller: Caller, conversation: &str, repeat: Repeat) -> Self {
        let deadline = Instant::now() + caller.options.total_time;
        Self {
            caller,
            conversation: conversation.to_string(),
            repeat,
            deadline,
            made: 0,
            waits: 0,
            may_have_run: false,
            avoid: Vec::new(),
        }
    }

    /// The time that one attempt has left.
    pub fn time_limit(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        left.min(self.caller.options.attempt_time)
    }

    /// The time that one pause of a stream has left.
    pub fn gap_limit(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        left.min(self.caller.options.stream_gap)
    }

    /// The address for the next attempt.
    pub async fn next_address(&mut self) -> Result<SocketAddr> {
        let answer = self.entries().await?;
        let fresh = |entry: &&EntryAddress| !self.avoid.contains(&entry.address);
        let entry = answer.entries.iter().find(fresh);
        let address = entry.or(answer.entries.first()).map(|entry| entry.address);
        if entry.is_none() {
            self.avoid.clear();
        }
        address.ok_or_else(|| CallError::NoEntry(String::from("the list of entries is empty")))
    }

    /// The entries of the conversation, from the cache or from any entry that answers.
    pub async fn entries(&mut self) -> Result<EntriesAnswer> {
        loop {
            let cache = self.caller.addresses.clone();
            let cached = cache.borrow().get(&self.conversation, Instant::now());
            if let Some(answer) = cached {
                return Ok(answer);
            }
            let failure = match self.ask_all().await {
                Ok(answer) if !answer.entries.is_empty() => {
                    let mut cache = cache.borrow_mut();
                    cache.insert(&self.conversation, &answer, Instant::now());
                    return Ok(answer);
                }
                Ok(_) => CallError::NoEntry(String::from("the list of entries is empty")),
                Err(error) => error,
            };
            if is_final(&failure) {
                return Err(self.final_error(failure));
            }
            self.made += 1;
            if self.made >= self.caller.options.max_attempts {
                return Err(self.give_up(failure));
            }
            let named = failure.detail().and_then(|detail| detail.retry_after_ms);
            let wait = self
                .backoff()
                .max(Duration::from_millis(named.unwrap_or(0)));
            if Instant::now() + wait >= self.deadline {
                return Err(self.give_up(failure));
            }
            self.caller.http.timer().sleep(wait).await;
        }
    }

    /// Asks the known entries one after the other, from a random one on.
    async fn ask_all(&self) -> Result<EntriesAnswer> {
        let known = self.caller.addresses.borrow().known(&self.avoid);
        let usable = known
            .iter()
            .filter(|address| !self.avoid.contains(address))
            .count();
        let start = if usable > 1 {
            rand::rng().random_range(0..usable)
        } else {
            0
        };
        let order = known[start..usable]
            .iter()
            .chain(&known[..start])
            .chain(&known[usable..]);
        let mut last = CallError::NoEntry(String::from("none is known"));
        for address in order {
            match self.ask(*address).await {
                Ok(answer) => return Ok(answer),
                Err(error) if is_final(&error) => return Err(error),
                Err(error @ CallError::Refused(..)) => last = error,
                Err(error) => last = CallError::NoEntry(crate::error::chain(&error)),
            }
            if Instant::now() >= self.deadline {
                break;
            }
        }
        Err(last)
    }

    async fn ask(&self, address: SocketAddr) -> Result<EntriesAnswer> {
        let path = format!("/v1/entries?conversation={}", self.conversation);
        let request = self.caller.request(Method::GET, &path, Bytes::new())?;
        let limit = self.time_limit().min(ENTRIES_TIME);
        let fetch = self
            .caller
            .http
            .fetch(address, request, limit, ANSWER_LIMIT_BYTES);
        let response = fetch.await.map_err(CallError::Interrupted)?;
        if response.status().is_success() {
            return serde_json::from_slice(response.body()).map_err(CallError::Decode);
        }
        Err(Failure::from_answer(response.status(), response.body()).into_error())
    }

    /// Prepares the next attempt after a failure, or returns the final error.
    pub async fn recover(&mut self, address: SocketAddr, failure: Failure) -> Result<()> {
        self.made += 1;
        let may_have_run = failure.may_have_run();
        self.may_have_run |= may_have_run;
        if !failure.is_transient() || (may_have_run && self.repeat == Repeat::Unsafe) {
            return Err(self.final_error(failure.into_error()));
        }
        if failure.is_about_the_address() {
            let mut cache = self.caller.addresses.borrow_mut();
            cache.invalidate(&self.conversation);
        }
        self.avoid.push(address);
        let wait = self.wait_after(&failure);
        if self.made >= self.caller.options.max_attempts || Instant::now() + wait >= self.deadline {
            return Err(self.give_up(failure.into_error()));
        }
        self.caller.http.timer().sleep(wait).await;
        Ok(())
    }

    /// The first failure of a call is followed by another attempt at once, later ones by a backoff.
    fn wait_after(&mut self, failure: &Failure) -> Duration {
        match failure.retry_after() {
            // Jitter only adds to the time that the answer names.
            Some(delay) => delay.mul_f64(rand::rng().random_range(1.0..1.25)),
            None if self.made == 1 => Duration::ZERO,
            None => self.backoff(),
        }
    }

    fn backoff(&mut self) -> Duration {
        let longest = (BACKOFF_START * 2u32.pow(self.waits.min(10))).min(BACKOFF_LIMIT);
        self.waits += 1;
        longest.mul_f64(rand::rng().random_range(0.5..1.0))
    }

    /// A refusal of a repeated request says nothing about the attempts before it, so `ran: no` is
    /// passed on only if no earlier attempt may have run.
    fn final_error(&self, mut error: CallError) -> CallError {
        if let CallError::Refused(_, detail) = &mut error
            && detail.ran == Ran::No
            && self.may_have_run
        {
            detail.ran = Ran::Unknown;
        }
        error
    }

    fn give_up(&self, last: CallError) -> CallError {
        CallError::GaveUp {
            attempts: self.made,
            ran: if self.may_have_run {
                Ran::Unknown
            } else {
                Ran::No
            },
            last: Box::new(last),
        }
    }
}

/// Whether asking for addresses again cannot succeed, such as with a wrong key.
fn is_final(error: &CallError) -> bool {
    matches!(error, CallError::Refused(_, detail) if detail.retry_after_ms.is_none())
}

//! A client library for callers.
//!
//! A [`Caller`] requests the list of entries that serve a conversation from any entry, caches it
//! for its TTL, and connects to the first address directly. When an attempt fails, the protocol
//! determines whether a retry is safe:
//!
//! - The request was not sent: it is sent to the next address.
//! - The answer has `ran: no` and a retry delay: the same request is sent after that delay.
//! - The connection failed, or the answer has `ran: unknown` and a retry delay: the same request id
//!   is sent to another entry. After a failed connection, or if the entry is leaving or lost the
//!   lease of the slot, the list of entries is requested again. A repeated request id returns its
//!   first result and is never executed twice. A service call has no request id, so it is repeated
//!   only if the caller allows it.
//! - Any other answer is final.
//!
//! All attempts of a call share one deadline and a limit on their number.

mod addresses;
mod attempts;
mod error;
pub mod script;
mod service;
mod turn;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request};
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::caller::addresses::AddressCache;
use crate::caller::attempts::{Attempts, Failure, RetrySafety};
use crate::connection::http_client::HttpClient;
use crate::ids::RunId;
use crate::process::timer::TimerService;
use crate::request::api::{
    EndRun, EndRunAnswer, EndRunBody, EntriesAnswer, HistoryAnswer, RunAnswer, StartRun,
    StartRunBody, StartSubAgent, StartSubAgentBody, StateAnswer, ToolAnswer, ToolCall,
    ToolCallBody, Turn, TurnBody, check_id,
};

pub use crate::caller::error::{CallError, Result};
pub use crate::caller::service::{ServiceAnswer, ServiceCall};
pub use crate::caller::turn::{TurnEvent, TurnStream};

/// Size limit of an answer; the stream of a turn is not limited.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Limits of one call.
#[derive(Clone, Copy, Debug)]
pub struct CallerOptions {
    /// Covers all attempts of a call, the delays between them, and the stream of a turn.
    pub call_timeout: Duration,
    /// Covers one attempt; for a turn, up to the head of the answer.
    pub attempt_timeout: Duration,
    /// Longest gap between two chunks of a turn's stream before the connection counts as broken.
    pub stream_idle_timeout: Duration,
    /// Limit on the attempts of one call, including failed requests for the list of entries; at
    /// least 1.
    pub max_attempts: u32,
}

impl Default for CallerOptions {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(300),
            attempt_timeout: Duration::from_secs(30),
            stream_idle_timeout: Duration::from_secs(30),
            // With the backoff, 16 attempts outlast a lease of 4 s and the recovery that follows.
            max_attempts: 16,
        }
    }
}

/// A client of the entries; clones share connections and cached addresses.
#[derive(Clone)]
pub struct Caller {
    http: HttpClient,
    authorization: HeaderValue,
    addresses: Rc<RefCell<AddressCache>>,
    options: CallerOptions,
}

impl Caller {
    /// Creates a client that discovers entries through `seeds` and authenticates with the team's
    /// `key`.
    pub fn new(http: HttpClient, seeds: Vec<SocketAddr>, key: &str) -> Result<Self> {
        if seeds.is_empty() {
            return Err(CallError::NoSeeds);
        }
        let mut authorization =
            HeaderValue::from_str(&format!("Bearer {key}")).map_err(|_| CallError::InvalidKey)?;
        authorization.set_sensitive(true);
        Ok(Self {
            http,
            authorization,
            addresses: Rc::new(RefCell::new(AddressCache::new(seeds))),
            options: CallerOptions::default(),
        })
    }

    /// Replaces the limits of each call; existing clones keep theirs.
    pub fn with_options(mut self, options: CallerOptions) -> Self {
        self.options = options;
        self
    }

    /// The timer service that enforces the timeouts of calls.
    pub fn timer(&self) -> &TimerService {
        self.http.timer()
    }

    /// Generates a request id from 128 random bits, so that the ids of different callers do not
    /// collide.
    pub fn new_request_id() -> crate::ids::RequestId {
        format!("{:032x}", rand::rng().random::<u128>()).into()
    }

    /// Returns the entries that serve a conversation, from the cache until the TTL of the list
    /// expires.
    pub async fn entries(&self, conversation: &str) -> Result<EntriesAnswer> {
        let mut attempts = self.attempts(conversation, RetrySafety::Safe)?;
        attempts.entries().await
    }

    /// Starts a run of a program.
    pub async fn start_run(&self, conversation: &str, body: StartRunBody) -> Result<RunAnswer> {
        StartRun::try_from(body.clone())?;
        self.post(conversation, &paths::runs(conversation), &body)
            .await
    }

    /// Runs a turn; returns the stream of its output as soon as an entry accepts the request.
    pub async fn run_turn(
        &self,
        conversation: &str,
        run_id: RunId,
        body: TurnBody,
    ) -> Result<TurnStream> {
        Turn::try_from(body.clone())?;
        let attempts = self.attempts(conversation, RetrySafety::Safe)?;
        let path = paths::run(conversation, run_id, "turns");
        let request = self.request(Method::POST, &path, encode_json(&body)?)?;
        TurnStream::open(attempts, request).await
    }

    /// Starts a sub-agent as a run of its own below the parent `run_id`.
    pub async fn start_sub_agent(
        &self,
        conversation: &str,
        run_id: RunId,
        body: StartSubAgentBody,
    ) -> Result<RunAnswer> {
        StartSubAgent::try_from(body.clone())?;
        let path = paths::run(conversation, run_id, "sub-agents");
        self.post(conversation, &path, &body).await
    }

    /// Calls a tool on behalf of a run.
    pub async fn call_tool(
        &self,
        conversation: &str,
        run_id: RunId,
        body: ToolCallBody,
    ) -> Result<ToolAnswer> {
        ToolCall::try_from(body.clone())?;
        let path = paths::run(conversation, run_id, "tool-calls");
        self.post(conversation, &path, &body).await
    }

    /// Ends a run.
    pub async fn end_run(
        &self,
        conversation: &str,
        run_id: RunId,
        body: EndRunBody,
    ) -> Result<EndRunAnswer> {
        EndRun::try_from(body.clone())?;
        let path = paths::run(conversation, run_id, "end");
        self.post(conversation, &path, &body).await
    }

    /// Cancels a run and its call in progress.
    pub async fn cancel_run(
        &self,
        conversation: &str,
        run_id: RunId,
        body: EndRunBody,
    ) -> Result<EndRunAnswer> {
        EndRun::try_from(body.clone())?;
        let path = paths::run(conversation, run_id, "cancel");
        self.post(conversation, &path, &body).await
    }

    /// Returns the state and cost of a conversation's runs.
    pub async fn state(&self, conversation: &str) -> Result<StateAnswer> {
        self.get(conversation, &paths::conversation(conversation))
            .await
    }

    /// Returns the messages of a conversation.
    pub async fn history(&self, conversation: &str) -> Result<HistoryAnswer> {
        let path = format!("{}/history", paths::conversation(conversation));
        self.get(conversation, &path).await
    }

    /// Calls a plain service; any answer of the service itself is a success, whatever its status.
    pub async fn call_service(&self, call: ServiceCall) -> Result<ServiceAnswer> {
        service::call(self, call).await
    }

    async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        conversation: &str,
        path: &str,
        body: &B,
    ) -> Result<T> {
        let attempts = self.attempts(conversation, RetrySafety::Safe)?;
        let request = self.request(Method::POST, path, encode_json(body)?)?;
        self.fetch_json(attempts, request).await
    }

    async fn get<T: DeserializeOwned>(&self, conversation: &str, path: &str) -> Result<T> {
        let attempts = self.attempts(conversation, RetrySafety::Safe)?;
        let request = self.request(Method::GET, path, Bytes::new())?;
        self.fetch_json(attempts, request).await
    }

    async fn fetch_json<T: DeserializeOwned>(
        &self,
        mut attempts: Attempts,
        request: Request<Bytes>,
    ) -> Result<T> {
        loop {
            let address = attempts.next_address().await?;
            let fetch = self.http.fetch(
                address,
                request.clone(),
                attempts.attempt_timeout(),
                MAX_ANSWER_BYTES,
            );
            let failure = match fetch.await {
                Ok(response) if response.status().is_success() => {
                    return serde_json::from_slice(response.body()).map_err(CallError::Decode);
                }
                Ok(response) => Failure::from_error_answer(response.status(), response.body()),
                Err(error) => Failure::Client(error),
            };
            attempts.prepare_retry(address, failure).await?;
        }
    }

    fn attempts(&self, conversation: &str, retry_safety: RetrySafety) -> Result<Attempts> {
        check_id("conversation", conversation)?;
        Ok(Attempts::new(self.clone(), conversation, retry_safety))
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Request<Bytes>> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(AUTHORIZATION, &self.authorization)
            .header(CONTENT_TYPE, "application/json");
        request
            .body(body)
            .map_err(|_| CallError::InvalidPath(path.to_string()))
    }
}

fn encode_json(body: &impl Serialize) -> Result<Bytes> {
    let bytes = serde_json::to_vec(body).map_err(CallError::Decode)?;
    Ok(bytes.into())
}

/// The request paths. Ids need no escaping, because their characters are validated.
mod paths {
    use crate::ids::RunId;

    pub fn conversation(conversation: &str) -> String {
        format!("/v1/conversations/{conversation}")
    }

    pub fn runs(conversation: &str) -> String {
        format!("/v1/conversations/{conversation}/runs")
    }

    pub fn run(conversation: &str, run_id: RunId, call: &str) -> String {
        format!("/v1/conversations/{conversation}/runs/{run_id}/{call}")
    }
}

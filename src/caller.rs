//! A client library for callers.
//!
//! A [`Caller`] asks any entry which addresses serve a conversation, keeps the answer for the time
//! that it names, and connects to the first address directly. When an attempt fails, it decides by
//! the protocol what is safe:
//!
//! - The request certainly was not sent: the next address is tried.
//! - The answer says `ran: no` and when to come back: the same request is sent after that time.
//! - The connection broke, or the answer says `ran: unknown` and when to come back: the same request
//!   id is sent to another entry after asking for fresh addresses. A repeated request id gets its
//!   first result and is never executed a second time. A service call has no request id, so it is
//!   repeated only if the caller allows it.
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
use crate::caller::attempts::{Attempts, Failure, Repeat};
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

/// Longest answer that is read, other than the stream of a turn.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// Bounds on one call.
#[derive(Clone, Copy, Debug)]
pub struct CallerOptions {
    /// All attempts of a call, the waits between them and the stream of a turn together.
    pub total_time: Duration,
    /// One attempt, up to the head of the answer.
    pub attempt_time: Duration,
    /// Longest pause within the stream of a turn before the connection counts as broken.
    pub stream_gap: Duration,
    /// Most attempts of one call; at least 1.
    pub max_attempts: u32,
}

impl Default for CallerOptions {
    fn default() -> Self {
        Self {
            total_time: Duration::from_secs(300),
            attempt_time: Duration::from_secs(30),
            stream_gap: Duration::from_secs(30),
            // With the backoff this covers a lease of 4 s and the recovery that follows it.
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
    /// Makes a client that asks the entries at `seeds` first and presents the team's `key`.
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

    /// Sets the bounds on each call.
    pub fn with_options(mut self, options: CallerOptions) -> Self {
        self.options = options;
        self
    }

    /// The timer service that bounds the calls.
    pub fn timer(&self) -> &TimerService {
        self.http.timer()
    }

    /// Makes a request id that no other caller makes.
    pub fn new_request_id() -> crate::ids::RequestId {
        format!("{:032x}", rand::rng().random::<u128>()).into()
    }

    /// The entries that serve a conversation, from the cache while it is valid.
    pub async fn entries(&self, conversation: &str) -> Result<EntriesAnswer> {
        let mut attempts = self.attempts(conversation, Repeat::Safe)?;
        attempts.entries().await
    }

    /// Starts a run of a program.
    pub async fn start_run(&self, conversation: &str, body: StartRunBody) -> Result<RunAnswer> {
        StartRun::try_from(body.clone())?;
        self.post(conversation, &paths::runs(conversation), &body)
            .await
    }

    /// Runs a turn and streams its output.
    pub async fn turn(
        &self,
        conversation: &str,
        run_id: RunId,
        body: TurnBody,
    ) -> Result<TurnStream> {
        Turn::try_from(body.clone())?;
        let attempts = self.attempts(conversation, Repeat::Safe)?;
        let path = paths::run(conversation, run_id, "turns");
        let request = self.request(Method::POST, &path, encode(&body)?)?;
        TurnStream::open(attempts, request).await
    }

    /// Starts a sub-agent of a run.
    pub async fn sub_agent(
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
    pub async fn end(
        &self,
        conversation: &str,
        run_id: RunId,
        body: EndRunBody,
    ) -> Result<EndRunAnswer> {
        EndRun::try_from(body.clone())?;
        let path = paths::run(conversation, run_id, "end");
        self.post(conversation, &path, &body).await
    }

    /// Cancels a run with the call in progress.
    pub async fn cancel(
        &self,
        conversation: &str,
        run_id: RunId,
        body: EndRunBody,
    ) -> Result<EndRunAnswer> {
        EndRun::try_from(body.clone())?;
        let path = paths::run(conversation, run_id, "cancel");
        self.post(conversation, &path, &body).await
    }

    /// Reads the state and cost of a conversation's runs.
    pub async fn state(&self, conversation: &str) -> Result<StateAnswer> {
        self.get(conversation, &paths::conversation(conversation))
            .await
    }

    /// Reads the messages of a conversation.
    pub async fn history(&self, conversation: &str) -> Result<HistoryAnswer> {
        let path = format!("{}/history", paths::conversation(conversation));
        self.get(conversation, &path).await
    }

    /// Calls a plain service.
    pub async fn service(&self, call: ServiceCall) -> Result<ServiceAnswer> {
        service::call(self, call).await
    }

    async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        conversation: &str,
        path: &str,
        body: &B,
    ) -> Result<T> {
        let attempts = self.attempts(conversation, Repeat::Safe)?;
        let request = self.request(Method::POST, path, encode(body)?)?;
        self.fetch_json(attempts, request).await
    }

    async fn get<T: DeserializeOwned>(&self, conversation: &str, path: &str) -> Result<T> {
        let attempts = self.attempts(conversation, Repeat::Safe)?;
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
                attempts.time_limit(),
                ANSWER_LIMIT_BYTES,
            );
            let failure = match fetch.await {
                Ok(response) if response.status().is_success() => {
                    return serde_json::from_slice(response.body()).map_err(CallError::Decode);
                }
                Ok(response) => Failure::from_answer(response.status(), response.body()),
                Err(error) => Failure::Client(error),
            };
            attempts.recover(address, failure).await?;
        }
    }

    fn attempts(&self, conversation: &str, repeat: Repeat) -> Result<Attempts> {
        check_id("conversation", conversation)?;
        Ok(Attempts::new(self.clone(), conversation, repeat))
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

fn encode(body: &impl Serialize) -> Result<Bytes> {
    let bytes = serde_json::to_vec(body).map_err(CallError::Decode)?;
    Ok(bytes.into())
}

/// The paths of the interface. Ids need no escaping, because their characters are checked.
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

//! Forwards requests to the holders of their conversations.
//!
//! The entry that receives a request serves it if it holds the slot. Otherwise it forwards the
//! request to the entry that probably holds the slot. While the slot has no holder, or if the
//! holder is lost before its response begins, the request waits and is retried. Retrying is safe,
//! because a request id is never executed twice. A forwarded request is not forwarded again.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::select;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};

use crate::connection::body::Body;
use crate::connection::peer::messages::{ForwardHead, ForwardRequest, Headers, headers_to_map};
use crate::connection::peer::{ForwardBody, PeerError};
use crate::error::{Error, ErrorKind, Result, chain};
use crate::ids::{ConversationKey, EntryId, SlotId, VersionNumber};
use crate::process::entry::Entry;
use crate::process::recovery;
use crate::process::slots::{OpenConversation, OpenError};
use crate::request::call::CallContext;
use crate::request::conversation_request::{ConversationRequest, Operation};
use crate::request::{read, run, tool_call, turn};
use crate::version::config::Config;
use crate::version::key_digest::{decode_hex, encode_hex};

/// Delay before retrying a request whose slot has no reachable holder; a slot change ends it early.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest wait of a forwarded request for a slot that the receiving entry is about to acquire.
const PEER_SLOT_WAIT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Names the holder of the slot to the forwarding entry, in a response with [`NOT_HELD_HEADER`].
const HOLDER_HEADER: HeaderName = HeaderName::from_static("x-sapphireford-holder");
/// Configuration version of the entry that forwards or answers a request.
pub const CONFIG_VERSION_HEADER: &str = "x-sapphireford-config-version";
/// Hash of the caller's key, so that the holder can check the key again.
const CALLER_KEY_HEADER: &str = "x-sapphireford-key-sha256";
/// Marks the response of an entry that does not hold the slot.
const NOT_HELD_HEADER: HeaderName = HeaderName::from_static("x-sapphireford-not-held");

/// Caller of a forwarded request, as authenticated by the forwarding entry.
pub struct ForwardedCaller {
    /// Version with which the forwarding entry checked the key; 0 if it sent none.
    pub config_version: VersionNumber,
    /// Hash of the caller's key; `None` for an operator's request.
    pub key_digest: Option<[u8; 32]>,
}

impl ForwardedCaller {
    fn new(config: &Config, request: &ConversationRequest) -> Self {
        Self {
            config_version: config.version,
            key_digest: request.caller_key_digest,
        }
    }

    fn to_headers(&self) -> Headers {
        let version = self.config_version.to_string();
        let mut headers = vec![(CONFIG_VERSION_HEADER.to_string(), version.into())];
        if let Some(digest) = &self.key_digest {
            headers.push((CALLER_KEY_HEADER.to_string(), encode_hex(digest).into()));
        }
        headers
    }

    /// Reads the headers that the forwarding entry added.
    pub fn from_headers(headers: &Headers) -> Self {
        let find = |name| {
            let value = headers.iter().find(|(header, _)| header == name);
            value.and_then(|(_, value)| std::str::from_utf8(value).ok())
        };
        let version = find(CONFIG_VERSION_HEADER).and_then(|version| version.parse().ok());
        Self {
            config_version: version.unwrap_or(0),
            key_digest: find(CALLER_KEY_HEADER).and_then(decode_hex),
        }
    }
}

/// Serves a caller's request on this entry or forwards it to the holder of its slot.
pub async fn respond(
    entry: &Rc<Entry>,
    config: Rc<Config>,
    request: ConversationRequest,
) -> Result<Response<Body>> {
    let slot = entry.slots.slot_of(&request.key);
    let deadline = Instant::now() + entry.settings.slot_wait_timeout;
    let mut last_error = None;
    loop {
        let seen = entry.slots.changed().changes();
        if let Some(open) = open(entry, &request.key).await? {
            return serve(entry, config, open, request).await;
        }
        let holder = entry.slot_manager.probable_holder(slot);
        if let Some(holder) = holder.filter(|holder| *holder != entry.settings.entry_id) {
            match forward_to_holder(entry, &config, slot, &holder, &request).await {
                Ok(Some(response)) => return Ok(response),
                Ok(None) => {}
                Err(error) => last_error = Some(error),
            }
        }
        if Instant::now() >= deadline {
            return Err(last_error.unwrap_or_else(|| slot_unavailable(slot)));
        }
        let changed = std::pin::pin!(entry.slots.changed().changed_since(seen));
        select(entry.timer.sleep(RETRY_DELAY), changed).await;
    }
}

/// Serves a request that another entry forwarded, if this entry holds or acquires the slot.
pub async fn respond_for_peer(
    entry: &Rc<Entry>,
    config: Rc<Config>,
    request: ConversationRequest,
) -> Result<Response<Body>> {
    let slot = entry.slots.slot_of(&request.key);
    let deadline = Instant::now() + PEER_SLOT_WAIT_TIMEOUT;
    loop {
        let seen = entry.slots.changed().changes();
        if let Some(open) = open(entry, &request.key).await? {
            return serve(entry, config, open, request).await;
        }
        let holder = entry.slot_manager.probable_holder(slot);
        let is_held_by_peer = holder
            .as_ref()
            .is_some_and(|holder| *holder != entry.settings.entry_id);
        if is_held_by_peer || Instant::now() >= deadline {
            return Ok(not_held_response(slot, holder.filter(|_| is_held_by_peer)));
        }
        let changed = std::pin::pin!(entry.slots.changed().changed_since(seen));
        select(entry.timer.sleep(RETRY_DELAY), changed).await;
    }
}

/// Opens a conversation of a slot that this entry holds, and loads it from the object store first
/// if it is not in memory. `None` means that the entry does not hold the slot.
async fn open(entry: &Rc<Entry>, key: &ConversationKey) -> Result<Option<OpenConversation>> {
    loop {
        let object = match entry.slots.open(key) {
            Ok(open) => return Ok(Some(open)),
            Err(OpenError::NotHeld) => return Ok(None),
            Err(OpenError::Stored(object)) => object,
        };
        let loaded = recovery::load_conversation(&entry.platform, &object).await;
        let state = loaded.map_err(|error| {
            log::warn!(
                "could not load the evicted conversation from object `{object}`: {}",
                chain(&error)
            );
            let message = "the platform did not return the conversation; retry later";
            Error::new(ErrorKind::PlatformUnavailable, message)
        })?;
        entry.slots.restore(&object, state);
    }
}

async fn serve(
    entry: &Rc<Entry>,
    config: Rc<Config>,
    open: OpenConversation,
    request: ConversationRequest,
) -> Result<Response<Body>> {
    let context = CallContext {
        entry: entry.clone(),
        config,
        conversation: open,
        key: request.key,
        fingerprint: request.fingerprint,
    };
    match request.operation {
        Operation::State => read::state(&context),
        Operation::History => read::history(&context),
        Operation::StartRun(body) => run::start(context, body).await,
        Operation::SubAgent(run_id, body) => run::start_sub_agent(context, run_id, body).await,
        Operation::End(run_id, body) => run::end(context, run_id, body).await,
        Operation::Cancel(run_id, body) => run::cancel(context, run_id, body).await,
        Operation::CancelAll(body) => run::cancel_all(context, body).await,
        Operation::Turn(run_id, body) => turn::respond(context, run_id, body).await,
        Operation::ToolCall(run_id, body) => tool_call::respond(context, run_id, body).await,
    }
}

/// Forwards a request to `holder`. `None` means that it does not hold the slot or that the request
/// was not sent.
async fn forward_to_holder(
    entry: &Rc<Entry>,
    config: &Config,
    slot: SlotId,
    holder: &EntryId,
    request: &ConversationRequest,
) -> Result<Option<Response<Body>>> {
    let Some(row) = entry.membership.get(holder) else {
        entry.slot_manager.update_holder_hint(slot, None);
        return Ok(None);
    };
    let message = ForwardRequest {
        method: request.method.to_string(),
        path: request.path.clone(),
        team_id: request.key.team_id.clone(),
        headers: ForwardedCaller::new(config, request).to_headers(),
        body: request.body.clone(),
    };
    let seen = entry.membership.subscribe();
    let forwarding = std::pin::pin!(entry.peers.forward(row.peer_address, holder, message));
    let lost = std::pin::pin!(wait_until_holder_lost(entry, &row, seen));
    let answer = match select(forwarding, lost).await {
        futures_util::future::Either::Left((answer, _)) => answer,
        futures_util::future::Either::Right(_) => Err(PeerError::Interrupted(
            "the holder lost its lease".to_string(),
        )),
    };
    match answer {
        Ok((head, body)) => Ok(accept_response(entry, slot, head, body)),
        Err(PeerError::NotSent(reason)) => {
            log::debug!(entry = &**holder; "request was not forwarded: {reason}");
            entry.slot_manager.update_holder_hint(slot, None);
            Ok(None)
        }
        Err(error) => {
            entry.slot_manager.update_holder_hint(slot, None);
            let message = format!(
                "entry `{holder}` was lost while it processed the request; retry with the same \
                 request id"
            );
            Err(Error::new(ErrorKind::HolderLost, message).with_cause(error))
        }
    }
}

/// Completes when the incarnation of `row` is fenced or closed, so that a request does not keep
/// waiting for an unreachable entry.
async fn wait_until_holder_lost(
    entry: &Entry,
    row: &crate::process::rows::EntryRow,
    mut changes: crate::process::membership::Subscription,
) {
    use crate::process::rows::EntryState;
    loop {
        let current = entry.membership.get(&row.entry_id);
        let is_holder_alive = current.is_some_and(|current| {
            current.incarnation == row.incarnation
                && matches!(current.state, EntryState::Live | EntryState::Leaving)
        });
        if !is_holder_alive {
            return;
        }
        changes.changed().await;
    }
}

fn accept_response(
    entry: &Rc<Entry>,
    slot: SlotId,
    head: ForwardHead,
    body: ForwardBody,
) -> Option<Response<Body>> {
    let mut headers = headers_to_map(&head.headers);
    let version = headers.remove(CONFIG_VERSION_HEADER);
    let version = version.and_then(|version| version.to_str().ok()?.parse().ok());
    entry.config.observe_peer_version(version.unwrap_or(0));
    if headers.contains_key(NOT_HELD_HEADER) {
        let holder = headers
            .get(HOLDER_HEADER)
            .and_then(|value| value.to_str().ok());
        entry
            .slot_manager
            .update_holder_hint(slot, holder.map(EntryId::from));
        return None;
    }
    headers.remove(hyper::header::CONTENT_LENGTH);
    let (sender, body_out) = Body::stream();
    monoio::spawn(relay(body, sender));
    let mut response = Response::new(body_out);
    *response.status_mut() =
        StatusCode::from_u16(head.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.headers_mut() = headers;
    Some(response)
}

/// Copies the holder's response to the caller; a failure on either side aborts the other.
async fn relay(mut body: ForwardBody, mut sender: crate::connection::body::BodySender) {
    loop {
        let chunk = {
            let next = std::pin::pin!(body.next());
            let closed = std::pin::pin!(sender.closed());
            match select(next, closed).await {
                futures_util::future::Either::Left((chunk, _)) => chunk,
                futures_util::future::Either::Right(_) => return,
            }
        };
        match chunk {
            Some(Ok(chunk)) => {
                if sender.send(chunk).await.is_err() {
                    return;
                }
            }
            Some(Err(error)) => {
                log::info!("response of the lease holder was interrupted: {error}");
                return sender.abort().await;
            }
            None => return sender.end(),
        }
    }
}

fn slot_unavailable(slot: SlotId) -> Error {
    let message = format!("no entry serves slot {slot} at the moment; retry soon");
    Error::new(ErrorKind::SlotUnavailable, message)
}

fn not_held_response(slot: SlotId, holder: Option<EntryId>) -> Response<Body> {
    let mut response = crate::connection::http_server::error_response(&slot_unavailable(slot));
    let headers = response.headers_mut();
    headers.insert(NOT_HELD_HEADER, HeaderValue::from_static("1"));
    if let Some(value) = holder.and_then(|holder| HeaderValue::from_str(&holder).ok()) {
        headers.insert(HOLDER_HEADER, value);
    }
    response
}

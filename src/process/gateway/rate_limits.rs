//! Keeps the request rates that backend servers limit, for all gateways together.
//!
//! A gateway that is about to send a request to a limited server first asks the gateway that owns
//! the server's [`Allowance`], which is a live gateway of the server's own failure domain: if that
//! domain is cut off, so is the server. Gateways of one domain agree on who is live within two
//! seconds. Other designs do not use the limit, or exceed it: an equal share for each of 300
//! gateways is less than a request in 40 s, and a share by demand is known too late.
//!
//! Without an answer of the owner, the server counts as used up; other servers are tried.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::allowance::{Allowance, Decision, RequestClass};
use super::directory::{AllowanceOwner, Directory, GatewayRow};
use super::peers;
use super::server::{RateLimitReport, Server};
use super::servers::Servers;
use crate::connection::http_client::HttpClient;
use crate::ids::BackendServerId;
use crate::process::metrics;

/// Longest wait for the owner of an allowance, which answers from its memory.
const OWNER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which an owner that did not answer is not asked again. The other gateways of its domain
/// take over within three to four seconds.
const OWNER_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Delay before a server is tried again when no owner of its allowance answers.
const NO_OWNER_DELAY: Duration = Duration::from_millis(500);
/// Peers that are asked for one decision: the owner that this gateway knows, and the one that it
/// names instead.
const MAX_OWNERS_ASKED: usize = 2;
/// Largest response accepted from a peer.
const RESPONSE_LIMIT_BYTES: usize = 16 << 10;
/// Allowances without a request for this time are forgotten.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Asks the owner of a server's allowance for one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AllowanceRequest {
    /// The limit as the asking gateway knows it. The owner may not have heard of it yet.
    pub limit: RateLimitReport,
    /// The class of the request, as gateways of earlier builds know it.
    #[serde(rename = "class")]
    pub class_without_teams: usize,
    /// The class if teams have several priorities; otherwise `None`. Appended to the message, because
    /// gateways of earlier builds ignore what follows it.
    #[serde(skip)]
    pub team_class: Option<RequestClass>,
}

impl AllowanceRequest {
    /// Asks for one request of this class.
    pub fn new(limit: RateLimitReport, class: RequestClass) -> Self {
        Self {
            limit,
            class_without_teams: class.nearest_without_teams(),
            team_class: (!class.is_without_teams()).then_some(class),
        }
    }

    /// The class of the request.
    pub fn class(&self) -> RequestClass {
        self.team_class
            .unwrap_or_else(|| RequestClass::from(self.class_without_teams))
    }
}

/// The response to an [`AllowanceRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AllowanceResponse {
    /// The request may be sent.
    Granted,
    /// The allowance is used up.
    Exhausted {
        /// Time after which it is worth asking again.
        retry_after_ms: u32,
    },
    /// The server has ended its limit since.
    Unlimited(RateLimitReport),
    /// Another gateway owns the allowance; `None` if the asked one does not know which.
    NotOwner(Option<(String, GatewayRow)>),
}

struct OwnedAllowance {
    allowance: Allowance,
    used_at: Instant,
}

/// Grants requests to servers with a rate limit.
pub struct RateLimits {
    http: HttpClient,
    directory: Rc<Directory>,
    servers: Rc<Servers>,
    /// The allowances of the servers that this gateway owns, or has owned.
    owned: RefCell<IndexMap<(BackendServerId, Option<u64>), OwnedAllowance>>,
    /// Owners that did not answer, and when.
    unresponsive: RefCell<IndexMap<SocketAddr, Instant>>,
}

impl RateLimits {
    /// Makes the rate limits of a gateway, without any allowance.
    pub fn new(http: HttpClient, directory: Rc<Directory>, servers: Rc<Servers>) -> Self {
        Self {
            http,
            directory,
            servers,
            owned: RefCell::default(),
            unresponsive: RefCell::default(),
        }
    }

    /// Whether one request may be sent to `server` now. If not, the server takes no requests of that
    /// class for a while.
    pub async fn acquire(&self, server: &Server, class: RequestClass) -> bool {
        let now = Instant::now();
        let Some(limit) = server.rate_limit_report(now) else {
            return true;
        };
        if limit.limit_per_s.is_none() {
            return true;
        }
        let owner = self
            .directory
            .allowance_owner(&server.id, &server.failure_domain(), now);
        let decision = match owner {
            AllowanceOwner::Own => self.take(&limit, class, now),
            AllowanceOwner::Peers(owners) => self.ask(owners, limit, class).await,
        };
        let outcome = match decision {
            Some(Decision::Granted) => "granted",
            Some(Decision::Exhausted { .. }) => "exhausted",
            None => "no owner",
        };
        ::metrics::counter!(metrics::ALLOWANCE_DECISIONS, "outcome" => outcome).increment(1);
        let retry_after = match decision {
            Some(Decision::Granted) => return true,
            Some(Decision::Exhausted { retry_after }) => retry_after,
            None => NO_OWNER_DELAY,
        };
        server.exhaust_allowance(class, Instant::now() + retry_after);
        false
    }

    /// Decides as the owner of the allowance.
    fn take(&self, limit: &RateLimitReport, class: RequestClass, now: Instant) -> Option<Decision> {
        // Just after a start or a pause, the earlier owner may still decide.
        if !self.directory.is_settled(now) {
            return None;
        }
        let limit_per_s = limit.limit_per_s?;
        let key = (
            BackendServerId::from(limit.server_id.as_str()),
            limit.started_unix_ms,
        );
        let mut owned = self.owned.borrow_mut();
        let entry = owned.entry(key).or_insert_with(|| OwnedAllowance {
            allowance: Allowance::new(limit_per_s, now),
            used_at: now,
        });
        entry.used_at = now;
        entry.allowance.set_limit(limit_per_s, now);
        Some(entry.allowance.take(class, now))
    }

    /// Asks the first of `owners` that answers; `None` if none decides.
    async fn ask(
        &self,
        owners: Vec<SocketAddr>,
        limit: RateLimitReport,
        class: RequestClass,
    ) -> Option<Decision> {
        let now = Instant::now();
        self.unresponsive
            .borrow_mut()
            .retain(|_, failed_at| now.saturating_duration_since(*failed_at) < OWNER_RETRY_DELAY);
        let is_responsive = |owner: &SocketAddr| !self.unresponsive.borrow().contains_key(owner);
        let mut next = owners.into_iter().find(is_responsive);
        let request = AllowanceRequest::new(limit, class);
        for _ in 0..MAX_OWNERS_ASKED {
            let owner = next.take()?;
            let sent = self.http.fetch(
                owner,
                peers::allowance_request(&request),
                OWNER_TIMEOUT,
                RESPONSE_LIMIT_BYTES,
            );
            let response = sent.await.ok();
            let response = response.and_then(|response| peers::decode_allowance(&response));
            match response {
                Some(AllowanceResponse::Granted) => return Some(Decision::Granted),
                Some(AllowanceResponse::Exhausted { retry_after_ms }) => {
                    let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                    return Some(Decision::Exhausted { retry_after });
                }
                Some(AllowanceResponse::Unlimited(limit)) => {
                    self.servers.merge_rate_limits(&[limit], Instant::now());
                    return Some(Decision::Granted);
                }
                Some(AllowanceResponse::NotOwner(named)) => {
                    let (id, row) = named?;
                    next = Some(row.peer_address).filter(is_responsive);
                    self.directory.learn_from_peer(&id, row, Instant::now());
                }
                None => {
                    log::info!(peer:% = owner, server = request.limit.server_id; "peer did not respond to an allowance request");
                    self.unresponsive.borrow_mut().insert(owner, Instant::now());
                    return None;
                }
            }
        }
        None
    }

    /// Decides on a request of another gateway.
    pub fn handle(&self, request: AllowanceRequest) -> AllowanceResponse {
        let now = Instant::now();
        let limits = std::slice::from_ref(&request.limit);
        self.servers.merge_rate_limits(limits, now);
        let server_id = &request.limit.server_id;
        let Some(server) = self.servers.get(server_id) else {
            return AllowanceResponse::NotOwner(None);
        };
        let domain = server.failure_domain();
        if self.directory.allowance_owner(server_id, &domain, now) != AllowanceOwner::Own {
            let owner = self.directory.allowance_owner_row(server_id, &domain, now);
            return AllowanceResponse::NotOwner(owner);
        }
        let class = request.class();
        let known = server.rate_limit_report(now);
        let known = known.filter(|known| known.started_unix_ms == request.limit.started_unix_ms);
        let limit = known.unwrap_or(request.limit);
        if limit.limit_per_s.is_none() {
            return AllowanceResponse::Unlimited(limit);
        }
        match self.take(&limit, class, now) {
            Some(Decision::Granted) => AllowanceResponse::Granted,
            Some(Decision::Exhausted { retry_after }) => AllowanceResponse::Exhausted {
                retry_after_ms: retry_after.as_millis() as u32,
            },
            None => AllowanceResponse::NotOwner(None),
        }
    }

    /// Forgets the allowances that nobody uses any more.
    pub fn remove_idle(&self, now: Instant) {
        let is_used =
            |owned: &OwnedAllowance| now.saturating_duration_since(owned.used_at) < IDLE_TIMEOUT;
        self.owned.borrow_mut().retain(|_, owned| is_used(owned));
    }
}

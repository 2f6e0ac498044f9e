//! The client library for callers, against fake entries.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode};
use monoio::{LegacyDriver, RuntimeBuilder};
use sapphireford::caller::script::{OutputFormat, Script, ScriptRunner};
use sapphireford::caller::{CallError, Caller, CallerOptions, ServiceCall, TurnEvent};
use sapphireford::connection::body::Body;
use sapphireford::connection::http_client::HttpClient;
use sapphireford::connection::http_server::{
    Handler, HttpLimits, Server, error_response, json_response, serve,
};
use sapphireford::connection::sse;
use sapphireford::error::{Error, ErrorKind, Ran};
use sapphireford::process::timer::TimerService;
use sapphireford::request::api::*;
use serde_json::{Value, json};

/// How a fake entry answers a request other than `GET /v1/entries`.
#[derive(Clone, Copy)]
enum Reply {
    Run,
    Fail(ErrorKind),
    /// Accepts the request, then closes the connection without an answer.
    Abort,
    /// Like `Abort`; from then on refuses the key on `GET /v1/entries`.
    AbortAndRevokeKey,
    /// Sends two tokens, then closes the connection.
    AbortStream,
    Stream,
}

#[derive(Default)]
struct FakeEntry {
    listed_addresses: RefCell<Vec<SocketAddr>>,
    replies: RefCell<Vec<Reply>>,
    entries_requests: RefCell<u32>,
    bodies: RefCell<Vec<Value>>,
    paths: RefCell<Vec<String>>,
    is_key_revoked: Cell<bool>,
}

impl Handler for FakeEntry {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        if request.uri().path() == "/v1/entries" {
            *self.entries_requests.borrow_mut() += 1;
            if self.is_key_revoked.get() {
                return error_response(&Error::new(ErrorKind::Unauthorized, "revoked"));
            }
            return json_response(StatusCode::OK, &self.entries());
        }
        let body = serde_json::from_slice(request.body()).unwrap_or(Value::Null);
        self.bodies.borrow_mut().push(body);
        let path = request.uri().path().to_string();
        self.paths.borrow_mut().push(path);
        let reply = match self.replies.borrow_mut().as_mut_slice() {
            [] => Reply::Run,
            replies => replies[0],
        };
        if self.replies.borrow().len() > 1 {
            self.replies.borrow_mut().remove(0);
        }
        self.is_key_revoked
            .set(matches!(reply, Reply::AbortAndRevokeKey));
        respond(reply).await
    }
}

impl FakeEntry {
    fn entries(&self) -> EntriesAnswer {
        let entry = |address: &SocketAddr| EntryAddress {
            entry_id: "fake".into(),
            address: *address,
            failure_domain: "fake".into(),
        };
        EntriesAnswer {
            entries: self.listed_addresses.borrow().iter().map(entry).collect(),
            ttl_ms: 60_000,
        }
    }
}

async fn respond(reply: Reply) -> Response<Body> {
    let (mut sender, body) = Body::stream();
    let aborts = !matches!(reply, Reply::Stream);
    let tokens = match reply {
        Reply::Run => {
            let answer = json!({"run_id": 7, "budget_micros": 100});
            return json_response(StatusCode::OK, &answer);
        }
        Reply::Fail(kind) => return error_response(&Error::new(kind, "refused by the test")),
        Reply::Abort | Reply::AbortAndRevokeKey => 0,
        Reply::AbortStream => 2,
        Reply::Stream => 3,
    };
    monoio::spawn(async move {
        for index in 0..tokens {
            let text = format!("t{index} ");
            let _ = sender
                .send(sse::encode_event(EVENT_TOKEN, &TokenEvent { index, text }))
                .await;
        }
        if aborts {
            // When a body is aborted, the server drops the chunks that it has not flushed yet.
            monoio::time::sleep(Duration::from_millis(50)).await;
            return sender.abort().await;
        }
        let done = json!({"request_id": "r", "turn": 1, "prompt_tokens": 5, "cached_tokens": 0, "output_tokens": 3, "cost_micros": 8, "spent_micros": 8, "remaining_micros": 92, "finish_reason": "stop"});
        let _ = sender.send(sse::encode_event(EVENT_DONE, &done)).await;
        sender.end();
    });
    Response::new(body)
}

struct Site {
    entries: Vec<(Rc<FakeEntry>, Server)>,
    caller: Caller,
}

/// Starts a fake entry for each list of replies. Each of them lists all entries in order; the caller is
/// configured with the address of the first.
fn site(replies: &[&[Reply]]) -> Site {
    let timer = TimerService::start();
    let start = |replies: &&[Reply]| {
        let entry = Rc::new(FakeEntry::default());
        *entry.replies.borrow_mut() = replies.to_vec();
        let address = "127.0.0.1:0".parse().unwrap();
        let server = serve(address, HttpLimits::default(), timer.clone(), entry.clone()).unwrap();
        (entry, server)
    };
    let entries: Vec<_> = replies.iter().map(start).collect();
    let addresses: Vec<_> = entries.iter().map(|(_, server)| server.address()).collect();
    for (entry, _) in &entries {
        *entry.listed_addresses.borrow_mut() = addresses.clone();
    }
    let http = HttpClient::new(timer);
    let caller = Caller::new(http, vec![addresses[0]], "key").unwrap();
    let options = CallerOptions {
        call_timeout: Duration::from_secs(10),
        max_attempts: 4,
        ..CallerOptions::default()
    };
    Site {
        entries,
        caller: caller.with_options(options),
    }
}

impl Site {
    fn bodies(&self, entry: usize) -> Vec<Value> {
        self.entries[entry].0.bodies.borrow().clone()
    }
}

fn block_on<F: Future>(future: F) -> F::Output {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    runtime.block_on(future)
}

fn start_body() -> StartRunBody {
    StartRunBody {
        request_id: "r".into(),
        program: "p".into(),
        budget_micros: None,
    }
}

fn turn_body() -> TurnBody {
    TurnBody {
        request_id: "r".into(),
        input: "hello".to_string(),
        max_output_tokens: 8,
        sequence: None,
    }
}

fn service_call(may_repeat: bool) -> ServiceCall {
    ServiceCall {
        service: "s".to_string(),
        method: Method::POST,
        path: "orders".to_string(),
        content_type: "application/json".to_string(),
        body: Bytes::from_static(b"1"),
        may_repeat,
    }
}

/// Guards against a request for the addresses of entries before each call, instead of one per
/// conversation.
#[test]
fn entry_addresses_are_cached_per_conversation() {
    block_on(async {
        let site = site(&[&[Reply::Run]]);
        site.caller.start_run("c", start_body()).await.unwrap();
        site.caller.start_run("c", start_body()).await.unwrap();
        assert_eq!(*site.entries[0].0.entries_requests.borrow(), 1);
        site.caller.start_run("other", start_body()).await.unwrap();
        assert_eq!(*site.entries[0].0.entries_requests.borrow(), 2);
    });
}

/// Guards against a caller that fails, or sends the request twice, when nothing listens on the first
/// address.
#[test]
fn unsent_request_goes_to_next_entry() {
    block_on(async {
        let site = site(&[&[Reply::Run], &[Reply::Run]]);
        let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let unreachable = closed.local_addr().unwrap();
        drop(closed);
        for (entry, _) in &site.entries {
            entry.listed_addresses.borrow_mut().insert(0, unreachable);
        }
        let answer = site.caller.start_run("c", start_body()).await.unwrap();
        assert_eq!(answer.run_id, 7);
        assert_eq!(site.bodies(0).len() + site.bodies(1).len(), 1);
    });
}

/// Guards against a retry before the delay that the refusal asks for, and against no retry despite
/// `ran: no`.
#[test]
fn refused_request_is_retried_after_its_retry_delay() {
    block_on(async {
        let site = site(&[&[Reply::Fail(ErrorKind::Leaving)], &[Reply::Run]]);
        let start = Instant::now();
        site.caller.start_run("c", start_body()).await.unwrap();
        let retry_after = ErrorKind::Leaving.answer().retry_after.unwrap();
        assert!(start.elapsed() >= retry_after);
        assert_eq!(site.bodies(0), site.bodies(1));
    });
}

/// Guards against the retry of a request whose refusal is final.
#[test]
fn final_refusal_is_not_retried() {
    block_on(async {
        let site = site(&[&[Reply::Fail(ErrorKind::BudgetExceeded)], &[Reply::Run]]);
        let error = site.caller.start_run("c", start_body()).await.unwrap_err();
        assert!(
            matches!(&error, CallError::Refused(402, detail) if detail.kind == "budget_exceeded")
        );
        assert_eq!(error.ran(), Ran::No);
        assert_eq!(site.bodies(1).len(), 0);
    });
}

/// Guards against a second execution after an interrupted attempt, which a retry with a new request id
/// would cause.
#[test]
fn interrupted_request_is_retried_with_same_id_at_another_entry() {
    block_on(async {
        let site = site(&[&[Reply::Abort], &[Reply::Run]]);
        site.caller.start_run("c", start_body()).await.unwrap();
        assert_eq!(site.bodies(0), site.bodies(1));
        let entries_requests =
            |(entry, _): &(Rc<FakeEntry>, Server)| *entry.entries_requests.borrow();
        assert_eq!(site.entries.iter().map(entries_requests).sum::<u32>(), 2);
    });
}

/// Guards against output that mixes the tokens of two attempts of one turn.
#[test]
fn interrupted_stream_is_restarted() {
    block_on(async {
        let site = site(&[&[Reply::AbortStream], &[Reply::Stream]]);
        let mut stream = site.caller.run_turn("c", 7, turn_body()).await.unwrap();
        let mut output = String::new();
        let mut restarts = 0;
        while let Some(event) = stream.next().await.unwrap() {
            match event {
                TurnEvent::Token(token) => output.push_str(&token.text),
                TurnEvent::Restarted => {
                    restarts += 1;
                    output.clear();
                }
                TurnEvent::Start(_) | TurnEvent::Done(_) => {}
                TurnEvent::Error(detail) => panic!("{detail:?}"),
            }
        }
        assert_eq!((output.as_str(), restarts), ("t0 t1 t2 ", 1));
        assert_eq!(site.bodies(0), site.bodies(1));
    });
}

/// Guards against a second execution of a service call, for example a second booking: it has no request
/// id by which a repeat could be recognised.
#[test]
fn interrupted_service_call_is_retried_only_if_repeatable() {
    block_on(async {
        let broken = site(&[&[Reply::Abort], &[Reply::Run]]);
        let error = broken.caller.call_service(service_call(false)).await;
        assert_eq!(error.unwrap_err().ran(), Ran::Unknown);
        assert_eq!((broken.bodies(0).len(), broken.bodies(1).len()), (1, 0));
        let refused = site(&[&[Reply::Fail(ErrorKind::Leaving)], &[Reply::Run]]);
        refused
            .caller
            .call_service(service_call(false))
            .await
            .unwrap();
        let allowed = site(&[&[Reply::Abort], &[Reply::Run]]);
        allowed
            .caller
            .call_service(service_call(true))
            .await
            .unwrap();
        assert_eq!((allowed.bodies(0).len(), allowed.bodies(1).len()), (1, 1));
    });
}

/// Guards against a path with two consecutive slashes, which no route of a service matches.
#[test]
fn leading_slash_of_service_path_is_not_doubled() {
    block_on(async {
        let site = site(&[&[Reply::Run]]);
        let mut call = service_call(false);
        call.path.insert(0, '/');
        site.caller.call_service(call).await.unwrap();
        let paths = site.entries[0].0.paths.borrow().clone();
        assert_eq!(paths, ["/v1/services/s/orders"]);
    });
}

/// Guards against a reported `ran: no` when an earlier, interrupted attempt may have run the request.
#[test]
fn refusal_after_interrupted_attempt_leaves_ran_unknown() {
    block_on(async {
        let refused = site(&[&[Reply::Abort], &[Reply::Fail(ErrorKind::NotFound)]]);
        let revoked = site(&[&[Reply::AbortAndRevokeKey]]);
        for site in [refused, revoked] {
            let error = site.caller.start_run("c", start_body()).await.unwrap_err();
            assert!(matches!(error, CallError::Refused(..)), "{error:?}");
            assert_eq!(error.ran(), Ran::Unknown);
        }
    });
}

/// Guards against unlimited attempts when no entry answers.
#[test]
fn unanswered_request_fails_after_maximum_attempts() {
    block_on(async {
        let site = site(&[&[Reply::Abort]]);
        let error = site.caller.start_run("c", start_body()).await.unwrap_err();
        assert!(matches!(
            error,
            CallError::RetriesExhausted { attempts: 4, .. }
        ));
        assert_eq!(site.bodies(0).len(), 4);
    });
}

/// Guards against conversation ids that would change the path of a request.
#[test]
fn request_with_malformed_id_is_not_sent() {
    block_on(async {
        let site = site(&[&[Reply::Run]]);
        for id in ["", "a/b", "a b", "é", &"x".repeat(129)] {
            let error = site.caller.start_run(id, start_body()).await.unwrap_err();
            assert!(matches!(error, CallError::InvalidBody(_)), "{id}");
        }
        assert_eq!(site.bodies(0).len(), 0);
    });
}

/// Guards against a script that does not resolve the run of an earlier step, or that passes although an
/// expected error did not occur.
#[test]
fn script_resolves_named_runs_and_reports_missing_errors() {
    block_on(async {
        let refusal = Reply::Fail(ErrorKind::BudgetExceeded);
        let site = site(&[&[Reply::Run, Reply::Stream, refusal, Reply::Run]]);
        let script = json!({"steps": [ {"step": "start", "conversation": "c", "program": "p", "name": "main"}, {"step": "turn", "conversation": "c", "run": "main", "input": "hello"}, {"step": "turn", "conversation": "c", "run": 7, "input": "hello", "expect_error": "budget_exceeded"}, {"step": "start", "conversation": "c", "program": "p", "expect_error": "not_found"} ]});
        let script: Script = serde_json::from_value(script).unwrap();
        let mut output = Vec::new();
        let mut runner = ScriptRunner::new(site.caller.clone(), &mut output, OutputFormat::Text);
        let error = runner.run_script(script).await.unwrap_err();
        assert!(error.to_string().contains("`not_found`"), "{error}");
        let output = String::from_utf8(output).unwrap();
        assert!(output.contains("t0 t1 t2"), "{output}");
        assert!(output.contains("cost 8 micros"), "{output}");
    });
}

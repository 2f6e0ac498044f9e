//! The client library for callers against a fake entry.

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

/// What a fake entry does with a request other than `GET /v1/entries`.
#[derive(Clone, Copy)]
enum Reply {
    Run,
    Fail(ErrorKind),
    /// Takes the request and breaks the connection off.
    Break,
    /// The same, and refuses the key from then on.
    BreakAndRevoke,
    /// Sends two tokens, then breaks the connection off.
    BreakStream,
    Stream,
}

#[derive(Default)]
struct FakeEntry {
    listed: RefCell<Vec<SocketAddr>>,
    replies: RefCell<Vec<Reply>>,
    entries_asked: RefCell<u32>,
    bodies: RefCell<Vec<Value>>,
    paths: RefCell<Vec<String>>,
    revoked: Cell<bool>,
}

impl Handler for FakeEntry {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        if request.uri().path() == "/v1/entries" {
            *self.entries_asked.borrow_mut() += 1;
            if self.revoked.get() {
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
        self.revoked.set(matches!(reply, Reply::BreakAndRevoke));
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
            entries: self.listed.borrow().iter().map(entry).collect(),
            ttl_ms: 60_000,
        }
    }
}

async fn respond(reply: Reply) -> Response<Body> {
    let (mut sender, body) = Body::stream();
    let breaks = !matches!(reply, Reply::Stream);
    let tokens = match reply {
        Reply::Run => {
            let answer = json!({"run_id": 7, "budget_micros": 100});
            return json_response(StatusCode::OK, &answer);
        }
        Reply::Fail(kind) => return error_response(&Error::new(kind, "as the test demands")),
        Reply::Break | Reply::BreakAndRevoke => 0,
        Reply::BreakStream => 2,
        Reply::Stream => 3,
    };
    monoio::spawn(async move {
        for index in 0..tokens {
            let text = format!("t{index} ");
            let _ = sender
                .send(sse::encode_event(EVENT_TOKEN, &TokenEvent { index, text }))
                .await;
        }
        if breaks {
            // The server drops chunks that it has not flushed when the body is aborted.
            monoio::time::sleep(Duration::from_millis(50)).await;
            return sender.abort().await;
        }
        let done = json!({"request_id": "r", "turn": 1, "prompt_tokens": 5, "cached_tokens": 0, "output_tokens": 3, "cost_micros": 8, "spent_micros": 8, "remaining_micros": 92, "finish_reason": "stop"});
        let _ = sender.send(sse::encode_event(EVENT_DONE, &done)).await;
    });
    Response::new(body)
}

struct Site {
    entries: Vec<(Rc<FakeEntry>, Server)>,
    caller: Caller,
}

/// Starts fake entries, each of which lists all of them in order; the first one is the seed.
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
        *entry.listed.borrow_mut() = addresses.clone();
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

/// Guards against asking for addresses before each request.
#[test]
fn addresses_are_cached() {
    block_on(async {
        let site = site(&[&[Reply::Run]]);
        site.caller.start_run("c", start_body()).await.unwrap();
        site.caller.start_run("c", start_body()).await.unwrap();
        assert_eq!(*site.entries[0].0.entries_asked.borrow(), 1);
        site.caller.start_run("other", start_body()).await.unwrap();
        assert_eq!(*site.entries[0].0.entries_asked.borrow(), 2);
    });
}

/// Guards against giving up, or against two executions, when the first address does not listen.
#[test]
fn a_request_that_was_not_sent_goes_to_the_next_entry() {
    block_on(async {
        let site = site(&[&[Reply::Run], &[Reply::Run]]);
        let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let unreachable = closed.local_addr().unwrap();
        drop(closed);
        for (entry, _) in &site.entries {
            entry.listed.borrow_mut().insert(0, unreachable);
        }
        let answer = site.caller.start_run("c", start_body()).await.unwrap();
        assert_eq!(answer.run_id, 7);
        assert_eq!(site.bodies(0).len() + site.bodies(1).len(), 1);
    });
}

/// Guards against coming back earlier than the answer asks, and against ignoring `ran: no`.
#[test]
fn a_refusal_is_repeated_after_the_time_that_it_names() {
    block_on(async {
        let site = site(&[&[Reply::Fail(ErrorKind::Leaving)], &[Reply::Run]]);
        let began = Instant::now();
        site.caller.start_run("c", start_body()).await.unwrap();
        let named = ErrorKind::Leaving.answer().retry_after.unwrap();
        assert!(began.elapsed() >= named);
        assert_eq!(site.bodies(0), site.bodies(1));
    });
}

/// Guards against repeating a request whose answer is final.
#[test]
fn a_final_refusal_is_not_repeated() {
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

/// Guards against a second execution after a broken connection: the request id must stay the same.
#[test]
fn a_broken_request_is_repeated_with_its_id_at_another_entry() {
    block_on(async {
        let site = site(&[&[Reply::Break], &[Reply::Run]]);
        site.caller.start_run("c", start_body()).await.unwrap();
        assert_eq!(site.bodies(0), site.bodies(1));
        let asked = |(entry, _): &(Rc<FakeEntry>, Server)| *entry.entries_asked.borrow();
        assert_eq!(site.entries.iter().map(asked).sum::<u32>(), 2);
    });
}

/// Guards against mixing the output of two attempts of one turn.
#[test]
fn a_broken_stream_is_restarted() {
    block_on(async {
        let site = site(&[&[Reply::BreakStream], &[Reply::Stream]]);
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

/// Guards against a second booking: a service call has no request id that would prevent it.
#[test]
fn a_service_call_is_repeated_only_if_it_may_be() {
    block_on(async {
        let broken = site(&[&[Reply::Break], &[Reply::Run]]);
        let error = broken.caller.call_service(service_call(false)).await;
        assert_eq!(error.unwrap_err().ran(), Ran::Unknown);
        assert_eq!((broken.bodies(0).len(), broken.bodies(1).len()), (1, 0));
        let refused = site(&[&[Reply::Fail(ErrorKind::Leaving)], &[Reply::Run]]);
        refused
            .caller
            .call_service(service_call(false))
            .await
            .unwrap();
        let allowed = site(&[&[Reply::Break], &[Reply::Run]]);
        allowed
            .caller
            .call_service(service_call(true))
            .await
            .unwrap();
        assert_eq!((allowed.bodies(0).len(), allowed.bodies(1).len()), (1, 1));
    });
}

/// Guards against a path with two slashes, which no route of a service matches.
#[test]
fn a_service_path_may_begin_with_a_slash() {
    block_on(async {
        let site = site(&[&[Reply::Run]]);
        let mut call = service_call(false);
        call.path.insert(0, '/');
        site.caller.call_service(call).await.unwrap();
        let paths = site.entries[0].0.paths.borrow().clone();
        assert_eq!(paths, ["/v1/services/s/orders"]);
    });
}

/// Guards against `ran: no` about a request that an earlier attempt may have executed.
#[test]
fn a_refusal_after_a_broken_attempt_is_not_certain() {
    block_on(async {
        let refused = site(&[&[Reply::Break], &[Reply::Fail(ErrorKind::NotFound)]]);
        let revoked = site(&[&[Reply::BreakAndRevoke]]);
        for site in [refused, revoked] {
            let error = site.caller.start_run("c", start_body()).await.unwrap_err();
            assert!(matches!(error, CallError::Refused(..)), "{error:?}");
            assert_eq!(error.ran(), Ran::Unknown);
        }
    });
}

/// Guards against endless attempts when nobody answers.
#[test]
fn attempts_are_bounded() {
    block_on(async {
        let site = site(&[&[Reply::Break]]);
        let error = site.caller.start_run("c", start_body()).await.unwrap_err();
        assert!(matches!(
            error,
            CallError::RetriesExhausted { attempts: 4, .. }
        ));
        assert_eq!(site.bodies(0).len(), 4);
    });
}

/// Guards against ids that would change the path of a request.
#[test]
fn malformed_ids_are_not_sent() {
    block_on(async {
        let site = site(&[&[Reply::Run]]);
        for id in ["", "a/b", "a b", "é", &"x".repeat(129)] {
            let error = site.caller.start_run(id, start_body()).await.unwrap_err();
            assert!(matches!(error, CallError::InvalidBody(_)), "{id}");
        }
        assert_eq!(site.bodies(0).len(), 0);
    });
}

/// Guards against a script that loses the run of an earlier step or hides a missing refusal.
#[test]
fn a_script_names_runs_and_expects_errors() {
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

//! The clients of engines and tools, against a fake server whose answer the test selects.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Request, Response, StatusCode};
use sapphireford::connection::body::Body;
use sapphireford::connection::engine::{
    ChatMessage, CompletionEvent, CompletionLimits, CompletionRequest, CompletionStream,
    EngineClient, EngineError, Usage,
};
use sapphireford::connection::http_client::HttpClient;
use sapphireford::connection::http_server::{Handler, HttpLimits, Server, serve};
use sapphireford::connection::tool::{ToolClient, ToolError};
use sapphireford::process::timer::TimerService;

const COMPLETION_STREAM: &str = concat!(
    "data: {\"choices\":[{\"delta\":{\"content\":\"gr\u{fc}\"},\"finish_reason\":null}]}\n\n",
    ": comment\r\n\r\n",
    "data: {\"choices\":[{\"delta\":{\"content\":\"n\"},\"finish_reason\":\"stop\"}]}\n\n",
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2,",
    "\"cached_tokens\":5}}\n\n",
    "data: [DONE]\n\n",
);
const LONG_TIMEOUT: Duration = Duration::from_secs(5);
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// How the fake server answers a request.
#[derive(Clone, Copy)]
enum Answer {
    /// Sends the stream in two chunks, split before this byte.
    SplitAt(usize),
    /// Sends the stream up to this byte, then aborts the connection.
    AbortAt(usize),
    /// Sends the stream up to this byte, then ends the body without a transport error.
    EndAt(usize),
    /// Sends the stream up to this byte, then sends nothing and keeps the connection open.
    HangAt(usize),
    /// Refuses the request with this status.
    Status(u16),
}

struct FakeServer {
    answer: Cell<Answer>,
    timer: TimerService,
    is_closed: Rc<Cell<bool>>,
}

impl Handler for FakeServer {
    async fn handle(&self, _request: Request<Bytes>) -> Response<Body> {
        let (mut sender, body) = Body::stream();
        let stream = Bytes::from_static(COMPLETION_STREAM.as_bytes());
        let (timer, closed) = (self.timer.clone(), self.is_closed.clone());
        match self.answer.get() {
            Answer::Status(status) => {
                let mut response = Response::new(Body::full("no such model"));
                *response.status_mut() = StatusCode::from_u16(status).expect("a status");
                return response;
            }
            Answer::HangAt(at) => {
                monoio::spawn(async move {
                    let _ = sender.send(stream.slice(..at)).await;
                    sender.closed().await;
                    closed.set(true);
                });
            }
            Answer::SplitAt(at) => {
                monoio::spawn(async move {
                    let _ = sender.send(stream.slice(..at)).await;
                    timer.sleep(Duration::from_millis(1)).await;
                    let _ = sender.send(stream.slice(at..)).await;
                    sender.end();
                });
            }
            Answer::AbortAt(at) => {
                monoio::spawn(async move {
                    let _ = sender.send(stream.slice(..at)).await;
                    sender.abort().await;
                });
            }
            Answer::EndAt(at) => {
                monoio::spawn(async move {
                    let _ = sender.send(stream.slice(..at)).await;
                    sender.end();
                });
            }
        }
        Response::new(body)
    }
}

struct Site {
    timer: TimerService,
    fake_server: Rc<FakeServer>,
    server: Server,
    http: HttpClient,
}

fn run<F: Future>(answer: Answer, test: impl FnOnce(Site) -> F) {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .expect("build a runtime");
    runtime.block_on(async {
        let timer = TimerService::start();
        let fake_server = Rc::new(FakeServer {
            answer: Cell::new(answer),
            timer: timer.clone(),
            is_closed: Rc::default(),
        });
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let limits = HttpLimits::default();
        let server = serve(address, limits, timer.clone(), fake_server.clone()).expect("listen");
        let http = HttpClient::new(timer.clone());
        test(Site {
            timer,
            fake_server,
            server,
            http,
        })
        .await;
    });
}

impl Site {
    async fn complete(&self) -> Result<CompletionStream, EngineError> {
        let request = CompletionRequest {
            model: "m".into(),
            messages: vec![ChatMessage {
                role: "user".into(),
                content: "which colour?".into(),
            }],
            max_tokens: 10,
            cache_key: "c".into(),
        };
        let limits = CompletionLimits {
            head_timeout: LONG_TIMEOUT,
        };
        EngineClient::new(self.http.clone(), LONG_TIMEOUT)
            .complete(self.server.address(), &request, limits)
            .await
    }
}

async fn read_events(stream: &mut CompletionStream) -> Result<Vec<CompletionEvent>, EngineError> {
    let mut events = Vec::new();
    while let Some(event) = stream.next(LONG_TIMEOUT).await? {
        events.push(event);
    }
    Ok(events)
}

/// Guards against lost or corrupted tokens when the network splits the stream, even within a character,
/// and against connections that are not reused after a complete stream.
#[test]
fn stream_split_at_any_byte_yields_the_same_events() {
    run(Answer::SplitAt(1), |site| async move {
        let expected = [
            CompletionEvent::Token("gr\u{fc}".to_string()),
            CompletionEvent::Token("n".to_string()),
            CompletionEvent::Finished {
                finish_reason: "stop".to_string(),
                usage: Usage {
                    prompt_tokens: 7,
                    completion_tokens: 2,
                    cached_tokens: 5,
                },
            },
        ];
        for at in 1..COMPLETION_STREAM.len() {
            site.fake_server.answer.set(Answer::SplitAt(at));
            let mut stream = site.complete().await.expect("start a completion");
            let events = read_events(&mut stream).await.expect("read the events");
            assert_eq!(events, expected, "split at byte {at}");
            drop(stream);
            // Lets the end of the body arrive, which releases the connection for reuse.
            site.timer.sleep(Duration::from_millis(3)).await;
        }
        assert!(site.server.open_connections() < COMPLETION_STREAM.len() / 10);
    });
}

/// Guards against treating a stream as complete that was aborted, or that ended early without a
/// transport error.
#[test]
fn incomplete_stream_is_reported_as_interrupted() {
    run(Answer::HangAt(0), |site| async move {
        for at in 1..COMPLETION_STREAM.len() - 1 {
            for answer in [Answer::AbortAt(at), Answer::EndAt(at)] {
                site.fake_server.answer.set(answer);
                let mut stream = site.complete().await.expect("start a completion");
                let result = read_events(&mut stream).await;
                assert!(
                    matches!(result, Err(EngineError::Interrupted(_))),
                    "cut at byte {at}: {result:?}"
                );
                let after = stream.next(LONG_TIMEOUT).await;
                assert!(matches!(after, Ok(None)), "an event followed an error");
            }
        }
    });
}

/// Guards against a refusal that is treated as a call which the engine has processed.
#[test]
fn refusal_carries_status_and_body_and_is_unprocessed() {
    run(Answer::Status(503), |site| async move {
        let error = site.complete().await.err().expect("a refusal");
        assert!(error.is_unprocessed());
        let EngineError::Refused(503, body) = error else {
            panic!("not a refusal: {error}");
        };
        assert_eq!(body, "no such model");
    });
}

/// Guards against a call that waits for a hanging engine without limit, and against an engine that
/// keeps computing after the call timed out because its connection stays open.
#[test]
fn hanging_stream_times_out_and_closes_its_connection() {
    run(Answer::HangAt(0), |site| async move {
        let mut stream = site.complete().await.expect("start a completion");
        let started = Instant::now();
        let result = stream.next(SHORT_TIMEOUT).await;
        assert!(matches!(result, Err(EngineError::TimedOut(_))));
        assert!(started.elapsed() < LONG_TIMEOUT);
        site.timer.sleep(SHORT_TIMEOUT).await;
        assert!(
            site.fake_server.is_closed.get(),
            "the connection was not closed"
        );
    });
}

/// Guards against an engine that keeps computing after the caller has disconnected, because its
/// connection stays open.
#[test]
fn dropped_stream_closes_its_connection() {
    run(Answer::HangAt(0), |site| async move {
        for at in [0, 1, COMPLETION_STREAM.len() - 3] {
            site.fake_server.answer.set(Answer::HangAt(at));
            site.fake_server.is_closed.set(false);
            let mut stream = site.complete().await.expect("start a completion");
            let _ = site
                .timer
                .timeout(SHORT_TIMEOUT, read_events(&mut stream))
                .await;
            assert!(
                !site.fake_server.is_closed.get(),
                "the connection closed early"
            );
            drop(stream);
            site.timer.sleep(SHORT_TIMEOUT).await;
            assert!(
                site.fake_server.is_closed.get(),
                "the connection was not closed at byte {at}"
            );
        }
    });
}

/// Guards against the retry of an action that may have run, and against an action left in doubt although
/// it certainly did not run.
#[test]
fn tool_error_distinguishes_refused_unsent_and_unknown_outcome() {
    run(Answer::Status(422), |site| async move {
        let tool = ToolClient::new(site.http.clone(), LONG_TIMEOUT);
        let arguments = serde_json::json!({"seat": 4});
        let address = site.server.address();
        let unused_address = SocketAddr::from(([127, 0, 0, 1], 1));
        let refused = tool
            .run(address, "a-1", "book", &arguments, LONG_TIMEOUT)
            .await;
        assert!(matches!(refused, Err(ToolError::Refused(422, _))));
        let not_sent = tool
            .run(unused_address, "a-1", "book", &arguments, LONG_TIMEOUT)
            .await;
        assert!(matches!(not_sent, Err(ToolError::NotSent(_))));
        for answer in [Answer::HangAt(0), Answer::AbortAt(10), Answer::SplitAt(10)] {
            site.fake_server.answer.set(answer);
            let unknown = tool
                .run(address, "a-1", "book", &arguments, SHORT_TIMEOUT)
                .await;
            assert!(matches!(unknown, Err(ToolError::OutcomeUnknown(_))));
        }
    });
}

//! The clients of engines and tools, against a small server that answers as the test wants.

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

const STREAM: &str = concat!(
    "data: {\"choices\":[{\"delta\":{\"content\":\"gr\u{fc}\"},\"finish_reason\":null}]}\n\n",
    ": comment\r\n\r\n",
    "data: {\"choices\":[{\"delta\":{\"content\":\"n\"},\"finish_reason\":\"stop\"}]}\n\n",
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2,",
    "\"cached_tokens\":5}}\n\n",
    "data: [DONE]\n\n",
);
const LONG: Duration = Duration::from_secs(5);
const SHORT: Duration = Duration::from_millis(100);

/// What the server does with a request.
#[derive(Clone, Copy)]
enum Script {
    /// Sends the stream in two chunks, split at this byte.
    Split(usize),
    /// Breaks the stream off before this byte.
    Break(usize),
    /// Ends the stream properly, but before this byte.
    End(usize),
    /// Sends the stream up to this byte and then nothing.
    Hang(usize),
    /// Answers with this status.
    Status(u16),
}

struct Fake {
    script: Cell<Script>,
    timer: TimerService,
    closed: Rc<Cell<bool>>,
}

impl Handler for Fake {
    async fn handle(&self, _request: Request<Bytes>) -> Response<Body> {
        let (mut sender, body) = Body::stream();
        let stream = Bytes::from_static(STREAM.as_bytes());
        let (timer, closed) = (self.timer.clone(), self.closed.clone());
        match self.script.get() {
            Script::Status(status) => {
                let mut response = Response::new(Body::full("no such model"));
                *response.status_mut() = StatusCode::from_u16(status).expect("a status");
                return response;
            }
            Script::Hang(at) => {
                monoio::spawn(async move {
                    let _ = sender.send(stream.slice(..at)).await;
                    sender.closed().await;
                    closed.set(true);
                });
            }
            Script::Split(at) => {
                monoio::spawn(async move {
                    let _ = sender.send(stream.slice(..at)).await;
                    timer.sleep(Duration::from_millis(1)).await;
                    let _ = sender.send(stream.slice(at..)).await;
                });
            }
            Script::Break(at) => {
                monoio::spawn(async move {
                    let _ = sender.send(stream.slice(..at)).await;
                    sender.abort().await;
                });
            }
            Script::End(at) => {
                monoio::spawn(async move {
                    let _ = sender.send(stream.slice(..at)).await;
                });
            }
        }
        Response::new(body)
    }
}

struct Site {
    timer: TimerService,
    fake: Rc<Fake>,
    server: Server,
    http: HttpClient,
}

fn run<F: Future>(script: Script, test: impl FnOnce(Site) -> F) {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .expect("build a runtime");
    runtime.block_on(async {
        let timer = TimerService::start();
        let fake = Rc::new(Fake {
            script: Cell::new(script),
            timer: timer.clone(),
            closed: Rc::default(),
        });
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let limits = HttpLimits::default();
        let server = serve(address, limits, timer.clone(), fake.clone()).expect("listen");
        let http = HttpClient::new(timer.clone());
        test(Site {
            timer,
            fake,
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
        let limits = CompletionLimits { head_timeout: LONG };
        EngineClient::new(self.http.clone(), LONG)
            .complete(self.server.address(), &request, limits)
            .await
    }
}

async fn read(stream: &mut CompletionStream) -> Result<Vec<CompletionEvent>, EngineError> {
    let mut events = Vec::new();
    while let Some(event) = stream.next(LONG).await? {
        events.push(event);
    }
    Ok(events)
}

/// Guards against lost or garbled tokens when the network splits the stream, also inside of a
/// character, and against connections that are not used again after a complete stream.
#[test]
fn a_stream_may_be_split_at_any_byte() {
    run(Script::Split(1), |site| async move {
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
        for at in 1..STREAM.len() {
            site.fake.script.set(Script::Split(at));
            let mut stream = site.complete().await.expect("start a completion");
            let events = read(&mut stream).await.expect("read the events");
            assert_eq!(events, expected, "split at byte {at}");
            drop(stream);
            // Lets the end of the body arrive, which frees the connection.
            site.timer.sleep(Duration::from_millis(3)).await;
        }
        assert!(site.server.open_connections() < STREAM.len() / 10);
    });
}

/// Guards against a stream that broke off, or that ended early without an error of the transport,
/// and passes for a complete answer.
#[test]
fn an_incomplete_stream_is_an_error() {
    run(Script::Hang(0), |site| async move {
        for at in 1..STREAM.len() - 1 {
            for script in [Script::Break(at), Script::End(at)] {
                site.fake.script.set(script);
                let mut stream = site.complete().await.expect("start a completion");
                let result = read(&mut stream).await;
                assert!(
                    matches!(result, Err(EngineError::Interrupted(_))),
                    "cut at byte {at}: {result:?}"
                );
                let after = stream.next(LONG).await;
                assert!(matches!(after, Ok(None)), "an event followed an error");
            }
        }
    });
}

/// Guards against a refusal that is taken for work the engine has done.
#[test]
fn a_refusal_tells_the_status_and_the_body() {
    run(Script::Status(503), |site| async move {
        let error = site.complete().await.err().expect("a refusal");
        assert!(error.is_unprocessed());
        let EngineError::Refused(503, body) = error else {
            panic!("not a refusal: {error}");
        };
        assert_eq!(body, "no such model");
    });
}

/// Guards against a call that waits for a hanging engine forever, and against one that the engine
/// goes on computing although nobody reads it.
#[test]
fn a_hanging_stream_times_out_and_is_cancelled() {
    run(Script::Hang(0), |site| async move {
        let mut stream = site.complete().await.expect("start a completion");
        let started = Instant::now();
        let result = stream.next(SHORT).await;
        assert!(matches!(result, Err(EngineError::TimedOut(_))));
        assert!(started.elapsed() < LONG);
        site.timer.sleep(SHORT).await;
        assert!(site.fake.closed.get(), "the engine was not told");
    });
}

/// Guards against an engine that goes on computing after the caller has disconnected.
#[test]
fn dropping_a_stream_closes_its_connection() {
    run(Script::Hang(0), |site| async move {
        for at in [0, 1, STREAM.len() - 3] {
            site.fake.script.set(Script::Hang(at));
            site.fake.closed.set(false);
            let mut stream = site.complete().await.expect("start a completion");
            let _ = site.timer.timeout(SHORT, read(&mut stream)).await;
            assert!(!site.fake.closed.get(), "the connection closed early");
            drop(stream);
            site.timer.sleep(SHORT).await;
            assert!(site.fake.closed.get(), "the engine was not told at {at}");
        }
    });
}

/// Guards against repeating an action that may have run, and against leaving one in doubt that
/// certainly did not run.
#[test]
fn the_errors_of_a_tool_tell_whether_the_action_may_have_run() {
    run(Script::Status(422), |site| async move {
        let tool = ToolClient::new(site.http.clone(), LONG);
        let arguments = serde_json::json!({"seat": 4});
        let address = site.server.address();
        let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
        let refused = tool.run(address, "a-1", "book", &arguments, LONG).await;
        assert!(matches!(refused, Err(ToolError::Refused(422, _))));
        let not_sent = tool.run(nobody, "a-1", "book", &arguments, LONG).await;
        assert!(matches!(not_sent, Err(ToolError::NotSent(_))));
        for script in [Script::Hang(0), Script::Break(10), Script::Split(10)] {
            site.fake.script.set(script);
            let unknown = tool.run(address, "a-1", "book", &arguments, SHORT).await;
            assert!(matches!(unknown, Err(ToolError::OutcomeUnknown(_))));
        }
    });
}

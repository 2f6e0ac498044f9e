//! Routing: the choice of an engine for a call, and the order in which waiting calls start.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use hyper::{Request, Response, StatusCode};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sapphireford::connection::body::Body;
use sapphireford::connection::engine::{EngineClient, EngineLoad, Usage};
use sapphireford::connection::http_client::HttpClient;
use sapphireford::connection::http_server::{Handler, HttpLimits, json_response, serve};
use sapphireford::error::ErrorKind;
use sapphireford::process::retry_budget::RetryBudget;
use sapphireford::process::routing::placement::ConfiguredPlacement;
use sapphireford::process::routing::{CallDescription, Permit, Router, RouterOptions};
use sapphireford::process::timer::TimerService;
use sapphireford::version::config::{
    BackendServer, Config, Limits, PlacementKind, Policy, Priority, QueueKind, Team,
};

fn run_with_timer<F: Future>(test: impl FnOnce(TimerService) -> F) {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .expect("build a runtime");
    runtime.block_on(async { test(TimerService::start()).await });
}

fn config(engines: u16, max_concurrent_calls: u32, queue_time_ms: u64) -> Rc<Config> {
    let server = |number: u16| BackendServer {
        address: ([127, 0, 0, 1], 10_000 + number).into(),
        failure_domain: "a".into(),
        models: vec!["m".into()],
        max_concurrent_calls,
        cache_tokens: 100_000,
        checks_fencing: true,
    };
    let team = |weight| Team {
        key_sha256: [0; 32],
        weight,
    };
    Rc::new(Config {
        version: 1,
        teams: IndexMap::from([("light".into(), team(1)), ("heavy".into(), team(3))]),
        operators: IndexMap::new(),
        models: IndexMap::new(),
        backend_servers: (0..engines)
            .map(|number| (format!("e{number}").into(), server(number)))
            .collect(),
        tools: IndexMap::new(),
        services: IndexMap::new(),
        programs: IndexMap::new(),
        limits: Limits {
            input_bytes: 1,
            output_tokens: 1,
            waiting_per_run: 1,
            requests_per_entry: 1,
            queue_timeout: Duration::from_millis(queue_time_ms),
            token_timeout: Duration::from_secs(1),
            abandon_timeout: Duration::from_secs(1),
            cache_check_interval: Duration::from_secs(60),
            retry_percent: 10,
        },
        policy: Policy {
            placement: PlacementKind::PrefixAndLoad,
            queue: QueueKind::LeastService,
        },
    })
}

fn router(timer: &TimerService, config: &Rc<Config>, max_waiting_calls: usize) -> Router {
    let options = RouterOptions {
        max_waiting_calls,
        ..RouterOptions::default()
    };
    let router = Router::new(timer.clone(), options, ConfiguredPlacement::new(1));
    router.set_config(config);
    router
}

fn call(config: &Rc<Config>, cache_key: &str, priority: Priority) -> CallDescription {
    CallDescription {
        config: config.clone(),
        model_id: "m".into(),
        team_id: "light".into(),
        cache_key: cache_key.into(),
        priority,
        program_service_tokens: 0,
        prompt_tokens: 2_000,
        max_output_tokens: 100,
        excluded: Vec::new(),
    }
}

fn normal_call(config: &Rc<Config>, cache_key: &str) -> CallDescription {
    call(config, cache_key, Priority::Normal)
}

async fn acquire(router: &Router, call: CallDescription) -> Permit {
    router.acquire(call).await.expect("acquire a permit")
}

const USAGE: Usage = Usage {
    prompt_tokens: 2_000,
    completion_tokens: 100,
    cached_tokens: 0,
};

type Log = Rc<RefCell<Vec<String>>>;

/// Spawns a task that acquires a permit, logs the cache key of the call, and finishes the call after
/// `duration`. A refusal is logged with its error kind.
fn spawn_call(
    timer: &TimerService,
    router: &Router,
    call: CallDescription,
    log: &Log,
    duration: Duration,
) {
    let (timer, router, log) = (timer.clone(), router.clone(), log.clone());
    monoio::spawn(async move {
        let name = call.cache_key.to_string();
        match router.acquire(call).await {
            Ok(permit) => {
                log.borrow_mut().push(name);
                timer.sleep(duration).await;
                permit.finish(USAGE);
            }
            Err(error) => log.borrow_mut().push(format!("{name}: {:?}", error.kind)),
        }
    });
}

/// Guards against recomputing a cached prefix because its call goes to another engine, and against
/// an overloaded engine: a call must use another one if the wait exceeds the time to recompute.
#[test]
fn a_call_prefers_the_engine_with_its_prefix_until_it_is_full() {
    run_with_timer(|timer| async move {
        let config = config(8, 4, 2_000);
        let router = router(&timer, &config, 16);
        let mut long = normal_call(&config, "c");
        long.prompt_tokens = 20_000;
        let first = acquire(&router, long.clone()).await;
        let first_engine = first.backend_server_id.clone();
        first.finish(Usage {
            prompt_tokens: 20_000,
            ..USAGE
        });
        let mut held = Vec::new();
        for _ in 0..4 {
            held.push(acquire(&router, long.clone()).await);
            assert_eq!(
                held.last().expect("a permit").backend_server_id,
                first_engine
            );
        }
        let other_engine = acquire(&router, long.clone()).await;
        assert_ne!(other_engine.backend_server_id, first_engine);
        let waiting = router.acquire(long);
        let ended = async {
            timer.sleep(Duration::from_millis(50)).await;
            held.pop();
        };
        let (returned, ()) = futures_util::future::join(waiting, ended).await;
        let returned = returned.expect("acquire a permit");
        assert_eq!(
            returned.backend_server_id, first_engine,
            "the call did not wait"
        );
    });
}

/// Guards against calls to an engine that is about to stop, whether its load report or its VM says
/// so, and against waiting when no engine can accept the call.
#[test]
fn a_leaving_engine_gets_no_calls() {
    run_with_timer(|timer| async move {
        let config = config(3, 100, 2_000);
        let router = router(&timer, &config, 16);
        let report = EngineLoad {
            leaving: true,
            ..EngineLoad::default()
        };
        router.set_load_report(&"e0".into(), report);
        router.set_leaving_vms(|address| address.port() == 10_001);
        for number in 0..50 {
            let permit = acquire(&router, normal_call(&config, &number.to_string())).await;
            assert_eq!(&*permit.backend_server_id, "e2");
        }
        let mut excluding = normal_call(&config, "c");
        excluding.excluded = vec!["e2".into()];
        let error = router
            .acquire(excluding)
            .await
            .expect_err("no engine is left");
        assert_eq!(error.kind, ErrorKind::NoBackendServer);
    });
}

/// Guards against shedding urgent calls from a full queue while less urgent calls stay in it.
#[test]
fn the_least_urgent_calls_are_shed_first() {
    run_with_timer(|timer| async move {
        let config = config(1, 1, 5_000);
        let router = router(&timer, &config, 2);
        let running = acquire(&router, normal_call(&config, "running")).await;
        let log = Log::default();
        for (name, priority) in [
            ("background", Priority::Background),
            ("normal", Priority::Normal),
            ("urgent", Priority::Urgent),
            ("late", Priority::Background),
        ] {
            let call = call(&config, name, priority);
            spawn_call(&timer, &router, call, &log, Duration::ZERO);
            timer.sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(
            *log.borrow(),
            ["background: Overloaded", "late: Overloaded"]
        );
        drop(running);
        timer.sleep(Duration::from_millis(50)).await;
        assert_eq!(log.borrow()[2..], ["urgent", "normal"]);
    });
}

/// Guards against a background call that waits until its queue timeout because urgent calls arrive
/// faster than they are served.
#[test]
fn a_stream_of_urgent_calls_does_not_starve_a_background_call() {
    run_with_timer(|timer| async move {
        let config = config(1, 1, 400);
        let router = router(&timer, &config, 1_000);
        let log = Log::default();
        let duration = Duration::from_millis(10);
        for number in 0..10 {
            let urgent = call(&config, &format!("early-{number}"), Priority::Urgent);
            spawn_call(&timer, &router, urgent, &log, duration);
        }
        let background = call(&config, "background", Priority::Background);
        spawn_call(&timer, &router, background, &log, duration);
        for number in 0..100 {
            let urgent = call(&config, &number.to_string(), Priority::Urgent);
            spawn_call(&timer, &router, urgent, &log, duration);
            timer.sleep(Duration::from_millis(5)).await;
        }
        assert!(log.borrow().iter().any(|name| name == "background"));
    });
}

/// Guards against a team that exceeds its weighted share by sending more calls, and against a program
/// that has received much service starting before one that has received little.
#[test]
fn calls_start_by_team_weight_and_least_program_service() {
    run_with_timer(|timer| async move {
        let config = config(1, 1, 5_000);
        let router = router(&timer, &config, 1_000);
        let running = acquire(&router, normal_call(&config, "running")).await;
        let log = Log::default();
        for number in 0..40_u64 {
            for team in ["light", "heavy"] {
                let mut call = normal_call(&config, team);
                call.team_id = team.into();
                call.program_service_tokens = number;
                if number == 0 {
                    call.cache_key = format!("{team}-served").into();
                    call.program_service_tokens = 1_000;
                }
                spawn_call(&timer, &router, call, &log, Duration::ZERO);
            }
        }
        timer.sleep(Duration::from_millis(5)).await;
        drop(running);
        timer.sleep(Duration::from_millis(500)).await;
        let log = log.borrow();
        assert_eq!(log.len(), 80);
        let heavy = log[..40].iter().filter(|name| *name == "heavy").count();
        assert!((28..=32).contains(&heavy), "{heavy} of 40 starts, not 30");
        assert_eq!(
            log.last().map(String::as_str),
            Some("light-served"),
            "the program with the most service did not start last"
        );
    });
}

/// Guards against capacity that stays occupied after a caller disconnects while its call runs or
/// waits.
#[test]
fn a_dropped_permit_and_a_dropped_wait_free_their_capacity() {
    run_with_timer(|timer| async move {
        let config = config(1, 1, 5_000);
        let router = router(&timer, &config, 16);
        let running = acquire(&router, normal_call(&config, "a")).await;
        let waiting = router.acquire(normal_call(&config, "b"));
        let timed_out = timer.timeout(Duration::from_millis(20), waiting).await;
        assert!(timed_out.is_err());
        assert_eq!(router.waiting_calls(), 0);
        drop(running);
        drop(acquire(&router, normal_call(&config, "c")).await);
        assert_eq!(router.engine_status()[0].in_flight_calls, 0);
    });
}

/// Guards against exceeding the limits of calls and tokens of an engine, and against leaked permits,
/// in any order of starts, ends and cancellations.
#[test]
fn engine_limits_hold_under_random_load() {
    const SEED: u64 = 7;
    run_with_timer(|timer| async move {
        let config = config(4, 3, 300);
        let router = router(&timer, &config, 64);
        let random = Rc::new(RefCell::new(SmallRng::seed_from_u64(SEED)));
        let tokens: Rc<RefCell<IndexMap<Rc<str>, u64>>> = Rc::default();
        for number in 0..600 {
            let mut call = normal_call(&config, &(number % 20).to_string());
            call.prompt_tokens = random.borrow_mut().random_range(1..60_000);
            call.priority = [Priority::Background, Priority::Urgent][number % 2];
            let (held, timeout_ms) = {
                let mut random = random.borrow_mut();
                (random.random_range(0..20), random.random_range(1..200))
            };
            let (caller, clock, tokens) = (router.clone(), timer.clone(), tokens.clone());
            monoio::spawn(async move {
                let reserved_tokens = call.reserved_tokens();
                let acquired = caller.acquire(call);
                let limit = Duration::from_millis(timeout_ms);
                let Ok(Ok(permit)) = clock.timeout(limit, acquired).await else {
                    return;
                };
                let id = permit.backend_server_id.clone();
                *tokens.borrow_mut().entry(id.clone()).or_default() += reserved_tokens;
                assert!(
                    tokens.borrow()[&id] <= 100_000,
                    "reserved tokens exceed the limit of {id}"
                );
                clock.sleep(Duration::from_millis(held)).await;
                tokens.borrow_mut()[&id] -= reserved_tokens;
                match held % 3 {
                    0 => drop(permit),
                    1 => permit.finish(USAGE),
                    _ => permit.record_first_token(),
                }
            });
            for engine in router.engine_status() {
                assert!(
                    engine.in_flight_calls <= 3,
                    "calls exceed the limit: {engine:?}"
                );
            }
            if number % 5 == 0 {
                timer.sleep(Duration::from_millis(1)).await;
            }
        }
        timer.sleep(Duration::from_millis(600)).await;
        assert_eq!(router.waiting_calls(), 0);
        for engine in router.engine_status() {
            assert_eq!(engine.in_flight_calls, 0, "a permit was leaked: {engine:?}");
        }
    });
}

/// Guards against a thundering herd: all calls between two load reports going to the engine that
/// reported the lowest load.
#[test]
fn calls_sent_since_the_report_count_as_load() {
    run_with_timer(|timer| async move {
        let config = config(2, 20, 2_000);
        let router = router(&timer, &config, 16);
        let report = |running| EngineLoad {
            running,
            ..EngineLoad::default()
        };
        router.set_load_report(&"e0".into(), report(4));
        router.set_load_report(&"e1".into(), report(0));
        let mut held = Vec::new();
        for number in 0..12 {
            held.push(acquire(&router, normal_call(&config, &number.to_string())).await);
        }
        let calls_on = |id: &str| {
            held.iter()
                .filter(|permit| &*permit.backend_server_id == id)
                .count()
        };
        assert_eq!((calls_on("e0"), calls_on("e1")), (4, 8));
    });
}

/// Runs a call of a program to its end, so that the engine caches a prefix of `tokens` for it.
async fn cache_prefix(router: &Router, config: &Rc<Config>, name: &str, tokens: u64) {
    let mut first = normal_call(config, name);
    first.prompt_tokens = tokens;
    let usage = Usage {
        prompt_tokens: tokens,
        completion_tokens: 0,
        cached_tokens: 0,
    };
    acquire(router, first).await.finish(usage);
}

/// Guards against new programs that evict the prefix of a program waiting for a tool, and against a
/// paused program that blocks new programs indefinitely.
#[test]
fn a_new_program_waits_for_the_cache_of_a_paused_program() {
    run_with_timer(|timer| async move {
        let config = config(1, 8, 4_000);
        let router = router(&timer, &config, 16);
        cache_prefix(&router, &config, "paused", 60_000).await;
        let log = Log::default();
        for name in ["new", "next"] {
            let mut new = normal_call(&config, name);
            new.prompt_tokens = 50_000;
            spawn_call(&timer, &router, new, &log, Duration::from_millis(1));
        }
        timer.sleep(Duration::from_millis(50)).await;
        assert!(log.borrow().is_empty(), "a program started: {log:?}");
        let mut returning = normal_call(&config, "paused");
        returning.prompt_tokens = 61_000;
        returning.program_service_tokens = 60_000;
        let acquired = timer.timeout(Duration::from_millis(500), router.acquire(returning));
        let permit = acquired
            .await
            .expect("no wait for the program with a cached prefix")
            .expect("a permit");
        permit.finish(USAGE);
        router.take_prefix_locations("paused");
        timer.sleep(Duration::from_millis(50)).await;
        assert_eq!(log.borrow().first().map(String::as_str), Some("new"));
        // The first new program never ends, so the second one starts after half of `queue_time_ms`.
        let started = Instant::now();
        while log.borrow().len() < 2 && started.elapsed() < Duration::from_secs(10) {
            timer.sleep(Duration::from_millis(20)).await;
            router.set_load_report(&"e0".into(), EngineLoad::default());
        }
        assert_eq!(log.borrow().last().map(String::as_str), Some("next"));
    });
}

/// Guards against new programs that start before running ones, which would then occupy engine memory
/// for longer. The order must hold even if the team of the new program is below its share.
#[test]
fn calls_of_running_programs_start_before_new_programs() {
    run_with_timer(|timer| async move {
        let config = config(1, 1, 5_000);
        let router = router(&timer, &config, 16);
        let held = acquire(&router, normal_call(&config, "held")).await;
        let log = Log::default();
        let mut new = normal_call(&config, "new");
        new.team_id = "heavy".into();
        let mut running = normal_call(&config, "running");
        running.program_service_tokens = 5_000;
        for call in [new, running] {
            spawn_call(&timer, &router, call, &log, Duration::from_millis(1));
        }
        timer.sleep(Duration::from_millis(20)).await;
        drop(held);
        timer.sleep(Duration::from_millis(200)).await;
        assert_eq!(*log.borrow(), ["running", "new"]);
    });
}

/// Guards against an entry that adds its full load to a cache already filled by other entries, and
/// against an entry that gets no share of that cache.
#[test]
fn engine_cache_is_divided_among_live_entries() {
    run_with_timer(|timer| async move {
        let config = config(1, 100, 60_000);
        let router = router(&timer, &config, 100);
        router.set_live_entries(2);
        let report = EngineLoad {
            cache_used_tokens: 100_000,
            ..EngineLoad::default()
        };
        router.set_load_report(&"e0".into(), report);
        let mut started = 0;
        for number in 0..20 {
            let mut new = normal_call(&config, &number.to_string());
            new.prompt_tokens = 10_000;
            let Some(permit) = router.acquire(new).now_or_never() else {
                break;
            };
            started += 1;
            permit.expect("a permit").finish(Usage {
                prompt_tokens: 10_000,
                ..USAGE
            });
        }
        // Half of 100,000 tokens, minus the reserve of a tenth for urgent programs.
        assert_eq!(started, 4);
    });
}

/// Guards against an entry that gets no capacity on an engine kept full by other entries, and against
/// all entries claiming the same free capacity after a single load report.
#[test]
fn engine_call_capacity_is_divided_among_live_entries() {
    run_with_timer(|timer| async move {
        let config = config(1, 9, 60_000);
        let router = router(&timer, &config, 100);
        router.set_live_entries(3);
        let report = |running| EngineLoad {
            running,
            ..EngineLoad::default()
        };
        for _ in 0..10 {
            router.set_load_report(&"e0".into(), report(9));
        }
        let mut held = Vec::new();
        let mut fill = || {
            let acquired = router.acquire(normal_call(&config, &held.len().to_string()));
            let permit = acquired.now_or_never();
            held.extend(permit.map(|permit| permit.expect("a permit")));
            held.len()
        };
        let mut fill = || (0..20).map(|_| fill()).last();
        assert_eq!(fill(), Some(3), "this entry's third of the capacity");
        router.set_load_report(&"e0".into(), report(0));
        assert_eq!(
            fill(),
            Some(3),
            "one report must not free the whole capacity"
        );
        for _ in 0..20 {
            router.set_load_report(&"e0".into(), report(3));
        }
        assert_eq!(fill(), Some(9), "the other entries use no capacity");
    });
}

/// Guards against a new program that waits until its queue timeout although it cannot start by then,
/// and against refusing a running program, whose work would be lost.
#[test]
fn a_new_program_that_would_wait_too_long_is_refused_immediately() {
    run_with_timer(|timer| async move {
        let config = config(1, 1, 4_000);
        let router = router(&timer, &config, 1_000);
        let log = Log::default();
        let duration = Duration::from_millis(50);
        for number in 0..100 {
            let new = normal_call(&config, &number.to_string());
            spawn_call(&timer, &router, new, &log, duration);
        }
        timer.sleep(Duration::from_millis(500)).await;
        let started = Instant::now();
        let refused = router.acquire(normal_call(&config, "late")).await;
        let error = refused.expect_err("about 90 programs wait before this one");
        assert_eq!(error.kind, ErrorKind::Overloaded);
        assert!(
            started.elapsed() < Duration::from_secs(1),
            "the refusal was delayed"
        );
        let mut running = normal_call(&config, "running");
        running.program_service_tokens = 1_000;
        acquire(&router, running).await;
        let mut urgent = normal_call(&config, "urgent");
        urgent.priority = Priority::Urgent;
        acquire(&router, urgent).await;
    });
}

/// Guards against continued calls to an engine that fails all of them: its circuit breaker must open.
#[test]
fn an_engine_that_fails_all_calls_gets_no_more_calls() {
    run_with_timer(|timer| async move {
        let config = config(2, 100, 2_000);
        let router = router(&timer, &config, 16);
        let mut failures = 0;
        for number in 0..100 {
            let name = number.to_string();
            let permit = acquire(&router, normal_call(&config, &name)).await;
            if &*permit.backend_server_id == "e0" {
                failures += 1;
                permit.fail();
            } else {
                permit.finish(USAGE);
            }
            // Ends the program; otherwise its prefix stays cached and new programs wait for memory.
            router.take_prefix_locations(&name);
        }
        assert_eq!(failures, 3, "failed calls until the circuit breaker opened");
    });
}

struct LoadReportHandler(EngineLoad);

impl Handler for LoadReportHandler {
    async fn handle(&self, _request: Request<Bytes>) -> Response<Body> {
        json_response(StatusCode::OK, &self.0)
    }
}

/// Guards against calls to engines whose load report, or lack of one, is the only sign that they
/// accept no calls.
#[test]
fn polling_excludes_leaving_full_and_unreachable_engines() {
    run_with_timer(|timer| async move {
        let mut polled_config = Config::clone(&config(4, 100, 2_000));
        let reports = [(false, 0), (true, 0), (false, 100)];
        for (number, (leaving, running)) in reports.into_iter().enumerate() {
            let report = EngineLoad {
                leaving,
                running,
                ..EngineLoad::default()
            };
            let any_port = ([127, 0, 0, 1], 0).into();
            let limits = HttpLimits::default();
            let handler = Rc::new(LoadReportHandler(report));
            let server = serve(any_port, limits, timer.clone(), handler).expect("listen");
            polled_config.backend_servers[number].address = server.address();
        }
        polled_config.backend_servers[3].address = ([127, 0, 0, 1], 1).into();
        let config = Rc::new(polled_config);
        let options = RouterOptions {
            load_poll_interval: Duration::from_millis(20),
            ..RouterOptions::default()
        };
        let router: Router = Router::new(timer.clone(), options, ConfiguredPlacement::new(1));
        router.set_config(&config);
        let http = HttpClient::new(timer.clone());
        router.start_polling(EngineClient::new(http, Duration::from_secs(1)));
        timer.sleep(Duration::from_millis(300)).await;
        for number in 0..50 {
            let permit = acquire(&router, normal_call(&config, &number.to_string())).await;
            assert_eq!(&*permit.backend_server_id, "e0");
        }
    });
}

/// Guards against retries that multiply the load when many requests fail at once.
#[test]
fn retries_are_limited_to_a_percentage_of_requests() {
    let budget = RetryBudget::default();
    assert!(!budget.try_acquire(0), "a retry was allowed at 0 percent");
    while budget.try_acquire(10) {}
    for _ in 0..200 {
        budget.record_request(10);
    }
    let retries = (0..200).filter(|_| budget.try_acquire(10)).count();
    assert_eq!(retries, 20);
}

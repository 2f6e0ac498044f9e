//! The choice of an engine for a call, and the order in which calls start.

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

fn run<F: Future>(test: impl FnOnce(TimerService) -> F) {
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

fn router(timer: &TimerService, config: &Rc<Config>, waiting_calls: usize) -> Router {
    let options = RouterOptions {
        max_waiting_calls: waiting_calls,
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

fn normal(config: &Rc<Config>, cache_key: &str) -> CallDescription {
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

/// Queues a call that logs its name when it starts and ends after `held`.
fn queue(timer: &TimerService, router: &Router, call: CallDescription, log: &Log, held: Duration) {
    let (timer, router, log) = (timer.clone(), router.clone(), log.clone());
    monoio::spawn(async move {
        let name = call.cache_key.to_string();
        match router.acquire(call).await {
            Ok(permit) => {
                log.borrow_mut().push(name);
                timer.sleep(held).await;
                permit.finish(USAGE);
            }
            Err(error) => log.borrow_mut().push(format!("{name}: {:?}", error.kind)),
        }
    });
}

/// Guards against wasted cache (a call must return to its prefix) and against a hot engine (it
/// must go elsewhere when that engine is full for longer than computing the prefix again takes).
#[test]
fn a_call_prefers_the_engine_with_its_prefix_until_it_is_full() {
    run(|timer| async move {
        let config = config(8, 4, 2_000);
        let router = router(&timer, &config, 16);
        let mut long = normal(&config, "c");
        long.prompt_tokens = 20_000;
        let first = acquire(&router, long.clone()).await;
        let home = first.backend_server_id.clone();
        first.finish(Usage {
            prompt_tokens: 20_000,
            ..USAGE
        });
        let mut held = Vec::new();
        for _ in 0..4 {
            held.push(acquire(&router, long.clone()).await);
            assert_eq!(held.last().expect("a permit").backend_server_id, home);
        }
        let elsewhere = acquire(&router, long.clone()).await;
        assert_ne!(elsewhere.backend_server_id, home);
        let waiting = router.acquire(long);
        let ended = async {
            timer.sleep(Duration::from_millis(50)).await;
            held.pop();
        };
        let (returned, ()) = futures_util::future::join(waiting, ended).await;
        let returned = returned.expect("acquire a permit");
        assert_eq!(returned.backend_server_id, home, "the call did not wait");
    });
}

/// Guards against calls to an engine that is about to stop, whichever source tells of it, and
/// against waiting for engines of which none will take the call.
#[test]
fn a_leaving_engine_gets_no_calls() {
    run(|timer| async move {
        let config = config(3, 100, 2_000);
        let router = router(&timer, &config, 16);
        let report = EngineLoad {
            leaving: true,
            ..EngineLoad::default()
        };
        router.set_load_report(&"e0".into(), report);
        router.set_leaving_vms(|address| address.port() == 10_001);
        for number in 0..50 {
            let permit = acquire(&router, normal(&config, &number.to_string())).await;
            assert_eq!(&*permit.backend_server_id, "e2");
        }
        let mut excluding = normal(&config, "c");
        excluding.excluded = vec!["e2".into()];
        let error = router
            .acquire(excluding)
            .await
            .expect_err("no engine is left");
        assert_eq!(error.kind, ErrorKind::NoBackendServer);
    });
}

/// Guards against shedding urgent calls while less urgent ones keep their place.
#[test]
fn the_least_urgent_calls_are_shed_first() {
    run(|timer| async move {
        let config = config(1, 1, 5_000);
        let router = router(&timer, &config, 2);
        let running = acquire(&router, normal(&config, "running")).await;
        let log = Log::default();
        for (name, priority) in [
            ("background", Priority::Background),
            ("normal", Priority::Normal),
            ("urgent", Priority::Urgent),
            ("late", Priority::Background),
        ] {
            let call = call(&config, name, priority);
            queue(&timer, &router, call, &log, Duration::ZERO);
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

/// Guards against a background call that waits until its time limit while urgent calls keep
/// arriving faster than they are served.
#[test]
fn a_stream_of_urgent_calls_does_not_starve_a_background_call() {
    run(|timer| async move {
        let config = config(1, 1, 400);
        let router = router(&timer, &config, 1_000);
        let log = Log::default();
        let held = Duration::from_millis(10);
        for number in 0..10 {
            let urgent = call(&config, &format!("early-{number}"), Priority::Urgent);
            queue(&timer, &router, urgent, &log, held);
        }
        let background = call(&config, "background", Priority::Background);
        queue(&timer, &router, background, &log, held);
        for number in 0..100 {
            let urgent = call(&config, &number.to_string(), Priority::Urgent);
            queue(&timer, &router, urgent, &log, held);
            timer.sleep(Duration::from_millis(5)).await;
        }
        assert!(log.borrow().iter().any(|name| name == "background"));
    });
}

/// Guards against a team that takes more than its share by sending more calls, and against a
/// program with much service passing one with little.
#[test]
fn teams_share_by_weight_and_programs_by_least_service() {
    run(|timer| async move {
        let config = config(1, 1, 5_000);
        let router = router(&timer, &config, 1_000);
        let running = acquire(&router, normal(&config, "running")).await;
        let log = Log::default();
        for number in 0..40_u64 {
            for team in ["light", "heavy"] {
                let mut call = normal(&config, team);
                call.team_id = team.into();
                call.program_service_tokens = number;
                if number == 0 {
                    call.cache_key = format!("{team}-served").into();
                    call.program_service_tokens = 1_000;
                }
                queue(&timer, &router, call, &log, Duration::ZERO);
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

/// Guards against capacity that is lost when a caller disconnects, while its call runs or waits.
#[test]
fn a_dropped_permit_and_a_dropped_wait_are_released() {
    run(|timer| async move {
        let config = config(1, 1, 5_000);
        let router = router(&timer, &config, 16);
        let running = acquire(&router, normal(&config, "a")).await;
        let waiting = router.acquire(normal(&config, "b"));
        let gave_up = timer.timeout(Duration::from_millis(20), waiting).await;
        assert!(gave_up.is_err());
        assert_eq!(router.waiting_calls(), 0);
        drop(running);
        drop(acquire(&router, normal(&config, "c")).await);
        assert_eq!(router.engine_status()[0].in_flight_calls, 0);
    });
}

/// Guards against more calls, or more tokens, on an engine than it can hold, under any order of
/// starts, ends and cancellations, and against permits that are lost on the way.
#[test]
fn the_bounds_of_an_engine_hold_under_random_load() {
    const SEED: u64 = 7;
    run(|timer| async move {
        let config = config(4, 3, 300);
        let router = router(&timer, &config, 64);
        let random = Rc::new(RefCell::new(SmallRng::seed_from_u64(SEED)));
        let tokens: Rc<RefCell<IndexMap<Rc<str>, u64>>> = Rc::default();
        for number in 0..600 {
            let mut call = normal(&config, &(number % 20).to_string());
            call.prompt_tokens = random.borrow_mut().random_range(1..60_000);
            call.priority = [Priority::Background, Priority::Urgent][number % 2];
            let (held, gives_up) = {
                let mut random = random.borrow_mut();
                (random.random_range(0..20), random.random_range(1..200))
            };
            let (caller, clock, tokens) = (router.clone(), timer.clone(), tokens.clone());
            monoio::spawn(async move {
                let size = call.reserved_tokens();
                let acquired = caller.acquire(call);
                let limit = Duration::from_millis(gives_up);
                let Ok(Ok(permit)) = clock.timeout(limit, acquired).await else {
                    return;
                };
                let id = permit.backend_server_id.clone();
                *tokens.borrow_mut().entry(id.clone()).or_default() += size;
                assert!(tokens.borrow()[&id] <= 100_000, "too many tokens on {id}");
                clock.sleep(Duration::from_millis(held)).await;
                tokens.borrow_mut()[&id] -= size;
                match held % 3 {
                    0 => drop(permit),
                    1 => permit.finish(USAGE),
                    _ => permit.record_first_token(),
                }
            });
            for engine in router.engine_status() {
                assert!(engine.in_flight_calls <= 3, "too many calls: {engine:?}");
            }
            if number % 5 == 0 {
                timer.sleep(Duration::from_millis(1)).await;
            }
        }
        timer.sleep(Duration::from_millis(600)).await;
        assert_eq!(router.waiting_calls(), 0);
        for engine in router.engine_status() {
            assert_eq!(engine.in_flight_calls, 0, "a permit was lost: {engine:?}");
        }
    });
}

/// Guards against a herd: all calls between two reports going to the engine that reported least.
#[test]
fn the_load_is_corrected_by_what_was_sent_since_the_report() {
    run(|timer| async move {
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
            held.push(acquire(&router, normal(&config, &number.to_string())).await);
        }
        let on = |id: &str| {
            held.iter()
                .filter(|permit| &*permit.backend_server_id == id)
                .count()
        };
        assert_eq!((on("e0"), on("e1")), (4, 8));
    });
}

/// Runs a call of a program to its end, after which the engine keeps `tokens` for the program.
async fn keep_prefix(router: &Router, config: &Rc<Config>, name: &str, tokens: u64) {
    let mut first = normal(config, name);
    first.prompt_tokens = tokens;
    let usage = Usage {
        prompt_tokens: tokens,
        completion_tokens: 0,
        cached_tokens: 0,
    };
    acquire(router, first).await.finish(usage);
}

/// Guards against new programs that evict the prefix of a program which only pauses for a tool, and
/// against a pause that keeps new programs out for ever.
#[test]
fn a_new_program_waits_for_the_memory_of_a_paused_one() {
    run(|timer| async move {
        let config = config(1, 8, 4_000);
        let router = router(&timer, &config, 16);
        keep_prefix(&router, &config, "paused", 60_000).await;
        let log = Log::default();
        for name in ["new", "next"] {
            let mut new = normal(&config, name);
            new.prompt_tokens = 50_000;
            queue(&timer, &router, new, &log, Duration::from_millis(1));
        }
        timer.sleep(Duration::from_millis(50)).await;
        assert!(log.borrow().is_empty(), "a program started: {log:?}");
        let mut returning = normal(&config, "paused");
        returning.prompt_tokens = 61_000;
        returning.program_service_tokens = 60_000;
        let passed = timer.timeout(Duration::from_millis(500), router.acquire(returning));
        let permit = passed.await.expect("it does not wait").expect("a permit");
        permit.finish(USAGE);
        router.take_prefix_locations("paused");
        timer.sleep(Duration::from_millis(50)).await;
        assert_eq!(log.borrow().first().map(String::as_str), Some("new"));
        // The first new program never ends, so the second one starts after half of `queue_time`.
        let started = Instant::now();
        while log.borrow().len() < 2 && started.elapsed() < Duration::from_secs(10) {
            timer.sleep(Duration::from_millis(20)).await;
            router.set_load_report(&"e0".into(), EngineLoad::default());
        }
        assert_eq!(log.borrow().last().map(String::as_str), Some("next"));
    });
}

/// Guards against new programs that take the places of running ones, which would hold their engine
/// memory for longer, whichever team is behind its share.
#[test]
fn running_programs_start_before_new_ones() {
    run(|timer| async move {
        let config = config(1, 1, 5_000);
        let router = router(&timer, &config, 16);
        let held = acquire(&router, normal(&config, "held")).await;
        let log = Log::default();
        let mut new = normal(&config, "new");
        new.team_id = "heavy".into();
        let mut running = normal(&config, "running");
        running.program_service_tokens = 5_000;
        for call in [new, running] {
            queue(&timer, &router, call, &log, Duration::from_millis(1));
        }
        timer.sleep(Duration::from_millis(20)).await;
        drop(held);
        timer.sleep(Duration::from_millis(200)).await;
        assert_eq!(*log.borrow(), ["running", "new"]);
    });
}

/// Guards against an entry that fills a cache which others already fill, and against one that gets
/// no part of it.
#[test]
fn the_cache_of_an_engine_is_shared_by_the_live_entries() {
    run(|timer| async move {
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
            let mut new = normal(&config, &number.to_string());
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
        // Half of 100,000 tokens, less the reserve of a tenth for urgent programs.
        assert_eq!(started, 4);
    });
}

/// Guards against an entry that gets no place on an engine which others keep full, and against one
/// report that makes all entries take the same free places.
#[test]
fn the_places_of_an_engine_are_shared_by_the_live_entries() {
    run(|timer| async move {
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
            let acquired = router.acquire(normal(&config, &held.len().to_string()));
            let permit = acquired.now_or_never();
            held.extend(permit.map(|permit| permit.expect("a permit")));
            held.len()
        };
        let mut fill = || (0..20).map(|_| fill()).last();
        assert_eq!(fill(), Some(3), "a third of the engine");
        router.set_load_report(&"e0".into(), report(0));
        assert_eq!(fill(), Some(3), "one report does not give all places");
        for _ in 0..20 {
            router.set_load_report(&"e0".into(), report(3));
        }
        assert_eq!(fill(), Some(9), "the others have gone");
    });
}

/// Guards against a new program that is held until its deadline although it is known that it will
/// not start, and against refusing a running program, whose work would be lost.
#[test]
fn a_new_program_that_would_wait_too_long_is_refused_at_once() {
    run(|timer| async move {
        let config = config(1, 1, 4_000);
        let router = router(&timer, &config, 1_000);
        let log = Log::default();
        let held = Duration::from_millis(50);
        for number in 0..100 {
            let new = normal(&config, &number.to_string());
            queue(&timer, &router, new, &log, held);
        }
        timer.sleep(Duration::from_millis(500)).await;
        let started = Instant::now();
        let refused = router.acquire(normal(&config, "late")).await;
        let error = refused.expect_err("about 90 programs wait before this one");
        assert_eq!(error.kind, ErrorKind::Overloaded);
        assert!(
            started.elapsed() < Duration::from_secs(1),
            "it was held back"
        );
        let mut running = normal(&config, "running");
        running.program_service_tokens = 1_000;
        acquire(&router, running).await;
        let mut urgent = normal(&config, "urgent");
        urgent.priority = Priority::Urgent;
        acquire(&router, urgent).await;
    });
}

/// Guards against calls that keep going to an engine that fails all of them.
#[test]
fn an_engine_that_fails_is_left_alone() {
    run(|timer| async move {
        let config = config(2, 100, 2_000);
        let router = router(&timer, &config, 16);
        let mut failures = 0;
        for number in 0..100 {
            let name = number.to_string();
            let permit = acquire(&router, normal(&config, &name)).await;
            if &*permit.backend_server_id == "e0" {
                failures += 1;
                permit.fail();
            } else {
                permit.finish(USAGE);
            }
            // The program ends; otherwise its prefix is kept, and new programs wait for memory.
            router.take_prefix_locations(&name);
        }
        assert_eq!(failures, 3, "calls that failed before the breaker opened");
    });
}

struct Reporter(EngineLoad);

impl Handler for Reporter {
    async fn handle(&self, _request: Request<Bytes>) -> Response<Body> {
        json_response(StatusCode::OK, &self.0)
    }
}

/// Guards against calls to engines of which only their load reports, or their missing ones, tell
/// that they take none.
#[test]
fn load_reports_are_polled() {
    run(|timer| async move {
        let mut polled = Config::clone(&config(4, 100, 2_000));
        let reports = [(false, 0), (true, 0), (false, 100)];
        for (number, (leaving, running)) in reports.into_iter().enumerate() {
            let report = EngineLoad {
                leaving,
                running,
                ..EngineLoad::default()
            };
            let any = ([127, 0, 0, 1], 0).into();
            let limits = HttpLimits::default();
            let reporter = Rc::new(Reporter(report));
            let server = serve(any, limits, timer.clone(), reporter).expect("listen");
            polled.backend_servers[number].address = server.address();
        }
        polled.backend_servers[3].address = ([127, 0, 0, 1], 1).into();
        let config = Rc::new(polled);
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
            let permit = acquire(&router, normal(&config, &number.to_string())).await;
            assert_eq!(&*permit.backend_server_id, "e0");
        }
    });
}

/// Guards against retries that multiply the load when many requests fail together.
#[test]
fn retries_are_a_share_of_the_requests() {
    let budget = RetryBudget::default();
    assert!(!budget.try_acquire(0), "no retries are allowed");
    while budget.try_acquire(10) {}
    for _ in 0..200 {
        budget.record_request(10);
    }
    let retries = (0..200).filter(|_| budget.try_acquire(10)).count();
    assert_eq!(retries, 20);
}

//! Measures the cost of selecting an engine with 10, 100 and 1,000 engines.
//!
//! Run it with `cargo run --release --example routing_bench`. The engines are loaded to half of
//! their capacity throughout; each step finishes a random call in flight and starts one of a random
//! conversation. A call that would wait for the engine with its prefix is dropped and counted in
//! the last column. The simulated engines never evict a prefix, so the shares of cached calls are
//! only valid for comparing the policies.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sapphireford::connection::engine::Usage;
use sapphireford::process::routing::placement::ConfiguredPlacement;
use sapphireford::process::routing::{CallDescription, Permit, Router, RouterOptions};
use sapphireford::process::timer::TimerService;
use sapphireford::version::config::{
    BackendServer, Config, Limits, PlacementKind, Policy, Priority, QueueKind,
};

const STEPS: usize = 200_000;
const CALLS_PER_ENGINE: u32 = 16;
const CONVERSATIONS_PER_ENGINE: usize = 25;
/// Longer steps are recorded with this duration in the percentiles.
const MAX_STEP_TIME_NS: u64 = 1_000_000_000;
const SEED: u64 = 1;

fn main() {
    println!("policy         engines  ns/step  p50 ns  p99 ns  cached share  waiting share");
    for placement in [
        PlacementKind::RoundRobin,
        PlacementKind::LeastLoad,
        PlacementKind::PrefixAndLoad,
    ] {
        for engines in [10, 100, 1_000] {
            let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
                .enable_all()
                .build()
                .expect("build a runtime");
            runtime.block_on(measure(placement, engines));
        }
    }
}

async fn measure(placement: PlacementKind, engines: usize) {
    let config = config(placement, engines);
    let router: Router = Router::new(
        TimerService::start(),
        RouterOptions::default(),
        ConfiguredPlacement::new(SEED),
    );
    router.set_config(&config);
    let keys: Vec<Rc<str>> = (0..engines * CONVERSATIONS_PER_ENGINE)
        .map(|number| format!("conversation-{number}").into())
        .collect();
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut cache_holders: IndexMap<Rc<str>, Vec<Rc<str>>> = IndexMap::new();
    let mut in_flight: Vec<(Permit, Usage)> = Vec::new();
    let mut step_times =
        Histogram::<u64>::new_with_max(MAX_STEP_TIME_NS, 3).expect("make a histogram");
    let (mut repeat_calls, mut cache_hits, mut waiting_calls) = (0_u64, 0_u64, 0_u64);
    let in_flight_target = engines * CALLS_PER_ENGINE as usize / 2;
    let mut total_time = Duration::ZERO;
    for step in 0..STEPS + in_flight_target {
        let key = keys[rng.random_range(0..keys.len())].clone();
        let call = call(&config, key.clone());
        let finished = (in_flight.len() >= in_flight_target)
            .then(|| in_flight.swap_remove(rng.random_range(0..in_flight_target)));
        let started = Instant::now();
        if let Some((permit, usage)) = finished {
            permit.finish(usage);
        }
        let permit = router.acquire(call).now_or_never();
        let elapsed = started.elapsed();
        if step >= in_flight_target {
            total_time += elapsed;
            step_times.saturating_record(elapsed.as_nanos() as u64);
        }
        let Some(permit) = permit else {
            waiting_calls += 1;
            continue;
        };
        let permit = permit.expect("an engine has capacity");
        let engine = &permit.backend_server_id;
        let cache_holders = cache_holders.entry(key).or_default();
        let is_cache_hit = cache_holders.contains(engine);
        repeat_calls += u64::from(!cache_holders.is_empty());
        cache_hits += u64::from(is_cache_hit);
        if !is_cache_hit {
            cache_holders.push(engine.clone());
        }
        let usage = Usage {
            prompt_tokens: 4_000,
            completion_tokens: 200,
            cached_tokens: if is_cache_hit { 3_800 } else { 0 },
        };
        in_flight.push((permit, usage));
    }
    println!(
        "{:<14} {engines:>7}  {:>7}  {:>6}  {:>6}  {:>12.2}  {:>13.4}",
        format!("{placement:?}"),
        total_time.as_nanos() / STEPS as u128,
        step_times.value_at_quantile(0.5),
        step_times.value_at_quantile(0.99),
        cache_hits as f64 / repeat_calls.max(1) as f64,
        waiting_calls as f64 / STEPS as f64
    );
}

fn call(config: &Rc<Config>, cache_key: Rc<str>) -> CallDescription {
    CallDescription {
        config: config.clone(),
        model_id: "m".into(),
        team_id: "t".into(),
        cache_key,
        priority: Priority::Normal,
        program_service_tokens: 0,
        prompt_tokens: 4_000,
        max_output_tokens: 200,
        excluded: Vec::new(),
    }
}

fn config(placement: PlacementKind, engines: usize) -> Rc<Config> {
    let server = |number: usize| BackendServer {
        address: ([127, 0, 0, 1], 10_000 + number as u16).into(),
        failure_domain: "a".into(),
        models: vec!["m".into()],
        max_concurrent_calls: CALLS_PER_ENGINE,
        cache_tokens: 200_000,
        checks_fencing: true,
    };
    Rc::new(Config {
        version: 1,
        teams: IndexMap::new(),
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
            queue_timeout: Duration::from_secs(10),
            token_timeout: Duration::from_secs(1),
            abandon_timeout: Duration::from_secs(1),
            cache_check_interval: Duration::from_secs(60),
            retry_percent: 10,
        },
        policy: Policy {
            placement,
            queue: QueueKind::LeastService,
        },
    })
}

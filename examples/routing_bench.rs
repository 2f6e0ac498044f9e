//! Measures what the choice of an engine costs for 10, 100 and 1,000 engines.
//!
//! Run it with `cargo run --release --example routing_bench`. Half of the engines' calls are in
//! progress all the time; each step ends a random one and starts a call of a random conversation.
//! A call that waits for the engine with its prefix is given up, and counted in the last column.
//! The simulated engines never evict a prefix, so the cached shares only compare the policies.

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
/// Steps that take longer count as this long in the percentiles.
const LONGEST_NS: u64 = 1_000_000_000;
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
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut holders: IndexMap<Rc<str>, Vec<Rc<str>>> = IndexMap::new();
    let mut held: Vec<(Permit, Usage)> = Vec::new();
    let mut times = Histogram::<u64>::new_with_max(LONGEST_NS, 3).expect("make a histogram");
    let (mut returned, mut cached, mut waiting) = (0_u64, 0_u64, 0_u64);
    let capacity = engines * CALLS_PER_ENGINE as usize / 2;
    let mut busy = Duration::ZERO;
    for step in 0..STEPS + capacity {
        let key = keys[random.random_range(0..keys.len())].clone();
        let call = call(&config, key.clone());
        let ending =
            (held.len() >= capacity).then(|| held.swap_remove(random.random_range(0..capacity)));
        let started = Instant::now();
        if let Some((permit, usage)) = ending {
            permit.finish(usage);
        }
        let permit = router.acquire(call).now_or_never();
        let elapsed = started.elapsed();
        if step >= capacity {
            busy += elapsed;
            times.saturating_record(elapsed.as_nanos() as u64);
        }
        let Some(permit) = permit else {
            waiting += 1;
            continue;
        };
        let permit = permit.expect("an engine has room");
        let engine = &permit.backend_server_id;
        let holders = holders.entry(key).or_default();
        let hit = holders.contains(engine);
        returned += u64::from(!holders.is_empty());
        cached += u64::from(hit);
        if !hit {
            holders.push(engine.clone());
        }
        let usage = Usage {
            prompt_tokens: 4_000,
            completion_tokens: 200,
            cached_tokens: if hit { 3_800 } else { 0 },
        };
        held.push((permit, usage));
    }
    println!(
        "{:<14} {engines:>7}  {:>7}  {:>6}  {:>6}  {:>12.2}  {:>13.4}",
        format!("{placement:?}"),
        busy.as_nanos() / STEPS as u128,
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        cached as f64 / returned.max(1) as f64,
        waiting as f64 / STEPS as f64,
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

//! Orders to engines: the models of the configuration, given by one entry at a time.

use std::time::{Duration, Instant};

use sapphireford::process::rows::{entry_key, orders_key};
use sapphireford::process::slots::placement;
use sapphireford_standin::harness::{Process, Site, SiteOptions, entry_state, wait_until};
use serde_json::{Value, json};

/// Longest wait for a condition; generous, because the machine may be busy.
const LIMIT: Duration = Duration::from_secs(30);
/// Lease time of the sites here.
const LEASE_TTL_MS: u64 = 1_600;
/// Longest time that an order of a former holder may be on its way.
const ORDER_TIME: Duration = Duration::from_secs(2);

fn site(engines: usize, weights_per_second: &str) -> Site {
    Site::with_options(SiteOptions {
        engines,
        platform_arguments: ["--weights-per-second", weights_per_second]
            .map(String::from)
            .to_vec(),
        settings: json!({
            "lease_ttl_ms": LEASE_TTL_MS,
            "lease_renew_ms": 300,
            "membership_interval_ms": 200,
        }),
        ..SiteOptions::default()
    })
}

/// Applies a configuration in which all engines have a second model.
fn apply_second_model(site: &Site) {
    let model = site.base_config()["models"]["small"].clone();
    let engines = (0..site.engines.len()).map(|index| {
        (
            format!("engine-{index}"),
            json!({ "models": ["small", "large"] }),
        )
    });
    let engines: serde_json::Map<String, Value> = engines.collect();
    let change = json!({ "models": { "large": model }, "backend_servers": engines });
    site.apply(1, &[site.base_config(), change]);
}

/// The orders that an engine accepted: fencing number and model.
fn orders(engine: &Process) -> Vec<(u64, String)> {
    let orders = engine.stats()["orders"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let order = |order: &Value| {
        let number = order["fencing_number"].as_u64().expect("a number");
        (
            number,
            order["order"]["model"]
                .as_str()
                .expect("a model")
                .to_string(),
        )
    };
    orders.iter().map(order).collect()
}

fn models(engine: &Process) -> Vec<String> {
    orders(engine).into_iter().map(|(_, model)| model).collect()
}

fn weight_reads(site: &Site) -> u64 {
    site.platform.stats()["weight_reads"]
        .as_u64()
        .expect("a count")
}

fn read(site: &Site, key: &str) -> Value {
    entry_state::read(site.platform.address(), key)
}

/// Guards against engines that miss a model, and against a fleet that asks the weight store for all
/// loads at once. An order whose answer was late is repeated, so the number of orders is not fixed.
#[test]
fn engines_get_their_models_at_the_rate_of_the_weight_store() {
    let site = site(4, "2");
    let has = |engine: &Process, model: &str| models(engine).iter().any(|loaded| loaded == model);
    assert!(site.engines.iter().all(|engine| has(engine, "small")));
    let applied = Instant::now();
    apply_second_model(&site);
    let all = || site.engines.iter().all(|engine| has(engine, "large"));
    assert!(wait_until(LIMIT, all));
    // The store admits a read every 500 ms.
    assert!(applied.elapsed() >= Duration::from_millis(1_500));
    let given: usize = site.engines.iter().map(|engine| orders(engine).len()).sum();
    assert!(weight_reads(&site) >= given as u64, "{given} loads");
    for engine in &site.engines {
        let numbers: Vec<u64> = orders(engine).iter().map(|(number, _)| *number).collect();
        assert!(numbers.is_sorted(), "{numbers:?}");
    }
}

/// Waits until an entry is fenced, and returns a moment before that.
fn before_fencing(site: &Site, entry_id: &str) -> Instant {
    let mut before = Instant::now();
    let fenced = wait_until(LIMIT, || {
        let now = Instant::now();
        let is_fenced = read(site, &entry_key(entry_id))["value"]["state"] != json!("live");
        if !is_fenced {
            before = now;
        }
        is_fenced
    });
    assert!(fenced, "`{entry_id}` was not fenced");
    before
}

/// Guards against a holder that sends after it lost its right, against orders beside a live holder, and
/// against a new holder whose orders mix with those of a former one that are on their way. The engines
/// ignore fencing numbers.
#[test]
fn right_changes_hands_only_after_the_lease_of_its_holder() {
    let mut site = site(2, "0");
    let entries = ["entry-0", "entry-1", "entry-2"];
    let responsible = placement::backend_server_owner("engine-0", entries).expect("an entry");
    let other = entries
        .iter()
        .position(|id| *id != responsible)
        .expect("another entry");
    site.platform.control(&json!({ "refuse_weights": true }));
    let reads = weight_reads(&site);
    apply_second_model(&site);
    let key = orders_key("engine-0");
    let is_held = || !read(&site, &key)["value"]["holder"].is_null();
    assert!(wait_until(LIMIT, is_held), "nobody took the right");
    // The holder waits for the weight store. Another entry takes its right away.
    let row = read(&site, &key);
    let entry_row = read(&site, &entry_key(entries[other]));
    let number = row["value"]["fencing_number"].as_u64().expect("a number") + 1;
    let mut value = row["value"].clone();
    value["fencing_number"] = json!(number);
    value["holder"] = json!({
        "entry_id": entries[other], "incarnation": entry_row["value"]["incarnation"],
    });
    let version = row["version"].as_u64().expect("a version");
    entry_state::write(site.platform.address(), &key, version, &value);
    site.platform.control(&json!({ "refuse_weights": false }));
    // Both loads are admitted, and the one of the engine whose right has gone is not sent.
    assert!(wait_until(LIMIT, || weight_reads(&site) >= reads + 2));
    assert!(wait_until(LIMIT, || models(&site.engines[1]) == ["small", "large"]));
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(models(&site.engines[0]), ["small"]);
    site.kill_entry(other);
    let fenced = before_fencing(&site, entries[other]);
    assert!(wait_until(LIMIT, || models(&site.engines[0]) == ["small", "large"]));
    assert!(fenced.elapsed() >= ORDER_TIME);
    assert_eq!(orders(&site.engines[0])[1].0, number + 1);
}

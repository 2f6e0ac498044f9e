//! Orders to engines: loading the models of the configuration, sent by one entry at a time.

use std::time::{Duration, Instant};

use sapphireford::process::rows::{entry_key, orders_key};
use sapphireford::process::slots::placement;
use sapphireford_standin::harness::{Process, Site, SiteOptions, entry_state, wait_until};
use serde_json::{Value, json};

/// Timeout for a condition, long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Lease TTL of the sites in these tests.
const LEASE_TTL_MS: u64 = 1_600;
/// Time after which no order of a former holder is still in flight.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

fn site(engines: usize, weights_per_second: &str) -> Site {
    Site::with_options(SiteOptions {
        engines,
        platform_arguments: ["--weights-per-second", weights_per_second]
            .map(String::from)
            .to_vec(),
        settings: json!({ "lease_ttl_ms": LEASE_TTL_MS, "lease_renew_ms": 300, "membership_interval_ms": 200 }),
        ..SiteOptions::default()
    })
}

/// Applies a configuration that adds a second model to all engines.
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

/// Returns the fencing number and the model of each order that an engine accepted.
fn accepted_orders(engine: &Process) -> Vec<(u64, String)> {
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

fn ordered_models(engine: &Process) -> Vec<String> {
    accepted_orders(engine)
        .into_iter()
        .map(|(_, model)| model)
        .collect()
}

fn weight_reads(site: &Site) -> u64 {
    site.platform.stats()["weight_reads"]
        .as_u64()
        .expect("a count")
}

fn read_row(site: &Site, key: &str) -> Value {
    entry_state::read(site.platform.address(), key)
}

/// Guards against engines that miss a model, and against a fleet that starts all loads from the weight
/// store at once. An order whose answer was late is repeated, so the number of orders varies.
#[test]
fn engines_load_models_at_the_rate_of_the_weight_store() {
    let site = site(4, "2");
    let has =
        |engine: &Process, model: &str| ordered_models(engine).iter().any(|loaded| loaded == model);
    assert!(site.engines.iter().all(|engine| has(engine, "small")));
    let applied = Instant::now();
    apply_second_model(&site);
    let all = || site.engines.iter().all(|engine| has(engine, "large"));
    assert!(wait_until(WAIT_TIMEOUT, all));
    // The weight store admits a read every 500 ms.
    assert!(applied.elapsed() >= Duration::from_millis(1_500));
    let order_count: usize = site
        .engines
        .iter()
        .map(|engine| accepted_orders(engine).len())
        .sum();
    assert!(
        weight_reads(&site) >= order_count as u64,
        "{order_count} loads"
    );
    for engine in &site.engines {
        let fencing_numbers: Vec<u64> = accepted_orders(engine)
            .iter()
            .map(|(number, _)| *number)
            .collect();
        assert!(fencing_numbers.is_sorted(), "{fencing_numbers:?}");
    }
}

/// Waits until an entry is fenced; returns the time at which its row was last seen live.
fn wait_until_fenced(site: &Site, entry_id: &str) -> Instant {
    let mut last_seen_live = Instant::now();
    let fenced = wait_until(WAIT_TIMEOUT, || {
        let now = Instant::now();
        let is_fenced = read_row(site, &entry_key(entry_id))["value"]["state"] != json!("live");
        if !is_fenced {
            last_seen_live = now;
        }
        is_fenced
    });
    assert!(fenced, "`{entry_id}` was not fenced");
    last_seen_live
}

/// Guards against a holder that sends orders after it lost the permission to do so, against orders of
/// another entry while the holder is live, and against a new holder whose orders interleave with those
/// of the former one still in flight. The engines of this test ignore fencing numbers.
#[test]
fn order_permission_moves_only_after_holder_is_fenced() {
    let mut site = site(2, "0");
    let entries = ["entry-0", "entry-1", "entry-2"];
    let owner = placement::backend_server_owner("engine-0", entries).expect("an entry");
    let new_holder = entries
        .iter()
        .position(|id| *id != owner)
        .expect("another entry");
    site.platform.control(&json!({ "refuse_weights": true }));
    let reads = weight_reads(&site);
    apply_second_model(&site);
    let key = orders_key("engine-0");
    let has_holder = || !read_row(&site, &key)["value"]["holder"].is_null();
    assert!(
        wait_until(WAIT_TIMEOUT, has_holder),
        "no entry acquired the permission"
    );
    // While the holder waits for the weight store, another entry becomes the holder.
    let row = read_row(&site, &key);
    let entry_row = read_row(&site, &entry_key(entries[new_holder]));
    let new_fencing_number = row["value"]["fencing_number"].as_u64().expect("a number") + 1;
    let mut value = row["value"].clone();
    value["fencing_number"] = json!(new_fencing_number);
    value["holder"] = json!({ "entry_id": entries[new_holder], "incarnation": entry_row["value"]["incarnation"] });
    let version = row["version"].as_u64().expect("a version");
    entry_state::write(site.platform.address(), &key, version, &value);
    site.platform.control(&json!({ "refuse_weights": false }));
    // The weight store admits both loads, but the order to the engine whose holder changed is not sent.
    assert!(wait_until(WAIT_TIMEOUT, || weight_reads(&site) >= reads + 2));
    assert!(wait_until(WAIT_TIMEOUT, || ordered_models(
        &site.engines[1]
    ) == ["small", "large"]));
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(ordered_models(&site.engines[0]), ["small"]);
    site.kill_entry(new_holder);
    let last_seen_live = wait_until_fenced(&site, entries[new_holder]);
    assert!(wait_until(WAIT_TIMEOUT, || ordered_models(
        &site.engines[0]
    ) == ["small", "large"]));
    assert!(last_seen_live.elapsed() >= ORDER_TIMEOUT);
    assert_eq!(
        accepted_orders(&site.engines[0])[1].0,
        new_fencing_number + 1
    );
}

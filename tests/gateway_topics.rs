//! Placement by speed and by topic in the gateway process.

#[path = "support/gateway.rs"]
mod gateway;

use gateway::{WAIT_TIMEOUT, caller_request, new_request_id, recorded_runs};
use sapphireford_standin::harness::{GatewaySite, HttpRequest, PLAIN_SERVICE, route, wait_until};
use serde_json::json;

/// Guards against a sticky route whose requests about one object land on random servers, against
/// topics on routes that are not sticky, and against a stated speed that the gateway ignores.
#[test]
fn requests_are_placed_by_topic_and_speed() {
    let mut site = GatewaySite::start(1);
    let sticky = json!({ "sticky": true, "maxAttempts": 2 });
    site.configure(json!([
        route("/item/", "idempotent", PLAIN_SERVICE, sticky),
        route(
            "/part/",
            "idempotent",
            PLAIN_SERVICE,
            json!({ "maxAttempts": 2 })
        ),
    ]));
    let send = |path: &str| {
        let id = new_request_id();
        let request = caller_request("GET", path, &id).header("cookie", "Affinity-Key=17");
        let answer = request.send(site.gateways[0].caller_address());
        (answer.expect("an answer").status == 200).then_some(id)
    };
    let placements = |labels: &[&str]| {
        let metrics = HttpRequest::new("GET", "/metrics").send(site.gateways[0].metrics_address());
        let metrics = metrics.expect("an answer").text().to_string();
        let counts = metrics.lines().filter_map(|line| {
            let (name, count) = line.rsplit_once(' ')?;
            let is_counted = name.starts_with("sapphireford_placements_total")
                && labels.iter().all(|label| name.contains(label));
            count.parse::<u64>().ok().filter(|_| is_counted)
        });
        counts.sum::<u64>()
    };
    assert!(wait_until(WAIT_TIMEOUT, || send("/item/17").is_some()));
    for _ in 0..40 {
        send("/item/17").expect("an answer");
        send("/part/17").expect("an answer");
    }
    assert!(placements(&["by=\"topic\"", "route=\"/item/\""]) > 5);
    assert_eq!(placements(&["by=\"topic\"", "route=\"/part/\""]), 0);
    assert_eq!(placements(&["speed=\"used\""]), 0);
    let slow = &site.plain_servers[..1];
    for (server, speed_percent) in site.plain_servers.iter().zip([900, 100, 100]) {
        let control = json!({ "speed_percent": speed_percent });
        server.process.control(&control);
    }
    let ids = (0..60).filter_map(|_| send("/part/17"));
    // It is tried again each second, when what it stated last has expired.
    let at_slow = ids.filter(|id| !recorded_runs(slow, id).is_empty()).count();
    assert!(at_slow < 15, "{at_slow}");
    assert!(placements(&["speed=\"used\""]) > 30);
}

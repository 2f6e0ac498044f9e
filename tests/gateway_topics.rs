//! Placement by speed and by topic in the gateway process.

#[path = "support/gateway.rs"]
mod gateway;

use gateway::{WAIT_TIMEOUT, caller_request, new_request_id, recorded_runs};
use sapphireford_standin::harness::{GatewaySite, HttpRequest, PLAIN_SERVICE, route, wait_until};
use serde_json::json;

/// A site with a sticky route `/item/` and a route `/part/` that is not.
fn start_site() -> GatewaySite {
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
    let address = site.gateways[0].caller_address();
    let is_configured = wait_until(WAIT_TIMEOUT, || {
        let answer = caller_request("GET", "/part/17", &new_request_id()).send(address);
        answer.expect("an answer").status == 200
    });
    assert!(is_configured);
    site
}

/// The number of servers that the gateway has chosen for requests, with these labels.
fn placements(site: &GatewaySite, labels: &[&str]) -> u64 {
    let metrics = HttpRequest::new("GET", "/metrics").send(site.gateways[0].metrics_address());
    let metrics = metrics.expect("an answer").text().to_string();
    let lines = metrics.lines().filter(|line| {
        line.starts_with("sapphireford_placements_total{")
            && labels.iter().all(|label| line.contains(label))
    });
    let counts = lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<u64>().ok());
    counts.sum()
}

/// Sends requests about one object one after another, and returns their ids.
fn send_requests(site: &GatewaySite, path: &str, count: usize) -> Vec<String> {
    let send = |_| {
        let id = new_request_id();
        let request = caller_request("GET", path, &id).header("cookie", "Affinity-Key=17");
        let answer = request.send(site.gateways[0].caller_address());
        assert_eq!(answer.expect("an answer").status, 200);
        id
    };
    (0..count).map(send).collect()
}

/// Guards against requests about one object that land on random servers, and against topics on
/// routes that the operators have not marked.
#[test]
fn requests_about_one_object_are_placed_by_topic_on_sticky_routes_only() {
    let site = start_site();
    send_requests(&site, "/part/17", 40);
    assert_eq!(placements(&site, &["by=\"topic\""]), 0);
    send_requests(&site, "/item/17", 40);
    let on_route = ["route=\"/item/\"", "speed=\"none\""];
    assert_eq!(placements(&site, &on_route), 40);
    assert!(placements(&site, &["route=\"/item/\"", "by=\"topic\""]) > 5);
}

/// Guards against a stated speed that the gateway ignores.
#[test]
fn a_server_on_a_slow_vm_gets_few_requests() {
    let site = start_site();
    for (index, server) in site.plain_servers.iter().enumerate() {
        let speed_percent = if index == 0 { 900 } else { 100 };
        let control = json!({ "speed_percent": speed_percent });
        server.process.control(&control);
    }
    let ids = send_requests(&site, "/part/17", 60);
    let slow = &site.plain_servers[..1];
    let at_slow = ids.iter().filter(|id| !recorded_runs(slow, id).is_empty());
    // It is tried again each second, when what it stated last has expired.
    let at_slow = at_slow.count();
    assert!(at_slow < 15, "{at_slow}");
    assert!(placements(&site, &["speed=\"used\""]) > 30);
}

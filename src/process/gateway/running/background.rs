//! The background tasks of a gateway.

use std::rc::Rc;
use std::time::{Duration, Instant};

use sapphireford_platform::store::{OPERATOR_TABLE, SERVER_TABLE};

use super::Gateway;
use crate::process::gateway::gossip;
use crate::process::gateway::ledger::Ledger;
use crate::process::gateway::start;
use crate::process::gateway::watch::watch_table;
use crate::process::gateway::writer::StoreWriter;
use crate::process::overload::exchange;
use crate::process::teams::config_reads;

/// Interval of the maintenance task.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Starts all background tasks on the current runtime.
pub(super) fn start_tasks(gateway: &Rc<Gateway>, writer: &StoreWriter, ledger: &Ledger) {
    let store = gateway.store.clone();
    let config_gateway = gateway.clone();
    let config_age = gateway.config_age.clone();
    monoio::spawn(watch_table(
        store.clone(),
        OPERATOR_TABLE,
        move |change| config_gateway.apply_operator_rows(change),
        move |source, started| config_age.prove(source, started),
    ));
    monoio::spawn(config_reads::run(gateway.clone()));
    let server_gateway = gateway.clone();
    let apply_servers = move |change| {
        let store_recovered_at = server_gateway.store.last_recovery();
        server_gateway
            .servers
            .apply(change, store_recovered_at, Instant::now());
    };
    monoio::spawn(watch_table(
        store.clone(),
        SERVER_TABLE,
        apply_servers,
        |_, _| {},
    ));
    monoio::spawn(start::learn_from_peers(gateway.clone()));
    let directory = gateway.directory.clone();
    let registrations = gossip::run_registrations(directory.clone(), store.clone(), writer.clone());
    monoio::spawn(registrations);
    monoio::spawn(exchange::run(gateway.clone()));
    let servers = gateway.servers.clone();
    let http = gateway.http.clone();
    let config_age = gateway.config_age.clone();
    monoio::spawn(gossip::run_rounds(
        directory, servers, config_age, http, store,
    ));
    let maintenance_gateway = gateway.clone();
    let ledger = ledger.clone();
    monoio::spawn(async move {
        let mut ticks = maintenance_gateway.timer.subscribe(MAINTENANCE_INTERVAL);
        loop {
            ticks.tick().await;
            maintenance_gateway.servers.maintain(Instant::now());
            let servers = &maintenance_gateway.servers;
            maintenance_gateway.overload.update(servers, Instant::now());
            maintenance_gateway.rate_limits.remove_idle(Instant::now());
            ledger.close_idle(Instant::now());
            maintenance_gateway.metrics.run_upkeep();
        }
    });
}

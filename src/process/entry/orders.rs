//! Orders to engines: the models that the configuration names, loaded by one entry at a time.
//!
//! The responsible entry of an engine compares the configuration with the engine's row
//! `orders/{backend_server_id}`. If a model is missing there, it takes the right to give orders: a
//! compare-and-set on the row that names its incarnation and a higher fencing number. The right lasts
//! as long as the lease of that incarnation, so it costs no renewals. Another entry takes it only
//! when it was given back, or when the holder's entry row says that the incarnation is over.
//!
//! An engine that checks fencing numbers refuses the orders of a former holder. For the others:
//!
//! - a new holder waits after the end of the former lease for as long as an order can be on its way,
//! - every order is written to the row by compare-and-set before it is sent, so a holder that lost
//!   its right does not send,
//! - the lease is looked at last, and one order is in flight at a time.
//!
//! A load is put off while the weight store refuses reads. As each admitted read stands for one load,
//! a fleet loads at the rate of the store.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::connection::engine::EngineError;
use crate::connection::platform::{Check, CommitOutcome, PlatformError, Row, Write};
use crate::error::chain;
use crate::ids::{BackendServerId, FenceNumber, ModelId, VersionNumber};
use crate::process::entry::{CONTROL_CALL_TIMEOUT, Entry};
use crate::process::rows::{EntryRow, EntryState, Holder, entry_key, orders_key};
use crate::process::slots::lock::ThreadLocks;
use crate::version::config::{BackendServer, Config};

/// Pause between two comparisons of the configuration with the rows.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Longest random time that is added to the time after which the weight store is asked again.
const MAX_WEIGHTS_JITTER: Duration = Duration::from_secs(1);

/// The row of an engine's orders.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrdersRow {
    /// Who may give orders, as long as its lease lasts.
    pub holder: Option<Holder>,
    /// Grows with each change of the holder.
    pub fencing_number: FenceNumber,
    /// The models that the engine acknowledged.
    pub models: IndexSet<ModelId>,
    /// An order that may have been sent and is not acknowledged.
    pub pending: Option<ModelId>,
}

/// Why an engine does not have its models yet.
enum OrderError {
    /// Another entry may give orders.
    LockedByOther,
    /// The platform does not answer.
    Platform(PlatformError),
    /// The row was changed by another entry, or the acknowledgement of a write was lost.
    Conflict,
    /// The engine did not take the order.
    Engine(EngineError),
    /// This entry has no lease.
    NoLease,
    /// Another configuration has come into force.
    NewConfig,
}

impl From<PlatformError> for OrderError {
    fn from(error: PlatformError) -> Self {
        OrderError::Platform(error)
    }
}

/// What this entry does about the engines.
#[derive(Default)]
struct OrderTasks {
    /// Engines that a task works on.
    in_progress: RefCell<IndexSet<BackendServerId>>,
    /// Engines whose row says that they have the models of a configuration version.
    completed: RefCell<IndexSet<(VersionNumber, BackendServerId)>>,
    /// Engines whose row may still name this entry.
    unreleased: RefCell<IndexSet<BackendServerId>>,
    /// Held while the weight store is asked: an entry asks for one load at a time.
    weights_lock: ThreadLocks,
}

/// Gives orders to the engines that this entry is responsible for, for ever.
pub async fn run(entry: Rc<Entry>) {
    let tasks: Rc<OrderTasks> = Rc::default();
    let mut ticks = entry.timer.subscribe(CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        if let Some(config) = entry.config.current() {
            spawn_tasks(&entry, &config, &tasks);
        }
    }
}

fn spawn_tasks(entry: &Rc<Entry>, config: &Rc<Config>, tasks: &Rc<OrderTasks>) {
    let owned = entry.owned_engines(config);
    let mut completed = tasks.completed.borrow_mut();
    completed.retain(|(version, id)| *version == config.version && owned.contains(id));
    for id in &owned {
        let is_completed = completed.contains(&(config.version, id.clone()));
        if !is_completed && tasks.in_progress.borrow_mut().insert(id.clone()) {
            let (entry, config, tasks) = (entry.clone(), config.clone(), tasks.clone());
            monoio::spawn(order_models(entry, config, tasks, id.clone()));
        }
    }
    for id in tasks.unreleased.borrow().iter() {
        if !owned.contains(id) && tasks.in_progress.borrow_mut().insert(id.clone()) {
            monoio::spawn(release_lock(entry.clone(), tasks.clone(), id.clone()));
        }
    }
}

async fn order_models(
    entry: Rc<Entry>,
    config: Rc<Config>,
    tasks: Rc<OrderTasks>,
    id: BackendServerId,
) {
    match try_order_models(&entry, &config, &tasks, &id).await {
        Ok(()) => {
            tasks.unreleased.borrow_mut().swap_remove(&id);
            let key = (config.version, id.clone());
            tasks.completed.borrow_mut().insert(key);
        }
        Err(OrderError::Platform(error)) => log::info!("no order to `{id}`: {}", chain(&error)),
        Err(OrderError::Engine(error)) => log::warn!("the order to `{id}` failed: {error}"),
        Err(
            OrderError::LockedByOther
            | OrderError::Conflict
            | OrderError::NoLease
            | OrderError::NewConfig,
        ) => {}
    }
    tasks.in_progress.borrow_mut().swap_remove(&id);
}

/// Orders the models that the row does not have, one after the other, and gives the right back.
async fn try_order_models(
    entry: &Entry,
    config: &Config,
    tasks: &OrderTasks,
    id: &BackendServerId,
) -> Result<(), OrderError> {
    let server = &config.backend_servers[id];
    let row = entry.platform.read_one(&orders_key(id)).await?;
    let desired: IndexSet<ModelId> = server.models.iter().cloned().collect();
    let current = decode(&row)?;
    if current.models == desired && current.holder.is_none() {
        return Ok(());
    }
    tasks.unreleased.borrow_mut().insert(id.clone());
    let mut lock = OrdersLock::acquire(entry, server, row).await?;
    // A model that is no longer wanted is ordered again when it is wanted again.
    lock.row.models.retain(|model| desired.contains(model));
    for model in &desired {
        if !lock.row.models.contains(model) {
            wait_for_weights(entry, config, tasks, model).await?;
            lock.load(entry, server, model).await?;
        }
    }
    lock.row.holder = None;
    lock.write(entry).await
}

/// Waits until the weight store admits a read.
async fn wait_for_weights(
    entry: &Entry,
    config: &Config,
    tasks: &OrderTasks,
    model: &ModelId,
) -> Result<(), OrderError> {
    let _lock = tasks.weights_lock.lock(0, usize::MAX).await;
    while let Some(wait) = entry.platform.weights_wait(model).await? {
        // The random part keeps the entries that were refused together from asking together.
        let jitter = MAX_WEIGHTS_JITTER.mul_f64(rand::random());
        entry.timer.sleep(wait + jitter).await;
        if entry.config.version() != config.version {
            return Err(OrderError::NewConfig);
        }
    }
    Ok(())
}

/// Gives a right back that this entry may still have although another one is responsible.
async fn release_lock(entry: Rc<Entry>, tasks: Rc<OrderTasks>, id: BackendServerId) {
    if try_release_lock(&entry, &id).await.is_ok() {
        tasks.unreleased.borrow_mut().swap_remove(&id);
    }
    tasks.in_progress.borrow_mut().swap_remove(&id);
}

async fn try_release_lock(entry: &Entry, id: &BackendServerId) -> Result<(), OrderError> {
    let found = entry.platform.read_one(&orders_key(id)).await?;
    let row = decode(&found)?;
    let holder = row.holder.as_ref();
    if holder.is_none_or(|holder| Some(holder) != entry.journal.holder().as_ref()) {
        return Ok(());
    }
    let mut lock = OrdersLock {
        key: found.key,
        version: found.version,
        row: OrdersRow {
            holder: None,
            ..row
        },
    };
    lock.write(entry).await
}

fn decode(row: &Row) -> Result<OrdersRow, PlatformError> {
    if row.version == 0 {
        return Ok(OrdersRow::default());
    }
    row.decode()
}

/// The right to give orders to an engine.
struct OrdersLock {
    key: String,
    version: u64,
    row: OrdersRow,
}

impl OrdersLock {
    async fn acquire(
        entry: &Entry,
        server: &BackendServer,
        found: Row,
    ) -> Result<Self, OrderError> {
        let own = entry.journal.holder().ok_or(OrderError::NoLease)?;
        let mut row = decode(&found)?;
        let previous = row.holder.replace(own.clone());
        let mut lock = Self {
            key: found.key,
            version: found.version,
            row,
        };
        match previous {
            Some(previous) if previous == own => return Ok(lock),
            Some(previous) if !has_lease_ended(entry, &previous).await? => {
                return Err(OrderError::LockedByOther);
            }
            _ => {}
        }
        lock.row.fencing_number += 1;
        lock.write(entry).await?;
        if previous_holder_may_send(&lock.row) && !server.checks_fencing {
            entry.timer.sleep(CONTROL_CALL_TIMEOUT).await;
        }
        Ok(lock)
    }

    async fn load(
        &mut self,
        entry: &Entry,
        server: &BackendServer,
        model: &ModelId,
    ) -> Result<(), OrderError> {
        self.row.pending = Some(model.clone());
        self.write(entry).await?;
        let now = entry.timer.now();
        if entry.journal.holder() != self.row.holder || !entry.journal.holds_lease_at(now) {
            return Err(OrderError::NoLease);
        }
        let order = json!({ "kind": "load_model", "model": model });
        let ordered = entry
            .engines
            .order(server.address, self.row.fencing_number, &order);
        ordered.await.map_err(OrderError::Engine)?;
        self.row.pending = None;
        self.row.models.insert(model.clone());
        Ok(())
    }

    /// Writes the row if it is as this entry knows it.
    async fn write(&mut self, entry: &Entry) -> Result<(), OrderError> {
        let check = Check {
            key: self.key.clone(),
            version: self.version,
        };
        let write = Write::put(&self.key, &self.row)?;
        match entry.platform.commit(&[check], &[write]).await? {
            CommitOutcome::Committed(versions) => {
                self.version = versions.first().copied().unwrap_or_default();
                Ok(())
            }
            // After a lost acknowledgement the next comparison reads the row again.
            CommitOutcome::Conflict(_) | CommitOutcome::Unknown(_) => Err(OrderError::Conflict),
        }
    }
}

/// Whether an order of a former holder may still be on its way: the first holder has none.
fn previous_holder_may_send(row: &OrdersRow) -> bool {
    row.fencing_number > 1
}

/// Whether the lease of an incarnation is over for certain.
async fn has_lease_ended(entry: &Entry, holder: &Holder) -> Result<bool, OrderError> {
    let row = entry
        .platform
        .read_one(&entry_key(&holder.entry_id))
        .await?;
    if row.version == 0 {
        return Ok(true);
    }
    let row: EntryRow = row.decode()?;
    let is_closed = matches!(row.state, EntryState::Fenced | EntryState::Closed);
    Ok(is_closed || row.incarnation != holder.incarnation)
}

//! Orders to engines to load the models that the configuration names.
//!
//! Each engine has one owner among the entries, which compares the configuration with the engine's
//! row `orders/{backend_server_id}`. If a model is missing there, the owner acquires a lock on the
//! orders of the engine: a compare-and-set on the row that stores its incarnation and a higher
//! fencing number. The lock is valid as long as the lease of that incarnation, so it needs no
//! renewals of its own. Another entry acquires it only after it was released, or after the holder's
//! entry row shows that the incarnation has ended.
//!
//! An engine that checks fencing numbers refuses the orders of a previous holder. For other
//! engines:
//!
//! - a new holder waits after the end of the previous lease for as long as an order can be in
//!   flight,
//! - every order is written to the row by compare-and-set before it is sent, so a holder that lost
//!   the lock sends nothing,
//! - the lease is checked last, right before sending, and one order is in flight at a time.
//!
//! A load waits while the weight store refuses reads. Each admitted read stands for one load, so
//! all engines together load at the rate of the store.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::connection::engine::EngineError;
use crate::connection::platform::{Check, CommitOutcome, PlatformError, Row, Write};
use crate::error::chain;
use crate::ids::{BackendServerId, FencingNumber, ModelId, VersionNumber};
use crate::process::entry::{CONTROL_CALL_TIMEOUT, Entry};
use crate::process::rows::{EntryIncarnation, EntryRow, EntryState, entry_key, orders_key};
use crate::process::slots::lock::ThreadLocks;
use crate::version::config::{BackendServer, Config};

/// Interval at which the configuration is compared with the rows.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Largest random addition to the delay before the weight store is asked again.
const MAX_WEIGHTS_JITTER: Duration = Duration::from_secs(1);

/// The row `orders/{backend_server_id}`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrdersRow {
    /// Holder of the lock, valid as long as its lease; `None` if the lock is free.
    pub holder: Option<EntryIncarnation>,
    /// Incremented with each change of the holder; 0 before the first.
    pub fencing_number: FencingNumber,
    /// Models whose load the engine acknowledged.
    pub models: IndexSet<ModelId>,
    /// Model of an order that may have been sent and is not acknowledged.
    pub pending: Option<ModelId>,
}

/// Reason why the models of an engine were not all ordered; the next check tries again.
enum OrderError {
    /// Another entry holds the lock.
    LockedByOther,
    /// The platform did not serve a request.
    Platform(PlatformError),
    /// Another entry changed the row, or the acknowledgement of a write was lost.
    Conflict,
    /// The engine did not accept the order.
    Engine(EngineError),
    NoLease,
    NewConfig,
}

impl From<PlatformError> for OrderError {
    fn from(error: PlatformError) -> Self {
        OrderError::Platform(error)
    }
}

/// State shared by the tasks of this module.
#[derive(Default)]
struct OrderTasks {
    /// Engines with a running task; at most one task per engine.
    in_progress: RefCell<IndexSet<BackendServerId>>,
    /// Engines whose row contains all models of a configuration version.
    completed: RefCell<IndexSet<(VersionNumber, BackendServerId)>>,
    /// Engines whose row may still name this entry as the holder.
    unreleased: RefCell<IndexSet<BackendServerId>>,
    /// Held while the weight store is asked, so that an entry asks for one load at a time. Only
    /// the lock with number 0 is used.
    weights_lock: ThreadLocks,
}

/// Orders models for the engines that this entry owns, until the process ends.
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

/// Starts a task for each owned engine whose models are not all ordered, and for each lock on an
/// engine that this entry no longer owns.
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
        Err(OrderError::Platform(error)) => log::info!(
            "models of engine `{id}` were not ordered: {}",
            chain(&error)
        ),
        Err(OrderError::Engine(error)) => log::warn!("order to engine `{id}` failed: {error}"),
        Err(
            OrderError::LockedByOther
            | OrderError::Conflict
            | OrderError::NoLease
            | OrderError::NewConfig,
        ) => {}
    }
    tasks.in_progress.borrow_mut().swap_remove(&id);
}

/// Orders the models that are missing in the row, one after the other, and releases the lock.
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
    // A model that leaves the configuration is ordered again if it returns.
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

/// Waits until the weight store admits a read of the model; fails if the configuration changes.
async fn wait_for_weights(
    entry: &Entry,
    config: &Config,
    tasks: &OrderTasks,
    model: &ModelId,
) -> Result<(), OrderError> {
    let _lock = tasks.weights_lock.lock(0, usize::MAX).await;
    while let Some(wait) = entry.platform.weight_read_delay(model).await? {
        // Jitter keeps entries that were refused together from asking again together.
        let jitter = MAX_WEIGHTS_JITTER.mul_f64(rand::random());
        entry.timer.sleep(wait + jitter).await;
        if entry.config.version() != config.version {
            return Err(OrderError::NewConfig);
        }
    }
    Ok(())
}

/// Releases the lock that this entry may still hold on an engine that it no longer owns.
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
    if holder.is_none_or(|holder| Some(holder) != entry.journal.own_incarnation().as_ref()) {
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

/// The lock on the orders of one engine, as last read or written by this entry.
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
        let own = entry.journal.own_incarnation().ok_or(OrderError::NoLease)?;
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
        if entry.journal.own_incarnation() != self.row.holder || !entry.journal.holds_lease_at(now)
        {
            return Err(OrderError::NoLease);
        }
        let order = json!({ "kind": "load_model", "model": model });
        let ordered = entry
            .engines
            .send_order(server.address, self.row.fencing_number, &order);
        ordered.await.map_err(OrderError::Engine)?;
        self.row.pending = None;
        self.row.models.insert(model.clone());
        Ok(())
    }

    /// Writes the row unless it has changed since this entry last read or wrote it.
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
            // After a lost acknowledgement the next check reads the row again.
            CommitOutcome::Conflict(_) | CommitOutcome::Unknown(_) => Err(OrderError::Conflict),
        }
    }
}

/// Whether an order of a previous holder may still be in flight. The first holder has no
/// predecessor.
fn previous_holder_may_send(row: &OrdersRow) -> bool {
    row.fencing_number > 1
}

/// Whether the lease of an incarnation has certainly ended.
async fn has_lease_ended(entry: &Entry, holder: &EntryIncarnation) -> Result<bool, OrderError> {
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

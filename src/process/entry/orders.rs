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
use crate::process::entry::{CONTROL_TIME, Entry};
use crate::process::rows::{EntryIncarnation, EntryRow, EntryState, entry_key, orders_key};
use crate::process::slots::lock::ThreadLocks;
use crate::version::config::{BackendServer, Config};

/// Pause between two comparisons of the configuration with the rows.
const COMPARE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest random time that is added to the time after which the weight store is asked again.
const WEIGHTS_SPREAD: Duration = Duration::from_secs(1);

/// The row of an engine's orders.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrdersRow {
    /// Who may give orders, as long as its lease lasts.
    pub holder: Option<EntryIncarnation>,
    /// Grows with each change of the holder.
    pub fencing_number: FenceNumber,
    /// The models that the engine acknowledged.
    pub models: IndexSet<ModelId>,
    /// An order that may have been sent and is not acknowledged.
    pub pending: Option<ModelId>,
}

/// Why an engine does not have its models yet.
enum Delay {
    /// Another entry may give orders.
    NotHolder,
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

impl From<PlatformError> for Delay {
    fn from(error: PlatformError) -> Self {
        Delay::Platform(error)
    }
}

/// What this entry does about the engines.
#[derive(Default)]
struct Progress {
    /// Engines that a task works on.
    working: RefCell<IndexSet<BackendServerId>>,
    /// Engines whose row says that they have the models of a configuration version.
    settled: RefCell<IndexSet<(VersionNumber, BackendServerId)>>,
    /// Engines whose row may still name this entry.
    unreturned: RefCell<IndexSet<BackendServerId>>,
    /// Held while the weight store is asked: an entry asks for one load at a time.
    asking: ThreadLocks,
}

/// Gives orders to the engines that this entry is responsible for, for ever.
pub async fn run(entry: Rc<Entry>) {
    let progress: Rc<Progress> = Rc::default();
    let mut ticks = entry.timer.subscribe(COMPARE_INTERVAL);
    loop {
        ticks.tick().await;
        if let Some(config) = entry.config.current() {
            compare(&entry, &config, &progress);
        }
    }
}

fn compare(entry: &Rc<Entry>, config: &Rc<Config>, progress: &Rc<Progress>) {
    let own = entry.responsible_for(config);
    let mut settled = progress.settled.borrow_mut();
    settled.retain(|(version, id)| *version == config.version && own.contains(id));
    for id in &own {
        let is_settled = settled.contains(&(config.version, id.clone()));
        if !is_settled && progress.working.borrow_mut().insert(id.clone()) {
            let (entry, config, progress) = (entry.clone(), config.clone(), progress.clone());
            monoio::spawn(settle(entry, config, progress, id.clone()));
        }
    }
    for id in progress.unreturned.borrow().iter() {
        if !own.contains(id) && progress.working.borrow_mut().insert(id.clone()) {
            monoio::spawn(give_back(entry.clone(), progress.clone(), id.clone()));
        }
    }
}

async fn settle(entry: Rc<Entry>, config: Rc<Config>, progress: Rc<Progress>, id: BackendServerId) {
    match bring_about(&entry, &config, &progress, &id).await {
        Ok(()) => {
            progress.unreturned.borrow_mut().swap_remove(&id);
            let key = (config.version, id.clone());
            progress.settled.borrow_mut().insert(key);
        }
        Err(Delay::Platform(error)) => log::info!("no order to `{id}`: {}", chain(&error)),
        Err(Delay::Engine(error)) => log::warn!("the order to `{id}` failed: {error}"),
        Err(Delay::NotHolder | Delay::Conflict | Delay::NoLease | Delay::NewConfig) => {}
    }
    progress.working.borrow_mut().swap_remove(&id);
}

/// Orders the models that the row does not have, one after the other, and gives the right back.
async fn bring_about(
    entry: &Entry,
    config: &Config,
    progress: &Progress,
    id: &BackendServerId,
) -> Result<(), Delay> {
    let server = &config.backend_servers[id];
    let row = entry.platform.read_one(&orders_key(id)).await?;
    let wanted: IndexSet<ModelId> = server.models.iter().cloned().collect();
    let known = decode(&row)?;
    if known.models == wanted && known.holder.is_none() {
        return Ok(());
    }
    progress.unreturned.borrow_mut().insert(id.clone());
    let mut right = Right::take(entry, server, row).await?;
    // A model that is no longer wanted is ordered again when it is wanted again.
    right.row.models.retain(|model| wanted.contains(model));
    for model in &wanted {
        if !right.row.models.contains(model) {
            wait_for_weights(entry, config, progress, model).await?;
            right.load(entry, server, model).await?;
        }
    }
    right.row.holder = None;
    right.write(entry).await
}

/// Waits until the weight store admits a read.
async fn wait_for_weights(
    entry: &Entry,
    config: &Config,
    progress: &Progress,
    model: &ModelId,
) -> Result<(), Delay> {
    let _lock = progress.asking.lock(0, usize::MAX).await;
    while let Some(wait) = entry.platform.weight_read_delay(model).await? {
        // The random part keeps the entries that were refused together from asking together.
        let spread = WEIGHTS_SPREAD.mul_f64(rand::random());
        entry.timer.sleep(wait + spread).await;
        if entry.config.version() != config.version {
            return Err(Delay::NewConfig);
        }
    }
    Ok(())
}

/// Gives a right back that this entry may still have although another one is responsible.
async fn give_back(entry: Rc<Entry>, progress: Rc<Progress>, id: BackendServerId) {
    if return_right(&entry, &id).await.is_ok() {
        progress.unreturned.borrow_mut().swap_remove(&id);
    }
    progress.working.borrow_mut().swap_remove(&id);
}

async fn return_right(entry: &Entry, id: &BackendServerId) -> Result<(), Delay> {
    let found = entry.platform.read_one(&orders_key(id)).await?;
    let row = decode(&found)?;
    let holder = row.holder.as_ref();
    if holder.is_none_or(|holder| Some(holder) != entry.journal.holder().as_ref()) {
        return Ok(());
    }
    let mut right = Right {
        key: found.key,
        version: found.version,
        row: OrdersRow {
            holder: None,
            ..row
        },
    };
    right.write(entry).await
}

fn decode(row: &Row) -> Result<OrdersRow, PlatformError> {
    if row.version == 0 {
        return Ok(OrdersRow::default());
    }
    row.decode()
}

/// The right to give orders to an engine.
struct Right {
    key: String,
    version: u64,
    row: OrdersRow,
}

impl Right {
    async fn take(entry: &Entry, server: &BackendServer, found: Row) -> Result<Self, Delay> {
        let own = entry.journal.holder().ok_or(Delay::NoLease)?;
        let mut row = decode(&found)?;
        let former = row.holder.replace(own.clone());
        let mut right = Self {
            key: found.key,
            version: found.version,
            row,
        };
        match former {
            Some(former) if former == own => return Ok(right),
            Some(former) if !is_over(entry, &former).await? => return Err(Delay::NotHolder),
            _ => {}
        }
        right.row.fencing_number += 1;
        right.write(entry).await?;
        if former_may_send(&right.row) && !server.checks_fencing {
            entry.timer.sleep(CONTROL_TIME).await;
        }
        Ok(right)
    }

    async fn load(
        &mut self,
        entry: &Entry,
        server: &BackendServer,
        model: &ModelId,
    ) -> Result<(), Delay> {
        self.row.pending = Some(model.clone());
        self.write(entry).await?;
        let now = entry.timer.now();
        if entry.journal.holder() != self.row.holder || !entry.journal.holds_lease_at(now) {
            return Err(Delay::NoLease);
        }
        let order = json!({ "kind": "load_model", "model": model });
        let ordered = entry
            .engines
            .order(server.address, self.row.fencing_number, &order);
        ordered.await.map_err(Delay::Engine)?;
        self.row.pending = None;
        self.row.models.insert(model.clone());
        Ok(())
    }

    /// Writes the row if it is as this entry knows it.
    async fn write(&mut self, entry: &Entry) -> Result<(), Delay> {
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
            CommitOutcome::Conflict(_) | CommitOutcome::Unknown(_) => Err(Delay::Conflict),
        }
    }
}

/// Whether an order of a former holder may still be on its way: the first holder has none.
fn former_may_send(row: &OrdersRow) -> bool {
    row.fencing_number > 1
}

/// Whether the lease of an incarnation is over for certain.
async fn is_over(entry: &Entry, holder: &EntryIncarnation) -> Result<bool, Delay> {
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

//! The load of a service, combined from what is known of its servers.

use std::time::Duration;

/// What a gateway knows of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownLoad {
    /// Requests that the server processes at once.
    pub slots: u32,
    /// The last report: requests in progress and queued, including those sent since, and its age.
    /// `None` if no usable report is known.
    pub report: Option<(u32, Duration)>,
    /// How much longer than on an idle server a recent request waited for its first event, in
    /// thousandths of the time of a turn. `None` without a recent request.
    pub excess_wait_permille: Option<u32>,
    /// How long work takes on the server's VM, in percent of the normal time; `None` if it has not
    /// stated it recently.
    pub speed_percent: Option<u32>,
}

/// Most batches that one server adds to the load of its service. An engine refuses requests beyond
/// a few batches, so a larger statement is wrong and must not close the whole service.
const MAX_BATCHES: f64 = 4.0;
/// Excess wait beyond which a server that reports free slots is not believed: half a turn. On a
/// server with a free slot, a request does not wait for another one to end.
const CONTRADICTING_WAIT_PERMILLE: u32 = 500;

/// Share of the slots with usable reports from which these stand for the other servers as well.
const MIN_KNOWN_SHARE: f64 = 0.25;

/// The load of a service in batches: requests divided by the slots of its servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Slots of all servers.
    pub slots: u32,
    /// Requests in progress and queued, in batches.
    pub batches: f64,
    /// Share of the slots that are free, of the servers with a usable report.
    pub free_share: f64,
    /// Share of the slots whose servers have a usable report.
    pub known_share: f64,
    /// Age of the oldest and of the newest usable report.
    pub report_ages: Option<(Duration, Duration)>,
    /// How many times the normal time work takes, at least 1; the mean of the known speeds.
    pub slowdown: f64,
}

impl Default for ServiceLoad {
    fn default() -> Self {
        Self {
            slots: 0,
            batches: 0.0,
            free_share: 0.0,
            known_share: 0.0,
            report_ages: None,
            slowdown: 1.0,
        }
    }
}

impl ServiceLoad {
    /// Combines the loads of the servers. `service_excess_wait_permille` is the recent excess wait
    /// of the whole service; it stands in for servers without a usable report.
    pub fn combine(
        servers: impl IntoIterator<Item = KnownLoad>,
        service_excess_wait_permille: u32,
    ) -> Self {
        let mut load = Self::default();
        let mut known_slots = 0.0;
        let mut requests = 0.0;
        let mut free = 0.0;
        let (mut speed_sum, mut speeds) = (0.0, 0.0);
        for server in servers {
            load.slots = load.slots.saturating_add(server.slots);
            let slots = f64::from(server.slots);
            if let Some(speed_percent) = server.speed_percent {
                speed_sum += f64::from(speed_percent) / 100.0;
                speeds += 1.0;
            }
            let Some((reported, age)) = server.report else {
                continue;
            };
            let reports_free_slot = reported < server.slots;
            let excess = server.excess_wait_permille.unwrap_or(0);
            if reports_free_slot && excess > CONTRADICTING_WAIT_PERMILLE {
                continue;
            }
            known_slots += slots;
            requests += f64::from(reported).min(slots * MAX_BATCHES);
            free += (slots - f64::from(reported)).max(0.0);
            let (oldest, newest) = load.report_ages.unwrap_or((age, age));
            load.report_ages = Some((oldest.max(age), newest.min(age)));
        }
        if load.slots == 0 {
            return load;
        }
        if speeds > 0.0 {
            load.slowdown = f64::max(speed_sum / speeds, 1.0);
        }
        let slots = f64::from(load.slots);
        load.known_share = known_slots / slots;
        let unknown_share = 1.0 - load.known_share;
        // A request that finds one batch waiting waits for about one turn.
        let excess_batches = f64::from(service_excess_wait_permille) / 1_000.0;
        let known_batches = match known_slots > 0.0 {
            true => requests / known_slots,
            false => 1.0,
        };
        let estimated = match excess_batches {
            _ if load.known_share >= MIN_KNOWN_SHARE => known_batches,
            excess if excess > 0.0 => (1.0 + excess).min(MAX_BATCHES),
            // Nothing is known to wait, so the unknown servers are taken to be like the others, but
            // not to be overloaded.
            _ => known_batches.min(1.0),
        };
        load.batches = load.known_share * known_batches + unknown_share * estimated;
        load.free_share = free / known_slots.max(1.0);
        load
    }
}

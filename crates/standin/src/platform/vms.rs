//! The list of VMs, which is served with a lag.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use sapphireford::connection::platform::Vm;

/// The lists that were set, oldest first.
#[derive(Default)]
pub struct VmList {
    served: Vec<Vm>,
    /// Lists that are not old enough to be served, with the time at which each will be.
    pending: VecDeque<(Instant, Vec<Vm>)>,
    lag: Duration,
}

impl VmList {
    /// Sets the lag of lists that are set from now on.
    pub fn set_lag_ms(&mut self, lag_ms: u64) {
        self.lag = Duration::from_millis(lag_ms);
    }

    /// Sets the list that is served after the lag.
    pub fn set(&mut self, vms: Vec<Vm>) {
        self.pending.push_back((Instant::now() + self.lag, vms));
    }

    /// The list that is served now.
    pub fn list(&mut self) -> &[Vm] {
        let now = Instant::now();
        while let Some((_, vms)) = self
            .pending
            .pop_front_if(|(served_from, _)| *served_from <= now)
        {
            self.served = vms;
        }
        &self.served
    }
}

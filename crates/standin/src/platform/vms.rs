//! The list of VMs, served with a delay.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use sapphireford::connection::platform::Vm;

/// The list being served and the lists to be served later.
#[derive(Default)]
pub struct VmList {
    served: Vec<Vm>,
    /// Lists to be served later, each with the time from which it is served, in the order set.
    pending: VecDeque<(Instant, Vec<Vm>)>,
    lag: Duration,
}

impl VmList {
    /// Sets the delay of lists that are set from now on.
    pub fn set_lag_ms(&mut self, lag_ms: u64) {
        self.lag = Duration::from_millis(lag_ms);
    }

    /// Sets the list to be served after the delay.
    pub fn set(&mut self, vms: Vec<Vm>) {
        self.pending.push_back((Instant::now() + self.lag, vms));
    }

    /// Returns the list being served.
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

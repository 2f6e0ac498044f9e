//! The timer service of a thread, which provides all sleeps, timeouts and periodic ticks.
//!
//! One driver task sleeps until the earliest deadline and wakes the futures that are due. A single
//! source of time keeps the number of runtime timers constant and gives every module its timeouts
//! from the same place.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use indexmap::IndexMap;

/// The result of work with a timeout.
pub type Result<T> = std::result::Result<T, Elapsed>;

/// The error of work that was not complete at its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("timeout exceeded")
    }
}

impl std::error::Error for Elapsed {}

/// Milliseconds since the Unix epoch by the wall clock, for timestamps that outlive the process.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

type TimerId = u64;

/// Number of deadlines below which those of dropped sleeps are not removed.
const MIN_COMPACTED_DEADLINES: usize = 64;

#[derive(Default)]
struct State {
    /// May contain ids of dropped sleeps, which are no longer in `wakers`. They are skipped when
    /// due, and removed when they are more than half.
    deadlines: RefCell<BinaryHeap<Reverse<(Instant, TimerId)>>>,
    wakers: RefCell<IndexMap<TimerId, Waker>>,
    next_id: Cell<TimerId>,
    driver: RefCell<Option<Waker>>,
}

/// A handle to the timer service of a thread; clones share the same service.
#[derive(Clone)]
pub struct TimerService {
    state: Rc<State>,
}

impl State {
    /// Adds a deadline, and wakes the driver if the deadline is the earliest.
    fn add(&self, deadline: Instant) -> TimerId {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let mut deadlines = self.deadlines.borrow_mut();
        let earliest = deadlines.peek().map(|first| first.0.0);
        deadlines.push(Reverse((deadline, id)));
        drop(deadlines);
        if earliest.is_none_or(|earliest| deadline < earliest)
            && let Some(driver) = self.driver.borrow_mut().take()
        {
            driver.wake();
        }
        id
    }

    /// Removes a sleep that is dropped. Work that completes within its timeout drops its sleep
    /// before the deadline; such deadlines are frequent and must not accumulate until they are due.
    fn remove(&self, id: TimerId) {
        let mut wakers = self.wakers.borrow_mut();
        let mut deadlines = self.deadlines.borrow_mut();
        wakers.swap_remove(&id);
        if deadlines.len() >= MIN_COMPACTED_DEADLINES && deadlines.len() > 2 * wakers.len() {
            deadlines.retain(|Reverse((_, id))| wakers.contains_key(id));
        }
    }
}

impl TimerService {
    /// Starts the driver task on the current runtime.
    pub fn start() -> Self {
        let service = Self {
            state: Rc::default(),
        };
        let state = service.state.clone();
        monoio::spawn(async move { drive(&state).await });
        service
    }

    /// The current instant of the monotonic clock.
    pub fn now(&self) -> Instant {
        Instant::now()
    }

    /// Completes after `duration`.
    pub fn sleep(&self, duration: Duration) -> Sleep {
        self.sleep_until(Instant::now() + duration)
    }

    /// Completes at `deadline`.
    pub fn sleep_until(&self, deadline: Instant) -> Sleep {
        Sleep {
            state: self.state.clone(),
            deadline,
            id: None,
        }
    }

    /// Ticks at the interval `period`; the first one is due after one period.
    pub fn subscribe(&self, period: Duration) -> Ticks {
        Ticks {
            timer: self.clone(),
            period,
            next: Instant::now() + period,
        }
    }

    /// Runs `work` with a timeout; `work` is dropped when the timeout elapses.
    pub async fn timeout<F: Future>(&self, limit: Duration, work: F) -> Result<F::Output> {
        self.timeout_at(Instant::now() + limit, work).await
    }

    /// Runs `work` until `deadline` at the latest; `work` is dropped at the deadline.
    pub async fn timeout_at<F: Future>(&self, deadline: Instant, work: F) -> Result<F::Output> {
        let work = pin!(work);
        match select(work, self.sleep_until(deadline)).await {
            Either::Left((output, _)) => Ok(output),
            Either::Right(_) => Err(Elapsed),
        }
    }
}

/// A future that completes at its deadline.
pub struct Sleep {
    state: Rc<State>,
    deadline: Instant,
    id: Option<TimerId>,
}

impl Sleep {
    /// The instant at which the future completes.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.deadline {
            return Poll::Ready(());
        }
        let id = match self.id {
            Some(id) => id,
            None => {
                let id = self.state.add(self.deadline);
                self.id = Some(id);
                id
            }
        };
        self.state
            .wakers
            .borrow_mut()
            .insert(id, context.waker().clone());
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.state.remove(id);
        }
    }
}

/// Periodic ticks, created by [`TimerService::subscribe`].
pub struct Ticks {
    timer: TimerService,
    period: Duration,
    next: Instant,
}

impl Ticks {
    /// Waits for the next tick. Missed ticks are skipped.
    pub async fn tick(&mut self) {
        self.timer.sleep_until(self.next).await;
        self.next = (self.next + self.period).max(Instant::now());
    }
}

async fn drive(state: &State) {
    let mut runtime_sleep: Option<(Instant, Pin<Box<monoio::time::Sleep>>)> = None;
    poll_fn(|context| {
        loop {
            wake_due(state, Instant::now());
            let Some(next) = next_deadline(state) else {
                runtime_sleep = None;
                break;
            };
            if runtime_sleep
                .as_ref()
                .is_none_or(|(deadline, _)| *deadline != next)
            {
                runtime_sleep = Some((next, Box::pin(monoio::time::sleep_until(next.into()))));
            }
            let Some((_, sleep)) = runtime_sleep.as_mut() else {
                break;
            };
            if sleep.as_mut().poll(context).is_pending() {
                break;
            }
            runtime_sleep = None;
        }
        *state.driver.borrow_mut() = Some(context.waker().clone());
        Poll::<()>::Pending
    })
    .await;
}

fn wake_due(state: &State, now: Instant) {
    loop {
        let id = match state.deadlines.borrow_mut().peek_mut() {
            Some(first) if first.0.0 <= now => {
                std::collections::binary_heap::PeekMut::pop(first).0.1
            }
            _ => return,
        };
        let waker = state.wakers.borrow_mut().swap_remove(&id);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

fn next_deadline(state: &State) -> Option<Instant> {
    state.deadlines.borrow().peek().map(|first| first.0.0)
}

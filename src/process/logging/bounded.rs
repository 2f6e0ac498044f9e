//! Log output that never blocks the request path and whose volume is bounded.
//!
//! Lines pass through a channel of limited length to a thread that writes them. A line that exceeds the
//! number of lines of a second, or finds the channel full, is dropped and counted. The number of
//! dropped lines is logged once a second while there are any.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use logforth::layout::JsonLayout;
use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Layout};

use crate::process::metrics;

/// Lines of requests and other events in each second.
const LINES_PER_SECOND: u32 = 200;
/// Further lines of warnings and errors in each second, so that events cannot crowd them out.
const WARNINGS_PER_SECOND: u32 = 50;
/// Lines that wait for the writing thread; a few seconds of output.
const QUEUE_CAPACITY_LINES: usize = 1_000;
/// Longest time that a process which ends waits for its last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause before a flush that found the channel full is tried again.
const FLUSH_RETRY_DELAY: Duration = Duration::from_millis(5);
/// The time for which lines are counted together.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Bounds the lines of each second.
#[derive(Debug)]
pub struct LineRateLimiter {
    lines_per_window: u32,
    window_start: Option<Instant>,
    admitted: u32,
    dropped: u64,
}

/// What to do with a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineDecision {
    /// Write it.
    Write,
    /// Write it, and say that so many lines before it were dropped.
    WriteAfterDropped(u64),
    /// Drop it.
    Drop,
}

impl LineRateLimiter {
    /// Allows `lines_per_window` lines in each second.
    pub fn new(lines_per_window: u32) -> Self {
        Self {
            lines_per_window,
            window_start: None,
            admitted: 0,
            dropped: 0,
        }
    }

    /// Decides on a line.
    pub fn admit(&mut self, now: Instant) -> LineDecision {
        let is_new_window = self
            .window_start
            .is_none_or(|start| now.saturating_duration_since(start) >= RATE_WINDOW);
        if is_new_window {
            self.window_start = Some(now);
            self.admitted = 0;
        }
        if self.admitted >= self.lines_per_window {
            self.dropped += 1;
            return LineDecision::Drop;
        }
        self.admitted += 1;
        match std::mem::take(&mut self.dropped) {
            0 => LineDecision::Write,
            dropped => LineDecision::WriteAfterDropped(dropped),
        }
    }

    /// Counts a line that was admitted but could not be written.
    pub fn record_dropped(&mut self) {
        self.dropped += 1;
    }
}

/// What the writing thread is to do.
#[derive(Debug)]
enum WriterCommand {
    Line(Vec<u8>),
    /// Say that all lines before it are written.
    Flush(SyncSender<()>),
}

/// Writes JSON lines to standard output from a thread of its own.
#[derive(Debug)]
pub struct BoundedOutput {
    layout: JsonLayout,
    commands: SyncSender<WriterCommand>,
    event_limiter: Mutex<LineRateLimiter>,
    warning_limiter: Mutex<LineRateLimiter>,
}

impl BoundedOutput {
    /// Starts the thread that writes.
    pub fn start() -> std::io::Result<Self> {
        let (commands, received) = sync_channel(QUEUE_CAPACITY_LINES);
        std::thread::Builder::new()
            .name("log-output".to_string())
            .spawn(move || write_lines(&received))?;
        Ok(Self {
            layout: JsonLayout::default(),
            commands,
            event_limiter: Mutex::new(LineRateLimiter::new(LINES_PER_SECOND)),
            warning_limiter: Mutex::new(LineRateLimiter::new(WARNINGS_PER_SECOND)),
        })
    }

    fn limiter(&self, level: Level) -> &Mutex<LineRateLimiter> {
        if level >= Level::Warn {
            &self.warning_limiter
        } else {
            &self.event_limiter
        }
    }
}

fn write_lines(received: &Receiver<WriterCommand>) {
    while let Ok(next) = received.recv() {
        match next {
            WriterCommand::Line(line) => {
                let mut output = std::io::stdout().lock();
                // Nobody can be told that standard output is closed.
                let _ = output.write_all(&line).and_then(|()| output.flush());
            }
            // A caller that no longer waits needs no answer.
            WriterCommand::Flush(done) => drop(done.try_send(())),
        }
    }
}

impl Append for BoundedOutput {
    fn append(
        &self,
        record: &Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let limiter = self.limiter(record.level());
        let decision = limiter
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .admit(Instant::now());
        if decision == LineDecision::Drop {
            ::metrics::counter!(metrics::LOG_LINES_DROPPED).increment(1);
            return Ok(());
        }
        let mut line = Vec::new();
        if let LineDecision::WriteAfterDropped(dropped) = decision {
            let notice = format!("{{\"message\":\"log lines dropped\",\"dropped\":{dropped}}}\n");
            line.extend_from_slice(notice.as_bytes());
        }
        line.extend(self.layout.format(record, diagnostics)?);
        line.push(b'\n');
        if self.commands.try_send(WriterCommand::Line(line)).is_err() {
            ::metrics::counter!(metrics::LOG_LINES_DROPPED).increment(1);
            let mut limiter = limiter.lock().unwrap_or_else(PoisonError::into_inner);
            limiter.record_dropped();
        }
        Ok(())
    }

    /// Waits a short time for the lines before it. Not for the request path.
    fn flush(&self) -> Result<(), logforth::Error> {
        let (done_tx, done_rx) = sync_channel(1);
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut flush = WriterCommand::Flush(done_tx);
        while let Err(TrySendError::Full(returned)) = self.commands.try_send(flush) {
            if Instant::now() >= deadline {
                return Err(logforth::Error::new("standard output does not take lines"));
            }
            std::thread::sleep(FLUSH_RETRY_DELAY);
            flush = returned;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        done_rx
            .recv_timeout(left)
            .map_err(|error| logforth::Error::new("lines were not written").with_source(error))
    }
}

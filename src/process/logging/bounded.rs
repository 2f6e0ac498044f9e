//! Log output with a bounded volume that never blocks the request path.
//!
//! Lines are sent through a bounded channel to an output thread, which writes them to standard
//! output. A line that exceeds the limit of lines per second, or that finds the channel full, is
//! dropped and counted. The number of dropped lines is logged before the next line that is written,
//! so at most once a second for lines above the limit.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use logforth::layout::JsonLayout;
use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Layout};

use crate::process::metrics;

/// Limit of lines below the level of warnings.
const LINES_PER_SECOND: u32 = 200;
/// Separate limit of warnings and errors, so that other lines cannot displace them.
const WARNINGS_PER_SECOND: u32 = 50;
/// Capacity of the channel to the output thread: a few seconds of output.
const QUEUE_CAPACITY_LINES: usize = 1_000;
/// Longest wait for the last lines to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay before a flush is retried that found the channel full.
const FLUSH_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Length of the windows in which lines are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Limits the lines of each one-second window and counts those that were dropped.
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
    /// Write the line.
    Write,
    /// Write the line, preceded by a notice that the contained number of lines were dropped.
    WriteAfterDropped(u64),
    /// Drop the line; it is counted for the next notice.
    Drop,
}

impl LineRateLimiter {
    /// Creates a limiter that admits `lines_per_window` lines in each one-second window. A window
    /// starts with the first line after the previous one.
    pub fn new(lines_per_window: u32) -> Self {
        Self {
            lines_per_window,
            window_start: None,
            admitted: 0,
            dropped: 0,
        }
    }

    /// Decides whether to write a line, and counts it.
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

    /// Counts an admitted line that was dropped afterwards because the channel was full.
    pub fn record_dropped(&mut self) {
        self.dropped += 1;
    }
}

/// A command to the output thread.
#[derive(Debug)]
enum WriterCommand {
    Line(Vec<u8>),
    /// Signal that all lines before this command are written.
    Flush(SyncSender<()>),
}

/// Log appender that writes JSON lines to standard output from an output thread.
#[derive(Debug)]
pub struct BoundedOutput {
    layout: JsonLayout,
    commands: SyncSender<WriterCommand>,
    event_limiter: Mutex<LineRateLimiter>,
    warning_limiter: Mutex<LineRateLimiter>,
}

impl BoundedOutput {
    /// Starts the output thread, which runs until this value is dropped.
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
                // A failure to write to standard output cannot be reported anywhere.
                let _ = output.write_all(&line).and_then(|()| output.flush());
            }
            // The receiver is gone if the flush has timed out.
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

    /// Waits up to `FLUSH_TIMEOUT` until all earlier lines are written. It blocks, so it must not
    /// be called on the request path.
    fn flush(&self) -> Result<(), logforth::Error> {
        let (done_tx, done_rx) = sync_channel(1);
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut flush = WriterCommand::Flush(done_tx);
        while let Err(TrySendError::Full(returned)) = self.commands.try_send(flush) {
            if Instant::now() >= deadline {
                return Err(logforth::Error::new(
                    "timed out queueing the flush: standard output is blocked",
                ));
            }
            std::thread::sleep(FLUSH_RETRY_DELAY);
            flush = returned;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        done_rx.recv_timeout(left).map_err(|error| {
            logforth::Error::new("log lines were not written in time").with_source(error)
        })
    }
}

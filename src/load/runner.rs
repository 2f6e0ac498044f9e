//! Runs the programs of a plan over one route and records the measures.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;

use crate::ids::RequestId;
use crate::load::checks::Checks;
use crate::load::measures::Measures;
use crate::load::route::{Result, Route, StreamProgress, ToolOutcome, TurnOutcome};
use crate::load::workload::{Class, PlannedProgram, PlannedStep, Workload};
use crate::process::timer::TimerService;

/// Runs the programs of one route; holds the state that they share.
pub struct Runner<R> {
    route: R,
    workload: Rc<Workload>,
    /// Prefix of each conversation id; unique per run and route.
    conversation_prefix: String,
    timer: TimerService,
    in_flight: Cell<usize>,
    measures: RefCell<Measures>,
    checks: Rc<RefCell<Checks>>,
}

impl<R: Route> Runner<R> {
    /// Creates a runner for one route; `conversation_prefix` must be unique per run and route.
    pub fn new(
        route: R,
        workload: Rc<Workload>,
        conversation_prefix: String,
        timer: TimerService,
        checks: Rc<RefCell<Checks>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            route,
            workload,
            conversation_prefix,
            timer,
            in_flight: Cell::new(0),
            measures: RefCell::default(),
            checks,
        })
    }

    /// Starts each program at its planned time after `start`, then waits for the programs in flight
    /// until `drain_timeout` has passed since the end of the workload. Returns the number of
    /// programs that are still in flight then.
    pub async fn run(
        self: &Rc<Self>,
        plan: &Rc<Vec<PlannedProgram>>,
        start: Instant,
        drain_timeout: Duration,
    ) -> usize {
        let mut tasks = Vec::new();
        for index in 0..plan.len() {
            let arrival = start + plan[index].arrival_offset;
            self.timer.sleep_until(arrival).await;
            if self.in_flight.get() >= self.workload.max_in_flight {
                self.measures.borrow_mut().not_sent += 1;
                continue;
            }
            self.in_flight.set(self.in_flight.get() + 1);
            self.measures.borrow_mut().sent += 1;
            let runner = self.clone();
            let plan = plan.clone();
            tasks.push(monoio::spawn(async move {
                runner.run_program(&plan[index], index, arrival).await;
                runner.in_flight.set(runner.in_flight.get() - 1);
            }));
        }
        let deadline = start + self.workload.duration + drain_timeout;
        let _ = self.timer.timeout_at(deadline, join_all(tasks)).await;
        self.in_flight.get()
    }

    /// Calls `read` with the measures recorded so far.
    pub fn with_measures<T>(&self, read: impl FnOnce(&Measures) -> T) -> T {
        read(&self.measures.borrow())
    }

    async fn run_program(&self, program: &PlannedProgram, index: usize, arrival: Instant) {
        let class = &self.workload.classes[program.class];
        let groups = [
            String::from("all"),
            format!("priority {}", class.priority),
            format!("program {}", class.program),
        ];
        let conversation = format!("{}-{index}", self.conversation_prefix);
        let mut session = match self.route.start(class, &conversation).await {
            Ok(session) => session,
            Err(failure) => {
                let mut measures = self.measures.borrow_mut();
                measures.count_failure(&failure);
                measures.update(&groups, |group| group.failed += 1);
                return;
            }
        };
        let mut run = ProgramRun {
            runner: self,
            class,
            conversation: &conversation,
            groups: &groups,
            history_tokens: 0,
            paused: Duration::ZERO,
            // The end of the period in which programs arrive.
            window_end: arrival - program.arrival_offset + self.workload.duration,
        };
        let result = run.run_steps(&mut session, &program.steps).await;
        let finished = result.is_ok();
        if let Err(failure) = &result {
            self.measures.borrow_mut().count_failure(failure);
        }
        let (paused, window_end) = (run.paused, run.window_end);
        let end_result = self.route.end(session, "end".into(), finished).await;
        let latency = arrival.elapsed();
        let mut measures = self.measures.borrow_mut();
        if let Err(failure) = &end_result {
            measures.count_failure(failure);
        }
        let is_complete = finished && end_result.is_ok();
        if is_complete && Instant::now() <= window_end {
            measures.finished_in_window += 1;
        }
        measures.update(&groups, |group| {
            if is_complete {
                group.finished += 1;
                group.program.record(latency);
                let without_pauses = latency.saturating_sub(paused);
                group.program_without_pauses.record(without_pauses);
            } else {
                group.failed += 1;
            }
        });
    }
}

struct ProgramRun<'a, R> {
    runner: &'a Runner<R>,
    class: &'a Class,
    conversation: &'a str,
    groups: &'a [String],
    /// Tokens of the history after the last turn.
    history_tokens: u64,
    paused: Duration,
    window_end: Instant,
}

impl<R: Route> ProgramRun<'_, R> {
    async fn run_steps(&mut self, session: &mut R::Session, steps: &[PlannedStep]) -> Result<()> {
        for (number, step) in steps.iter().enumerate() {
            let request_id: RequestId = format!("step-{number}").into();
            match step {
                PlannedStep::Pause(pause) => {
                    self.runner.timer.sleep(*pause).await;
                    self.paused += *pause;
                }
                PlannedStep::Turn {
                    input,
                    max_output_tokens,
                } => {
                    self.run_turn(session, request_id, input, *max_output_tokens)
                        .await?
                }
                PlannedStep::Tool => self.call_tool(session, request_id).await?,
            }
        }
        Ok(())
    }

    async fn run_turn(
        &mut self,
        session: &mut R::Session,
        request_id: RequestId,
        input: &str,
        max_output_tokens: u32,
    ) -> Result<()> {
        let sent_at = Instant::now();
        let mut last_output_at: Option<Instant> = None;
        let measures = &self.runner.measures;
        let groups = self.groups;
        let on_progress = |progress| {
            if progress == StreamProgress::Restarted {
                measures.borrow_mut().restarts += 1;
                return;
            }
            let now = Instant::now();
            measures
                .borrow_mut()
                .update(groups, |group| match last_output_at {
                    None => group.first_token.record(now - sent_at),
                    Some(last) => group.token_gap.record(now - last),
                });
            last_output_at = Some(now);
        };
        let turn =
            self.runner
                .route
                .turn(session, request_id, input, max_output_tokens, on_progress);
        let outcome: TurnOutcome = turn.await?;
        let mut measures = measures.borrow_mut();
        measures.update(groups, |group| group.turn.record(sent_at.elapsed()));
        measures.count_tokens(&outcome, self.history_tokens);
        if Instant::now() <= self.window_end {
            measures.output_tokens_in_window += outcome.output_tokens;
        }
        self.history_tokens = outcome.prompt_tokens + outcome.output_tokens;
        let mut checks = self.runner.checks.borrow_mut();
        checks.check_spending(self.conversation, outcome.spending);
        Ok(())
    }

    async fn call_tool(&mut self, session: &mut R::Session, request_id: RequestId) -> Result<()> {
        let Some(tool) = &self.class.tool else {
            return Ok(());
        };
        let checks = &self.runner.checks;
        checks.borrow_mut().count_tool_request();
        let sent_at = Instant::now();
        let outcome: Option<ToolOutcome> =
            self.runner.route.tool(session, request_id, tool).await?;
        let Some(outcome) = outcome else {
            return Ok(());
        };
        let mut measures = self.runner.measures.borrow_mut();
        measures.update(self.groups, |group| group.tool.record(sent_at.elapsed()));
        let mut checks = checks.borrow_mut();
        checks.check_spending(self.conversation, outcome.spending);
        checks.record_action(outcome.action_id);
        Ok(())
    }
}

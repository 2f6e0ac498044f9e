//! Property tests of the fold of conversation events: a program never spends beyond its budget.

use std::collections::VecDeque;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sapphireford::error::ErrorKind;
use sapphireford::ids::{ConversationKey, Micros, RunId};
use sapphireford::process::conversation::{
    Action, ActionOutcome, Conversation, EndReason, Event, RunState, TurnOutcome, TurnResult,
};
use sapphireford::process::journal::segment::{Checkpoint, decode_checkpoint, encode};

/// A random step of a conversation. `run`, `parent` and `call` are taken modulo the number of active
/// runs or open calls at that time.
#[derive(Clone, Debug)]
enum Step {
    /// A run starts. With a parent it is a sub-agent, whose budget is at most the remaining budget of
    /// the parent.
    Start {
        parent: Option<usize>,
        budget: Micros,
    },
    /// A call requests a reservation while the configured budget of the root is `program_budget`.
    Call {
        run: usize,
        is_turn: bool,
        amount: Micros,
        program_budget: Micros,
    },
    /// A queued event becomes durable.
    Commit,
    /// The last queued event is withdrawn before it becomes durable, if it starts a call.
    Withdraw,
    /// An open call ends and costs `percent` of its reservation.
    Finish {
        call: usize,
        percent: u64,
        outcome: u8,
    },
    /// A run ends, even if it has calls in progress.
    End { run: usize },
    /// The lease holder crashes: queued events are lost and open calls are interrupted.
    Crash,
}

fn step() -> impl Strategy<Value = Step> {
    let budget = 0..10_000_u64;
    let start = (prop::option::of(any::<usize>()), budget.clone())
        .prop_map(|(parent, budget)| Step::Start { parent, budget });
    let call = (any::<usize>(), any::<bool>(), 0..4_000_u64, budget).prop_map(
        |(run, is_turn, amount, program_budget)| Step::Call {
            run,
            is_turn,
            amount,
            program_budget,
        },
    );
    let finish =
        (any::<usize>(), 0..=100_u64, 0..4_u8).prop_map(|(call, percent, outcome)| Step::Finish {
            call,
            percent,
            outcome,
        });
    prop_oneof![
        2 => start,
        6 => call,
        8 => Just(Step::Commit),
        1 => Just(Step::Withdraw),
        4 => finish,
        1 => any::<usize>().prop_map(|run| Step::End { run }),
        1 => Just(Step::Crash),
    ]
}

/// A call whose start is durable.
#[derive(Clone)]
struct OpenCall {
    number: u64,
    run_id: RunId,
    is_turn: bool,
    reserved: Micros,
}

/// The committed events; `None` is a crash of the lease holder.
type Log = Vec<Option<Event>>;

/// A conversation and its journal, which the steps change as requests would.
struct Model {
    state: Conversation,
    queued_events: VecDeque<Event>,
    log: Log,
    open_calls: Vec<OpenCall>,
    last_number: u64,
}

impl Model {
    fn new() -> Self {
        Self {
            state: new_conversation(),
            queued_events: VecDeque::new(),
            log: Vec::new(),
            open_calls: Vec::new(),
            last_number: 0,
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn active_run(&self, choice: usize) -> Option<RunId> {
        let runs = self.state.runs.iter();
        let active: Vec<RunId> = runs
            .filter(|(_, run)| run.state == RunState::Active)
            .map(|(run_id, _)| *run_id)
            .collect();
        (!active.is_empty()).then(|| active[choice % active.len()])
    }

    fn apply_step(&mut self, step: &Step) {
        match step {
            Step::Start { parent, budget } => self.start(*parent, *budget),
            Step::Call {
                run,
                is_turn,
                amount,
                program_budget,
            } => self.call(*run, *is_turn, *amount, *program_budget),
            Step::Commit => self.commit(),
            Step::Withdraw => self.withdraw(),
            Step::Finish {
                call,
                percent,
                outcome,
            } => self.finish(*call, *percent, *outcome),
            Step::End { run } => self.end(*run),
            Step::Crash => self.crash(),
        }
    }

    fn start(&mut self, parent: Option<usize>, budget: Micros) {
        // Only one start of a run may be queued at a time.
        if self
            .queued_events
            .iter()
            .any(|event| matches!(event, Event::RunStarted { .. }))
        {
            return;
        }
        let parent_run_id = parent.and_then(|choice| self.active_run(choice));
        let available_micros = parent_run_id.map_or(Micros::MAX, |id| {
            self.state.available_micros(id, Micros::MAX)
        });
        let number = self.next_number();
        self.queued_events.push_back(Event::RunStarted {
            request_id: format!("start-{number}").into(),
            fingerprint: number,
            run_id: self.state.next_run_id(),
            program_id: "program".into(),
            parent_run_id,
            budget_micros: budget.min(available_micros),
            system_prompt: "system".into(),
        });
    }

    fn call(&mut self, run: usize, is_turn: bool, amount: Micros, program_budget: Micros) {
        let Some(run_id) = self.active_run(run) else {
            return;
        };
        if self
            .state
            .reserve_pending(run_id, amount, program_budget)
            .is_err()
        {
            return;
        }
        let number = self.next_number();
        let request_id = number.to_string().into();
        self.queued_events.push_back(if is_turn {
            Event::TurnStarted {
                request_id,
                fingerprint: number,
                run_id,
                reserved_micros: amount,
            }
        } else {
            let action = Action {
                action_id: number.to_string().into(),
                tool_id: "tool".into(),
                arguments: "{}".into(),
                reserved_micros: amount,
            };
            Event::ActionIntended {
                request_id,
                fingerprint: number,
                run_id,
                action,
            }
        });
    }

    fn commit(&mut self) {
        let Some(event) = self.queued_events.pop_front() else {
            return;
        };
        if let Some((run_id, reserved, is_turn, number)) = reservation(&event) {
            self.state.release_pending(run_id, reserved);
            self.open_calls.push(OpenCall {
                number,
                run_id,
                is_turn,
                reserved,
            });
        }
        self.state.apply(&event, self.log.len() as u64);
        self.log.push(Some(event));
    }

    fn withdraw(&mut self) {
        if let Some((run_id, reserved, ..)) = self.queued_events.back().and_then(reservation) {
            self.state.release_pending(run_id, reserved);
            self.queued_events.pop_back();
        }
    }

    fn finish(&mut self, call: usize, percent: u64, outcome: u8) {
        if self.open_calls.is_empty() {
            return;
        }
        let call = self.open_calls.swap_remove(call % self.open_calls.len());
        let cost = call.reserved * percent / 100;
        let request_id = call.number.to_string().into();
        let run_id = call.run_id;
        self.queued_events.push_back(if call.is_turn {
            let outcome = turn_outcome(outcome, cost);
            Event::TurnFinished {
                request_id,
                run_id,
                input: "input".into(),
                outcome,
            }
        } else {
            Event::ActionFinished {
                request_id,
                run_id,
                outcome: action_outcome(outcome, cost),
            }
        });
    }

    fn end(&mut self, run: usize) {
        if let Some(run_id) = self.active_run(run) {
            let reason = EndReason::Cancelled;
            self.queued_events.push_back(Event::RunEnded {
                request_id: None,
                fingerprint: 0,
                run_id,
                reason,
            });
        }
    }

    fn crash(&mut self) {
        self.queued_events.clear();
        self.open_calls.clear();
        self.log.push(None);
        self.state = fold(new_conversation(), &self.log);
    }
}

fn turn_outcome(choice: u8, cost_micros: Micros) -> TurnOutcome {
    match choice {
        0 => TurnOutcome::Done(TurnResult {
            turn: 1,
            output: "output".into(),
            prompt_tokens: 5,
            cached_tokens: 1,
            output_tokens: 3,
            cost_micros,
            finish_reason: "stop".into(),
            backend_server_id: "engine".into(),
        }),
        1 => {
            let message = "failed".into();
            TurnOutcome::Failed {
                kind: ErrorKind::BackendFailed,
                message,
                cost_micros,
            }
        }
        2 => TurnOutcome::Interrupted { cost_micros },
        _ => TurnOutcome::NotRun,
    }
}

fn action_outcome(choice: u8, charge_micros: Micros) -> ActionOutcome {
    match choice {
        0 => ActionOutcome::Done {
            result: "{}".into(),
            charge_micros,
        },
        1 => ActionOutcome::Failed {
            message: "failed".into(),
        },
        2 => ActionOutcome::InDoubt,
        _ => ActionOutcome::NotRun,
    }
}

/// Returns the run, the reservation, whether it is a turn, and the number of the call that an event
/// starts.
fn reservation(event: &Event) -> Option<(RunId, Micros, bool, u64)> {
    match event {
        Event::TurnStarted {
            run_id,
            reserved_micros,
            fingerprint,
            ..
        } => Some((*run_id, *reserved_micros, true, *fingerprint)),
        Event::ActionIntended {
            run_id,
            action,
            fingerprint,
            ..
        } => Some((*run_id, action.reserved_micros, false, *fingerprint)),
        _ => None,
    }
}

fn new_conversation() -> Conversation {
    Conversation::new(ConversationKey {
        team_id: "team".into(),
        conversation_id: "c1".into(),
    })
}

fn fold(state: Conversation, log: &[Option<Event>]) -> Conversation {
    fold_from(state, log, 0)
}

fn fold_from(mut state: Conversation, log: &[Option<Event>], first: usize) -> Conversation {
    for (index, event) in log.iter().enumerate() {
        match event {
            Some(event) => state.apply(event, (first + index) as u64),
            None => state.interrupt_open_calls(),
        }
    }
    state
}

/// Runs `check` on random scripts, which are the same in every test run.
fn check_scripts(cases: u32, check: impl Fn(Vec<Step>) -> Result<(), TestCaseError>) {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let scripts = prop::collection::vec(step(), 1..80);
    if let Err(error) = TestRunner::new_with_rng(config, rng).run(&scripts, check) {
        panic!("{error}");
    }
}

/// Guards against a run or one of its ancestors using more than its budget after a reservation, a
/// settlement or a crash, and against admitting a call that a lowered budget must refuse.
#[test]
fn spent_and_reserved_never_exceed_the_budget() {
    check_scripts(1_000, |steps| {
        let mut model = Model::new();
        for step in &steps {
            let used_micros_before: Vec<Micros> =
                model.state.runs.values().map(used_micros).collect();
            model.apply_step(step);
            for (index, run) in model.state.runs.values().enumerate() {
                prop_assert!(used_micros(run) <= run.budget_micros, "{run:?}");
                if let Step::Call { program_budget, .. } = step
                    && run.parent_run_id.is_none()
                {
                    prop_assert!(
                        used_micros(run) <= used_micros_before[index].max(*program_budget),
                        "{run:?}"
                    );
                }
            }
        }
        Ok(())
    });
}

fn used_micros(run: &sapphireford::process::conversation::Run) -> Micros {
    run.spent_micros + run.reserved_micros + run.pending_micros
}

/// Guards against amounts that a settlement loses or counts twice: the amount used by a run must be
/// the sum over the calls of the run and of its descendants.
#[test]
fn amount_used_by_a_run_is_the_sum_of_its_calls() {
    check_scripts(1_000, |steps| {
        let mut model = Model::new();
        steps.iter().for_each(|step| model.apply_step(step));
        for run_id in model.state.runs.keys() {
            let expected = sum_of_calls(&model.state, &model.log, *run_id);
            let run = &model.state.runs[run_id];
            prop_assert_eq!(
                run.spent_micros + run.reserved_micros,
                expected,
                "run {}",
                run_id
            );
        }
        Ok(())
    });
}

/// Returns the amount used by the calls of a run and of its descendants, computed from the log alone.
fn sum_of_calls(state: &Conversation, log: &Log, run_id: RunId) -> Micros {
    let is_run_or_descendant = |mut id: RunId| loop {
        if id == run_id {
            return true;
        }
        match state.runs[&id].parent_run_id {
            Some(parent) => id = parent,
            None => return false,
        }
    };
    let mut sum = 0;
    for event in log.iter().flatten() {
        match event {
            Event::TurnFinished {
                run_id,
                request_id,
                outcome,
                ..
            } if is_run_or_descendant(*run_id) => {
                let cost = match outcome {
                    TurnOutcome::Done(result) => result.cost_micros,
                    TurnOutcome::Failed { cost_micros, .. } => *cost_micros,
                    TurnOutcome::Interrupted { cost_micros } => *cost_micros,
                    TurnOutcome::NotRun => 0,
                };
                sum = sum + cost - reserved_for(log, request_id);
            }
            Event::ActionFinished {
                run_id,
                request_id,
                outcome,
            } if is_run_or_descendant(*run_id) => {
                let reserved = reserved_for(log, request_id);
                let charge = match outcome {
                    ActionOutcome::Done { charge_micros, .. } => *charge_micros,
                    ActionOutcome::InDoubt => reserved,
                    ActionOutcome::Failed { .. } | ActionOutcome::NotRun => 0,
                };
                sum = sum + charge - reserved;
            }
            event => {
                let started = reservation(event).filter(|(id, ..)| is_run_or_descendant(*id));
                sum += started.map_or(0, |(_, reserved, ..)| reserved);
            }
        }
    }
    sum
}

fn reserved_for(log: &Log, request_id: &str) -> Micros {
    let mut starts = log.iter().flatten().filter_map(reservation);
    let start = starts.find(|(.., number)| number.to_string() == request_id);
    start.expect("a start").1
}

/// Guards against a checkpoint that loses part of the state, and against a state in memory that
/// differs from the one a new lease holder computes by replay of the log.
#[test]
fn fold_through_a_checkpoint_equals_the_fold_of_the_whole_log() {
    check_scripts(300, |steps| {
        let mut model = Model::new();
        steps.iter().for_each(|step| model.apply_step(step));
        let whole = fold(new_conversation(), &model.log);
        for split in 0..=model.log.len() {
            let (before, after) = model.log.split_at(split);
            let conversations = vec![fold(new_conversation(), before)];
            let bytes = encode(&Checkpoint {
                conversations,
                stored: Vec::new(),
            })
            .expect("it can be encoded");
            let checkpoint = decode_checkpoint(&bytes).expect("it can be decoded");
            let state = checkpoint
                .conversations
                .into_iter()
                .next()
                .expect("a state");
            prop_assert_eq!(
                &fold_from(state, after, split),
                &whole,
                "split at {}",
                split
            );
        }
        let mut live = model.state;
        live.runs
            .values_mut()
            .for_each(|run| run.pending_micros = 0);
        prop_assert_eq!(live, whole);
        Ok(())
    });
}

/// Guards against a sub-agent that stays active forever because its start became durable after the
/// end of its parent.
#[test]
fn no_sub_agent_outlives_its_parent() {
    check_scripts(1_000, |steps| {
        let mut model = Model::new();
        for step in &steps {
            model.apply_step(step);
            for run in model.state.runs.values() {
                let parent = run.parent_run_id.map(|parent| &model.state.runs[&parent]);
                let is_orphan = parent.is_some_and(|parent| parent.state != RunState::Active);
                prop_assert!(!is_orphan || run.state != RunState::Active, "{run:?}");
            }
        }
        Ok(())
    });
}

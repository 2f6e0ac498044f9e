//! The fold: applies durable events to the state of a conversation, in commit order.

use std::rc::Rc;

use crate::ids::{Micros, RequestId, RunId};
use crate::process::conversation::{
    ActionOutcome, Conversation, EndReason, Event, Message, Progress, RequestRecord, Role, Run,
    RunState, Thread, TurnOutcome, TurnResult,
};
use crate::process::invariant;

impl Conversation {
    /// Applies an event that has become durable, and checks the invariants of budgets and
    /// reservations.
    pub fn apply(&mut self, event: &Event, at_ms: u64) {
        self.apply_event(event, at_ms);
        for (run_id, run) in &self.runs {
            let used = run.spent_micros + run.reserved_micros;
            invariant::check("budget", used <= run.budget_micros, || {
                format!(
                    "run {run_id} of {} has spent and reserved {used} micros, more than its budget",
                    self.key
                )
            });
        }
        let is_root = |run: &&Run| run.parent_run_id.is_none();
        let reserved: Micros = self
            .runs
            .values()
            .filter(is_root)
            .map(|run| run.reserved_micros)
            .sum();
        invariant::check(
            "reservations",
            reserved == self.open_reservations_micros(),
            || {
                format!(
                    "{reserved} micros are reserved in the root runs of {}, \
                     which is not the sum of its open calls",
                    self.key
                )
            },
        );
    }

    fn apply_event(&mut self, event: &Event, at_ms: u64) {
        match event {
            Event::RunStarted {
                request_id,
                fingerprint,
                run_id,
                ..
            } => {
                self.apply_run_started(event, at_ms);
                let progress = Progress::RunStarted(*run_id);
                self.record_request(request_id, *fingerprint, *run_id, progress);
            }
            Event::TurnStarted {
                request_id,
                fingerprint,
                run_id,
                reserved_micros,
            } => {
                self.reserve(*run_id, *reserved_micros);
                let progress = Progress::TurnOpen(*reserved_micros);
                self.record_request(request_id, *fingerprint, *run_id, progress);
                self.update_last_event(*run_id, at_ms);
            }
            Event::TurnFinished {
                request_id,
                run_id,
                input,
                outcome,
            } => {
                self.apply_turn_finished(request_id, *run_id, input, outcome);
                self.update_last_event(*run_id, at_ms);
            }
            Event::ActionIntended {
                request_id,
                fingerprint,
                run_id,
                action,
            } => {
                self.reserve(*run_id, action.reserved_micros);
                let progress = Progress::ActionOpen(action.clone());
                self.record_request(request_id, *fingerprint, *run_id, progress);
                self.update_last_event(*run_id, at_ms);
            }
            Event::ActionFinished {
                request_id,
                run_id,
                outcome,
            } => {
                self.apply_action_finished(request_id, *run_id, outcome);
                self.update_last_event(*run_id, at_ms);
            }
            Event::RunEnded {
                request_id,
                fingerprint,
                run_id,
                reason,
            } => {
                self.apply_run_ended(*run_id, *reason);
                if let Some(request_id) = request_id {
                    let progress = Progress::RunEnded(*run_id);
                    self.record_request(request_id, *fingerprint, *run_id, progress);
                }
                self.update_last_event(*run_id, at_ms);
            }
        }
    }

    /// Settles the calls that were in progress when the lease holder of the slot was lost.
    ///
    /// The reservation of an open turn counts as spent, because the engine may have generated the
    /// whole output. An open action becomes in doubt, and its reservation stays until its outcome
    /// is known. It counts as a call, because the caller continues with the next sequence number.
    pub fn interrupt_open_calls(&mut self) {
        let open: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                matches!(
                    request.progress,
                    Progress::TurnOpen(_) | Progress::ActionOpen(_)
                )
            })
            .map(|(request_id, _)| request_id.clone())
            .collect();
        for request_id in open {
            self.interrupt_call(&request_id);
        }
    }

    fn interrupt_call(&mut self, request_id: &RequestId) {
        let Some(request) = self.requests.get_mut(request_id) else {
            return;
        };
        let run_id = request.run_id;
        match &request.progress {
            Progress::TurnOpen(reserved) => {
                let reserved = *reserved;
                request.progress = Progress::TurnInterrupted;
                self.settle(run_id, reserved, reserved);
            }
            Progress::ActionOpen(action) => {
                request.progress = Progress::ActionInDoubt(action.clone());
                self.count_call(run_id);
            }
            _ => {}
        }
    }

    fn apply_run_started(&mut self, event: &Event, at_ms: u64) {
        let Event::RunStarted {
            run_id,
            program_id,
            parent_run_id,
            budget_micros,
            system_prompt,
            ..
        } = event
        else {
            return;
        };
        let parent = parent_run_id.and_then(|parent| self.runs.get_mut(&parent));
        // The end of the parent may have become durable before the start of the sub-agent. Such a
        // sub-agent starts as ended, because no later event would end it.
        let (depth, state) = match parent {
            Some(parent) => {
                parent.sub_agents += 1;
                (parent.depth + 1, parent.state)
            }
            None => (0, RunState::Active),
        };
        let run = Run {
            program_id: program_id.clone(),
            parent_run_id: *parent_run_id,
            depth,
            budget_micros: *budget_micros,
            spent_micros: 0,
            reserved_micros: 0,
            pending_micros: 0,
            calls: 0,
            sub_agents: 0,
            state,
            thread: Thread::default(),
            last_event_ms: at_ms,
        };
        self.runs.insert(*run_id, run);
        if let Some(thread) = self.thread_of_mut(*run_id)
            && thread.messages.is_empty()
            && !system_prompt.is_empty()
        {
            thread.messages.push(Message {
                run_id: *run_id,
                role: Role::System,
                text: system_prompt.clone(),
            });
        }
    }

    fn apply_turn_finished(
        &mut self,
        request_id: &RequestId,
        run_id: RunId,
        input: &Rc<str>,
        outcome: &TurnOutcome,
    ) {
        let reserved = match self
            .requests
            .get(request_id)
            .map(|request| &request.progress)
        {
            Some(Progress::TurnOpen(reserved)) => *reserved,
            _ => return,
        };
        match outcome {
            TurnOutcome::Done(result) => {
                self.settle(run_id, reserved, result.cost_micros);
                self.append_turn(run_id, input, result);
                self.set_progress(request_id, Progress::TurnDone(result.clone()));
            }
            TurnOutcome::Failed {
                kind,
                message,
                cost_micros,
            } => {
                self.settle(run_id, reserved, *cost_micros);
                self.set_progress(request_id, Progress::Failed(*kind, message.clone()));
            }
            TurnOutcome::Interrupted { cost_micros } => {
                self.settle(run_id, reserved, *cost_micros);
                self.set_progress(request_id, Progress::TurnInterrupted);
                return;
            }
            TurnOutcome::NotRun => {
                self.settle(run_id, reserved, 0);
                self.requests.shift_remove(request_id);
                return;
            }
        }
        self.count_call(run_id);
    }

    fn append_turn(&mut self, run_id: RunId, input: &Rc<str>, result: &TurnResult) {
        let Some(thread) = self.thread_of_mut(run_id) else {
            return;
        };
        thread.messages.push(Message {
            run_id,
            role: Role::User,
            text: input.clone(),
        });
        thread.messages.push(Message {
            run_id,
            role: Role::Assistant,
            text: result.output.clone(),
        });
        thread.counted_messages = thread.messages.len();
        thread.counted_tokens = result.prompt_tokens + result.output_tokens;
        thread.backend_server_id = Some(result.backend_server_id.clone());
    }

    fn apply_action_finished(
        &mut self,
        request_id: &RequestId,
        run_id: RunId,
        outcome: &ActionOutcome,
    ) {
        // An action in doubt was already counted as a call when it became in doubt.
        let (action, is_open) = match self
            .requests
            .get(request_id)
            .map(|request| &request.progress)
        {
            Some(Progress::ActionOpen(action)) => (action.clone(), true),
            Some(Progress::ActionInDoubt(action)) => (action.clone(), false),
            _ => return,
        };
        if is_open && !matches!(outcome, ActionOutcome::NotRun) {
            self.count_call(run_id);
        }
        match outcome {
            ActionOutcome::Done {
                result,
                charge_micros,
            } => {
                self.settle(run_id, action.reserved_micros, *charge_micros);
                self.append_tool_result(run_id, result);
                let progress =
                    Progress::ActionDone(action.action_id, result.clone(), *charge_micros);
                self.set_progress(request_id, progress);
            }
            ActionOutcome::Failed { message } => {
                self.settle(run_id, action.reserved_micros, 0);
                let kind = crate::error::ErrorKind::ToolFailed;
                self.set_progress(request_id, Progress::Failed(kind, message.clone()));
            }
            ActionOutcome::InDoubt => {
                self.set_progress(request_id, Progress::ActionInDoubt(action));
            }
            ActionOutcome::NotRun => {
                self.settle(run_id, action.reserved_micros, 0);
                self.requests.shift_remove(request_id);
            }
        }
    }

    fn append_tool_result(&mut self, run_id: RunId, result: &Rc<str>) {
        if let Some(thread) = self.thread_of_mut(run_id) {
            thread.messages.push(Message {
                run_id,
                role: Role::Tool,
                text: result.clone(),
            });
        }
    }

    fn apply_run_ended(&mut self, run_id: RunId, reason: EndReason) {
        let children: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, run)| run.parent_run_id == Some(run_id) && run.state == RunState::Active)
            .map(|(child, _)| *child)
            .collect();
        for child in children {
            self.apply_run_ended(child, reason);
        }
        if let Some(run) = self.runs.get_mut(&run_id)
            && run.state == RunState::Active
        {
            run.state = RunState::Ended(reason);
        }
    }

    fn count_call(&mut self, run_id: RunId) {
        if let Some(run) = self.runs.get_mut(&run_id) {
            run.calls += 1;
        }
    }

    fn update_last_event(&mut self, run_id: RunId, at_ms: u64) {
        if let Some(run) = self.runs.get_mut(&run_id) {
            run.last_event_ms = run.last_event_ms.max(at_ms);
        }
    }

    fn record_request(
        &mut self,
        request_id: &RequestId,
        fingerprint: u64,
        run_id: RunId,
        progress: Progress,
    ) {
        let request = RequestRecord {
            fingerprint,
            run_id,
            progress,
        };
        self.requests.insert(request_id.clone(), request);
    }

    fn set_progress(&mut self, request_id: &RequestId, progress: Progress) {
        if let Some(request) = self.requests.get_mut(request_id) {
            request.progress = progress;
        }
    }

    /// Sum of the reservations of open calls and of actions in doubt.
    pub fn open_reservations_micros(&self) -> Micros {
        self.requests
            .values()
            .map(|request| match &request.progress {
                Progress::TurnOpen(reserved) => *reserved,
                Progress::ActionOpen(action) | Progress::ActionInDoubt(action) => {
                    action.reserved_micros
                }
                _ => 0,
            })
            .sum()
    }
}

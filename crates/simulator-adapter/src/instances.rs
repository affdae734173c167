//! The policy instances that the simulator has started.

use crate::error::AdapterError;
use crate::wire::{
    self, AddressedInput, Batch, BatchReply, EndpointLists, InstanceId, InstanceInput,
};
use aggregator_core::config::parse_policy_settings;
use aggregator_policy::api::{Action, Event, Nanos};
use aggregator_policy::Policy;
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The message of a panic that carries no text. It goes to the simulator.
const UNKNOWN_PANIC: &str = "the decision module broke";

/// A policy panicked while it handled events.
#[derive(Debug, thiserror::Error)]
#[error("{message}")]
struct PolicyPanic {
    message: String,
}

/// The running policies, and the endpoint lists that their events refer to.
#[derive(Default)]
pub struct PolicyInstances {
    policies: BTreeMap<InstanceId, Policy>,
    endpoint_lists: EndpointLists,
}

/// The events of one batch by instance.
#[derive(Default)]
struct PendingEvents {
    /// An instance that the batch has stopped has no entry.
    by_instance: BTreeMap<InstanceId, Vec<Event>>,
    /// All instances of the batch, in the order of their first inputs.
    order: Vec<InstanceId>,
}

impl PolicyInstances {
    /// Passes to each instance its events of one batch, in their order, and collects the actions.
    pub fn handle_batch(&mut self, batch: &Batch) -> Result<BatchReply, AdapterError> {
        let inputs = wire::decode_inputs(batch, &mut self.endpoint_lists)?;
        let pending = self.apply_inputs(inputs)?;
        let mut reply = BatchReply::default();
        for instance in pending.order {
            let Some(events) = pending.by_instance.get(&instance) else {
                continue;
            };
            let Some(policy) = self.policies.get_mut(&instance) else {
                continue;
            };
            match run_policy(policy, batch.clock, events) {
                Ok(actions) => {
                    for action in &actions {
                        reply.push_action(instance, action);
                    }
                }
                Err(panic) => reply.push_crash(instance, &panic.message),
            }
        }
        Ok(reply)
    }

    /// Starts and stops instances, and returns the events of those that run after the batch.
    fn apply_inputs(&mut self, inputs: Vec<AddressedInput>) -> Result<PendingEvents, AdapterError> {
        let mut pending = PendingEvents::default();
        let mut seen = BTreeSet::new();
        for AddressedInput { instance, input } in inputs {
            match input {
                InstanceInput::Start { seed, settings } => {
                    let settings = parse_policy_settings(&settings)
                        .map_err(|error| AdapterError::Settings(error.into()))?;
                    self.policies.insert(instance, Policy::new(settings, seed));
                    pending.by_instance.insert(instance, Vec::new());
                }
                InstanceInput::Stop => {
                    self.policies.remove(&instance);
                    pending.by_instance.remove(&instance);
                }
                InstanceInput::Event(event) => {
                    pending.by_instance.entry(instance).or_default().push(event);
                }
            }
            if seen.insert(instance) {
                pending.order.push(instance);
            }
        }
        Ok(pending)
    }
}

/// The actions of one policy. One that has panicked stays in place until the simulator stops or
/// restarts it.
fn run_policy(
    policy: &mut Policy,
    now: Nanos,
    events: &[Event],
) -> Result<Vec<Action>, PolicyPanic> {
    let mut actions = Vec::new();
    let result = catch_unwind(AssertUnwindSafe(|| {
        policy.handle(now, events, &mut actions);
    }));
    match result {
        Ok(()) => Ok(actions),
        Err(payload) => Err(PolicyPanic {
            message: panic_message(payload.as_ref()),
        }),
    }
}

/// The text that a panic carries: a `String` if it was formatted, else a `&str`.
fn panic_message(payload: &(dyn Any + Send)) -> String {
    if let Some(text) = payload.downcast_ref::<String>() {
        return text.clone();
    }
    let text = payload.downcast_ref::<&str>().copied();
    text.unwrap_or(UNKNOWN_PANIC).to_string()
}

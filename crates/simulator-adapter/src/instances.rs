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

/// Message sent to the simulator for a panic whose payload is not text.
const UNKNOWN_PANIC: &str = "the decision module broke";

/// A panic of a policy while it handled events.
#[derive(Debug, thiserror::Error)]
#[error("{message}")]
struct PolicyPanic {
    message: String,
}

/// The running policy instances, and the endpoint lists that their events refer to.
#[derive(Default)]
pub struct PolicyInstances {
    policies: BTreeMap<InstanceId, Policy>,
    endpoint_lists: EndpointLists,
}

/// Events of one batch, grouped by instance.
#[derive(Default)]
struct PendingEvents {
    /// Events of each instance that is not stopped at the end of the batch.
    by_instance: BTreeMap<InstanceId, Vec<Event>>,
    /// All instances in the batch, in the order of their first inputs. The reply keeps this order.
    order: Vec<InstanceId>,
}

impl PolicyInstances {
    /// Passes the events of a batch to their instances, in order, and returns a reply with the
    /// resulting actions.
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

    /// Starts and stops instances, and returns the events of the instances that are not stopped at
    /// the end of the batch.
    fn apply_inputs(&mut self, inputs: Vec<AddressedInput>) -> Result<PendingEvents, AdapterError> {
        let mut pending = PendingEvents::default();
        let mut seen_instances = BTreeSet::new();
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
            if seen_instances.insert(instance) {
                pending.order.push(instance);
            }
        }
        Ok(pending)
    }
}

/// Passes events to one policy and returns the resulting actions. After a panic, the policy remains
/// in use until the simulator stops or restarts it.
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

/// Returns the message of a panic. The payload is a `String` if the message was formatted, and a
/// `&str` otherwise.
fn panic_message(payload: &(dyn Any + Send)) -> String {
    if let Some(text) = payload.downcast_ref::<String>() {
        return text.clone();
    }
    let text = payload.downcast_ref::<&str>().copied();
    text.unwrap_or(UNKNOWN_PANIC).to_string()
}

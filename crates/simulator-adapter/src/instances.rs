//! The policy instances that the simulator has started.

use crate::error::AdapterError;
use crate::wire::{self, Batch, EndpointLists, Input, InstanceId, InstanceInput, Reply};
use aggregator_core::config::parse_policy_settings;
use aggregator_policy::api::{Action, Event, Nanos};
use aggregator_policy::Policy;
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// What a crashed instance reports where its panic carries no text.
const UNKNOWN_PANIC: &str = "the decision module broke";

/// The running policies, and the endpoint lists that their events refer to.
#[derive(Default)]
pub struct PolicyInstances {
    policies: BTreeMap<InstanceId, Policy>,
    endpoint_lists: EndpointLists,
}

/// The events of one batch by instance.
#[derive(Default)]
struct PendingEvents {
    events: BTreeMap<InstanceId, Vec<Event>>,
    /// All instances of the batch, in the order of their first inputs.
    order: Vec<InstanceId>,
}

impl PolicyInstances {
    /// Hands each instance its events of one batch, in their order, and collects the actions.
    pub fn handle_batch(&mut self, batch: &Batch) -> Result<Reply, AdapterError> {
        let inputs = wire::decode_inputs(batch, &mut self.endpoint_lists)?;
        let pending = self.apply_inputs(inputs)?;
        let mut reply = Reply::default();
        for instance in pending.order {
            let policy = self.policies.get_mut(&instance);
            let (Some(policy), Some(events)) = (policy, pending.events.get(&instance)) else {
                continue;
            };
            match run_policy(policy, batch.clock, events) {
                Ok(actions) => {
                    for action in &actions {
                        reply.push_action(instance, action);
                    }
                }
                Err(message) => reply.push_crash(instance, &message),
            }
        }
        Ok(reply)
    }

    /// Starts and stops instances, and returns the events of those that are left.
    fn apply_inputs(&mut self, inputs: Vec<InstanceInput>) -> Result<PendingEvents, AdapterError> {
        let mut pending = PendingEvents::default();
        let mut seen = BTreeSet::new();
        for InstanceInput { instance, input } in inputs {
            match input {
                Input::Start { seed, settings } => {
                    let settings = parse_policy_settings(&settings)
                        .map_err(|error| AdapterError::Settings(error.into()))?;
                    self.policies.insert(instance, Policy::new(settings, seed));
                    pending.events.insert(instance, Vec::new());
                }
                Input::Stop => {
                    self.policies.remove(&instance);
                    pending.events.remove(&instance);
                }
                Input::Event(event) => pending.events.entry(instance).or_default().push(event),
            }
            if seen.insert(instance) {
                pending.order.push(instance);
            }
        }
        Ok(pending)
    }
}

/// The actions of one policy, or the message of its panic. A policy that has panicked stays in
/// place until the simulator stops or restarts it.
fn run_policy(policy: &mut Policy, now: Nanos, events: &[Event]) -> Result<Vec<Action>, String> {
    let mut actions = Vec::new();
    catch_unwind(AssertUnwindSafe(|| {
        policy.handle(now, events, &mut actions)
    }))
    .map_err(|cause| panic_message(cause.as_ref()))?;
    Ok(actions)
}

fn panic_message(cause: &(dyn Any + Send)) -> String {
    if let Some(text) = cause.downcast_ref::<String>() {
        return text.clone();
    }
    let text = cause.downcast_ref::<&str>().copied();
    text.unwrap_or(UNKNOWN_PANIC).to_string()
}

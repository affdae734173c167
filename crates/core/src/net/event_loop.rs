//! The event loop: passes operator signals, socket inputs and timers to the engine, and the
//! engine's effects to the driver.

use super::driver::Driver;
use super::gossip::GossipSocket;
use super::pending_replies::PendingReplies;
use super::running_frontend::RunningFrontend;
use super::shared::Shared;
use super::{listener, Clock, Extensions, InternalClient, OperatorSignal};
use crate::api::Nanos;
use crate::config::Addresses;
use crate::engine::{Engine, Input};
use crate::memory::MemoryBudget;
use crate::protocol::query::NameTables;
use std::io;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

/// Maximum number of queued inputs. While the queue is full, the sockets are not read, until the
/// engine has caught up.
const MAX_QUEUED_INPUTS: usize = 1024;
/// Maximum number of inputs per batch, so that timers stay on time under a flood of inputs.
const MAX_BATCH_INPUTS: usize = 256;

/// Serves clients until the engine requests the exit, then waits for the last client to disconnect,
/// at most until the exit deadline of `engine/shutdown.rs`. Must run inside a `LocalSet`.
///
/// # Errors
///
/// Returns an error if the address for gossip messages cannot be bound.
pub async fn serve(
    engine: Engine,
    clock: Clock,
    names: NameTables,
    listener: TcpListener,
    addresses: Addresses,
    signals: mpsc::Receiver<OperatorSignal>,
    extensions: Extensions,
) -> io::Result<()> {
    let (inputs, queued_inputs) = mpsc::channel(MAX_QUEUED_INPUTS);
    let client_memory = MemoryBudget::new(engine.client_memory());
    let shared = Shared::new(clock, names, client_memory, inputs);
    let gossip = match addresses.gossip_listen {
        Some(listen) => Some(GossipSocket::bind(&shared, listen, &addresses).await?),
        None => None,
    };
    tokio::task::spawn_local(listener::accept_connections(
        shared.clone(),
        RunningFrontend::start(&shared).await,
        listener,
        engine.max_clients(),
    ));
    for start_frontend in extensions.frontends {
        let running_frontend = RunningFrontend::start(&shared).await;
        start_frontend(InternalClient::new(shared.clone(), running_frontend));
    }
    let pending_replies = extensions.recorder.map(PendingReplies::new);
    let mut event_loop = EventLoop {
        driver: Driver::new(shared, gossip, addresses.discovery, pending_replies),
        queued_inputs,
        signals,
        clock,
        engine,
    };
    let exit_deadline = event_loop.run().await;
    event_loop.answer_queued_inputs();
    event_loop.driver.shut_down(exit_deadline).await;
    Ok(())
}

struct EventLoop {
    driver: Driver,
    queued_inputs: mpsc::Receiver<Input>,
    signals: mpsc::Receiver<OperatorSignal>,
    clock: Clock,
    engine: Engine,
}

impl EventLoop {
    /// Runs until the engine requests the exit. Returns the exit deadline.
    async fn run(&mut self) -> Instant {
        self.apply(self.clock.now(), Input::BatchEnded);
        loop {
            if let Some(exit_deadline) = self.driver.exit_deadline() {
                return exit_deadline;
            }
            let due = self.next_due();
            tokio::select! {
                biased;
                Some(signal) = self.signals.recv() => self.handle_signal(signal),
                () = self.driver.wait_for_usage_log() => self.driver.send_ready_replies(),
                Some(input) = self.queued_inputs.recv() => {
                    // Let the other tasks queue the inputs that they have ready, so that these
                    // join the same batch.
                    tokio::task::yield_now().await;
                    self.process_batch(input);
                }
                () = sleep_until(due.unwrap_or_else(|| self.clock.instant(0))), if due.is_some() => {
                    self.run_due_timers();
                }
            }
        }
    }

    /// Closes the input queue and passes the remaining inputs to the engine, which answers the
    /// requests among them.
    fn answer_queued_inputs(&mut self) {
        self.queued_inputs.close();
        let now = self.clock.now();
        while let Ok(input) = self.queued_inputs.try_recv() {
            self.apply(now, input);
        }
        self.apply(now, Input::InputsEnded);
    }

    /// Returns the time at which the next timer is due, or `None` if no timer is set. One timer
    /// serves the engine and the pending replies, since setting a second one for each batch would
    /// cost more than the work that it triggers.
    fn next_due(&self) -> Option<Instant> {
        let engine_due = self.engine.next_due().map(|at| self.clock.instant(at));
        let reply_due = self.driver.next_reply_deadline();
        engine_due.into_iter().chain(reply_due).min()
    }

    fn handle_signal(&mut self, signal: OperatorSignal) {
        let input = match signal {
            OperatorSignal::Shutdown => Input::ShutdownRequested,
            OperatorSignal::Reload(addresses) => self.driver.reload(addresses),
        };
        self.apply(self.clock.now(), input);
        self.run_due_timers();
    }

    /// Applies `first` and the inputs that are queued behind it as one batch.
    fn process_batch(&mut self, first: Input) {
        let now = self.clock.now();
        self.apply(now, first);
        for _ in 1..MAX_BATCH_INPUTS {
            let Ok(input) = self.queued_inputs.try_recv() else {
                break;
            };
            self.apply(now, input);
        }
        self.apply(now, Input::BatchEnded);
    }

    fn run_due_timers(&mut self) {
        self.apply(self.clock.now(), Input::BatchEnded);
        self.driver.send_ready_replies();
    }

    fn apply(&mut self, now: Nanos, input: Input) {
        for effect in self.engine.apply(now, input) {
            self.driver.execute(effect);
        }
    }
}

//! Faults injected into a process during its shutdown: suspension, or a reload of the
//! configuration.

use aggregator_testkit::installation::Aggregator;
use aggregator_testkit::process::Signal;
use rand::rngs::StdRng;
use rand::Rng;
use std::collections::VecDeque;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Range of the length of a suspension, in milliseconds.
const SUSPENSION_MS: Range<u64> = 20..150;
/// Range of the time of a fault, in milliseconds after SIGTERM.
const FAULT_AT_MS: Range<u64> = 0..800;

/// Signal that injects a fault, and the time at which it is due.
#[derive(Clone, Copy)]
struct FaultSignal {
    due_at: Instant,
    signal: Signal,
}

/// Faults of one process during its shutdown.
pub struct ProcessFaults {
    /// Signals not sent yet, in order of their times.
    pending: VecDeque<FaultSignal>,
    suspended_for: Duration,
}

impl ProcessFaults {
    /// Returns random faults: a suspension, a reload of the configuration or none, with equal
    /// probabilities.
    pub fn random(requested_at: Instant, random: &mut StdRng) -> ProcessFaults {
        let at = requested_at + Duration::from_millis(random.random_range(FAULT_AT_MS));
        let suspension = Duration::from_millis(random.random_range(SUSPENSION_MS));
        match random.random_range(0..3) {
            0 => ProcessFaults::suspension(at, suspension),
            1 => ProcessFaults::reload(at),
            _ => ProcessFaults::none(),
        }
    }

    /// Returns the length of the suspension; zero if there is none.
    pub fn suspended_for(&self) -> Duration {
        self.suspended_for
    }

    /// Sends the signals that are due.
    pub fn inject_due(&mut self, aggregator: &Aggregator) {
        let is_due = |next: &FaultSignal| next.due_at <= Instant::now();
        while let Some(due) = self.pending.front().copied().filter(is_due) {
            aggregator.send_signal(due.signal);
            self.pending.pop_front();
        }
    }

    fn suspension(at: Instant, length: Duration) -> ProcessFaults {
        let stop = FaultSignal {
            due_at: at,
            signal: Signal::Stop,
        };
        let resume = FaultSignal {
            due_at: at + length,
            signal: Signal::Continue,
        };
        ProcessFaults {
            pending: VecDeque::from([stop, resume]),
            suspended_for: length,
        }
    }

    fn reload(at: Instant) -> ProcessFaults {
        let reload = FaultSignal {
            due_at: at,
            signal: Signal::Reload,
        };
        ProcessFaults {
            pending: VecDeque::from([reload]),
            suspended_for: Duration::ZERO,
        }
    }

    fn none() -> ProcessFaults {
        ProcessFaults {
            pending: VecDeque::new(),
            suspended_for: Duration::ZERO,
        }
    }
}

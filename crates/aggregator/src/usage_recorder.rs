//! Writes the usage records of the engine to the usage log.

use aggregator_core::engine::usage::{QueryOutcome, QueryUsage, UsageWatermark};
use aggregator_core::net::UsageRecorder;
use std::time::Duration;
use tokio::sync::watch;
use usage_ledger::wire::entry::What;
use usage_ledger::wire::{Mark, Outcome as WireOutcome, Record};
use usage_ledger::writer::UsageLogWriter;

const NANOS_PER_MS: u64 = 1_000_000;

/// Recorder that writes the engine's usage records to a usage log.
pub struct UsageLogRecorder {
    writer: UsageLogWriter,
}

impl UsageLogRecorder {
    /// Creates a recorder that sends its records to the thread of `writer`.
    pub fn new(writer: UsageLogWriter) -> UsageLogRecorder {
        UsageLogRecorder { writer }
    }
}

impl UsageRecorder for UsageLogRecorder {
    fn record(&mut self, usage: QueryUsage) -> bool {
        let is_accepted = self.writer.try_enqueue(What::Record(wire_record(usage)));
        if !is_accepted {
            self.writer.count_lost_record();
        }
        is_accepted
    }

    /// Queues a watermark. If the writer's queue is full, the watermark is dropped: the next one
    /// covers it. A final watermark that is dropped has no successor.
    fn record_watermark(&mut self, watermark: UsageWatermark) {
        self.writer.try_enqueue(What::Mark(Mark {
            sequence: watermark.sequence,
            complete_ms: watermark.complete_until / NANOS_PER_MS,
            end: watermark.is_final,
        }));
    }

    fn written(&self) -> watch::Receiver<u64> {
        self.writer.written_sequence()
    }

    fn max_reply_delay(&self) -> Duration {
        self.writer.max_reply_delay()
    }

    fn count_unrecorded_reply(&mut self) {
        self.writer.count_unrecorded_reply();
    }

    fn close(&mut self) {
        self.writer.close();
    }
}

/// Converts a record to the published wire format, which uses other names than the engine.
fn wire_record(usage: QueryUsage) -> Record {
    let (outcome, share) = match usage.outcome {
        QueryOutcome::Complete => (WireOutcome::Whole, 0),
        QueryOutcome::Partial(share) => (WireOutcome::Partial, share),
        QueryOutcome::Rejected => (WireOutcome::Refused, 0),
        QueryOutcome::Failed => (WireOutcome::Failed, 0),
        QueryOutcome::ClientDisconnected => (WireOutcome::Left, 0),
    };
    Record {
        sequence: usage.sequence,
        tenant: usage.tenant,
        class: u32::from(usage.class),
        arrived_ms: usage.arrived_at / NANOS_PER_MS,
        outcome: outcome.into(),
        share,
        parts: usage.parts,
        attempts: usage.attempts,
        crossed: usage.cross_zone_attempts,
        repeat: usage.is_retry,
        key: usage.join_key,
        keyed: usage.has_client_key,
    }
}

//! The usage log: a record for each query that ended, and watermarks that state up to when the
//! records are complete.

use super::effect::Effect;
use super::queries::{EndedQuery, OpenPart};
use super::timers::Timer;
use super::usage::{self, JoinKey, QueryOutcome, QueryUsage, UsageWatermark};
use super::Engine;
use crate::api::{Nanos, RequestId};
use crate::protocol::query::QueryRequest;
use std::collections::BTreeSet;

/// The tenant by which usage is counted where the settings name none.
const ONLY_TENANT: &str = "all";

/// What the watermarks are made from.
#[derive(Debug)]
pub(super) struct WatermarkTracker {
    /// The time between two watermarks.
    interval: Nanos,
    last_sequence: u64,
    /// Up to when the records were declared complete.
    complete: Nanos,
    /// The open queries, by the time of their arrival.
    open: BTreeSet<(Nanos, RequestId)>,
}

impl WatermarkTracker {
    fn new(interval: Nanos) -> WatermarkTracker {
        WatermarkTracker {
            interval,
            last_sequence: 0,
            complete: 0,
            open: BTreeSet::new(),
        }
    }

    /// When a query counts as arrived: not in the time that was declared complete, even if it
    /// arrived then and had to wait for this batch.
    fn effective_arrival(&self, arrived: Nanos) -> Nanos {
        arrived.max(self.complete)
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Declares complete what arrived before the oldest open query, or before `now`.
    fn advance(&mut self, now: Nanos) {
        let oldest = self.open.first().map_or(now, |(arrived, _)| *arrived);
        self.complete = self.complete.max(oldest);
    }

    fn watermark(&self, end: bool) -> UsageWatermark {
        UsageWatermark {
            sequence: self.last_sequence,
            complete_until: self.complete,
            is_final: end,
        }
    }
}

impl Engine {
    /// Records usage from now on, with a watermark each `interval`.
    pub fn record_usage(&mut self, interval: Nanos) {
        self.usage_log = Some(WatermarkTracker::new(interval));
        self.timers.set(0, Timer::UsageWatermark);
    }

    /// Joins the tries of one use: by the client's key, else by what is requested.
    pub(super) fn join_key(&self, request: &QueryRequest) -> JoinKey {
        if self.usage_log.is_none() {
            return 0;
        }
        let class = self.class_name(request.class);
        match &request.idempotency_key {
            Some(key) => usage::key_of_client(class, key),
            None => {
                let parts = request.parts.iter().map(|part| (part.shard, part.weight));
                usage::key_of_query(class, parts, &request.text)
            }
        }
    }

    fn class_name(&self, class: u16) -> &str {
        let classes = &self.settings.classes;
        classes.get(usize::from(class)).map_or("", String::as_str)
    }

    fn tenant_name(&self, tenant: u32) -> &str {
        let tenants = &self.settings.tenants;
        tenants
            .get(tenant as usize)
            .map_or(ONLY_TENANT, String::as_str)
    }

    /// Notes that a query is open, and returns when it counts as arrived.
    pub(super) fn log_query_admitted(&mut self, id: RequestId, arrived: Nanos) -> Nanos {
        let Some(log) = &mut self.usage_log else {
            return arrived;
        };
        let arrived = log.effective_arrival(arrived);
        log.open.insert((arrived, id));
        arrived
    }

    /// Notes that a query is no longer open.
    pub(super) fn log_query_ended(&mut self, id: RequestId, arrived: Nanos) {
        if let Some(log) = &mut self.usage_log {
            log.open.remove(&(arrived, id));
        }
    }

    /// Records a query that has ended.
    pub(super) fn record_query(&mut self, ended: &EndedQuery, outcome: QueryOutcome) {
        let EndedQuery { query, parts } = ended;
        let total =
            |count: fn(&OpenPart) -> u8| parts.iter().map(|part| u32::from(count(part))).sum();
        self.append_record(QueryUsage {
            sequence: 0,
            tenant: query.tenant,
            class: query.class,
            arrived_at: query.arrived,
            outcome,
            parts: parts.len() as u32,
            attempts: total(|part| part.attempts),
            cross_zone_attempts: total(|part| part.cross_zone_attempts),
            is_retry: query.is_retry,
            join_key: query.join_key,
            has_client_key: usage::is_client_key(query.join_key),
        });
    }

    /// Records a query that was rejected before the policy saw it.
    pub(super) fn record_rejection_on_arrival(&mut self, arrived: Nanos, request: &QueryRequest) {
        let Some(log) = &self.usage_log else {
            return;
        };
        let arrived = log.effective_arrival(arrived);
        let join_key = self.join_key(request);
        self.append_record(QueryUsage {
            sequence: 0,
            tenant: request.tenant,
            class: request.class,
            arrived_at: arrived,
            outcome: QueryOutcome::Rejected,
            parts: request.parts.len() as u32,
            attempts: 0,
            cross_zone_attempts: 0,
            is_retry: request.is_retry,
            join_key,
            has_client_key: usage::is_client_key(join_key),
        });
    }

    /// Numbers a record and hands it on.
    fn append_record(&mut self, mut record: QueryUsage) {
        let Some(log) = &mut self.usage_log else {
            return;
        };
        record.sequence = log.next_sequence();
        let tenant = self.tenant_name(record.tenant);
        let class = self.class_name(record.class);
        let counter = format!("{tenant} {class}");
        *self.counters.recorded_of.entry(counter).or_default() += 1;
        self.counters.recorded += 1;
        self.effects.push(Effect::RecordUsage(record));
    }

    pub(super) fn record_watermark(&mut self, now: Nanos) {
        let exited = self.shutdown.has_exited();
        let Some(log) = self.usage_log.as_mut().filter(|_| !exited) else {
            return;
        };
        log.advance(now);
        let watermark = log.watermark(false);
        self.timers.set(now + log.interval, Timer::UsageWatermark);
        self.effects.push(Effect::RecordWatermark(watermark));
    }

    /// Records the last watermark, which states that no record follows.
    pub(super) fn record_final_watermark(&mut self) {
        if let Some(log) = &self.usage_log {
            let watermark = log.watermark(true);
            self.effects.push(Effect::RecordWatermark(watermark));
        }
    }
}

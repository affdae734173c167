//! The usage log: a record for each query that has ended, and watermarks up to which the records
//! are complete. Nothing is recorded until [`Engine::record_usage`] is called.
//!
//! [`Effect::RecordUsage`] precedes the reply to the query. [`crate::net::pending_replies`] ensures
//! that the reply waits until the record is written.

use super::effect::Effect;
use super::queries::ArrivedQuery;
use super::query_table::EndedQuery;
use super::timers::Timer;
use super::usage::{self, JoinKey, QueryOutcome, QueryUsage};
use super::watermark_tracker::WatermarkTracker;
use super::Engine;
use crate::api::{Nanos, RequestId};
use crate::protocol::query::QueryRequest;

/// Tenant to which all usage is attributed if the settings name none.
const DEFAULT_TENANT: &str = "all";

impl Engine {
    /// Records usage from now on, with a watermark every `interval` nanoseconds.
    pub fn record_usage(&mut self, interval: Nanos) {
        self.watermarks = Some(WatermarkTracker::new(interval));
        self.timers.set(0, Timer::UsageWatermark);
    }

    /// Returns the join key of a query, derived from the idempotency key if the client has sent
    /// one, otherwise from the contents of the query. Returns 0 while usage is not recorded.
    pub(super) fn join_key(&self, request: &QueryRequest) -> JoinKey {
        if self.watermarks.is_none() {
            return 0;
        }
        let class = self.class_name(request.class);
        match &request.idempotency_key {
            Some(key) => usage::client_join_key(class, key),
            None => {
                let parts = request.parts.iter().map(|part| (part.shard, part.weight));
                usage::content_join_key(class, parts, &request.text)
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
            .map_or(DEFAULT_TENANT, String::as_str)
    }

    /// Registers an open query and returns its effective time of arrival.
    pub(super) fn track_open_query(&mut self, id: RequestId, arrived_at: Nanos) -> Nanos {
        let Some(watermarks) = &mut self.watermarks else {
            return arrived_at;
        };
        let arrived_at = watermarks.effective_arrival(arrived_at);
        watermarks.insert(arrived_at, id);
        arrived_at
    }

    /// Removes a query that is no longer open.
    pub(super) fn untrack_query(&mut self, id: RequestId, arrived_at: Nanos) {
        if let Some(watermarks) = &mut self.watermarks {
            watermarks.remove(arrived_at, id);
        }
    }

    /// Records the usage of a query that has ended.
    pub(super) fn record_query(&mut self, ended: &EndedQuery, outcome: QueryOutcome) {
        let Some(watermarks) = &mut self.watermarks else {
            return;
        };
        let EndedQuery { query, parts } = ended;
        let attempts = parts.iter().map(|part| u32::from(part.attempts));
        let cross_zone_attempts = parts.iter().map(|part| u32::from(part.cross_zone_attempts));
        let usage = QueryUsage {
            sequence: watermarks.next_sequence(),
            tenant: query.tenant,
            class: query.class,
            arrived_at: query.arrived_at,
            outcome,
            parts: parts.len() as u32,
            attempts: attempts.sum(),
            cross_zone_attempts: cross_zone_attempts.sum(),
            is_retry: query.is_retry,
            join_key: query.join_key,
            has_client_key: usage::is_client_key(query.join_key),
        };
        self.count_and_record(usage);
    }

    /// Records the usage of a query that was rejected on arrival.
    pub(super) fn record_rejection_on_arrival(&mut self, query: &ArrivedQuery) {
        let request = &query.request;
        let join_key = self.join_key(request);
        let Some(watermarks) = &mut self.watermarks else {
            return;
        };
        let usage = QueryUsage {
            sequence: watermarks.next_sequence(),
            tenant: request.tenant,
            class: request.class,
            arrived_at: watermarks.effective_arrival(query.arrived_at),
            outcome: QueryOutcome::Rejected,
            parts: request.parts.len() as u32,
            attempts: 0,
            cross_zone_attempts: 0,
            is_retry: request.is_retry,
            join_key,
            has_client_key: usage::is_client_key(join_key),
        };
        self.count_and_record(usage);
    }

    fn count_and_record(&mut self, usage: QueryUsage) {
        let tenant = self.tenant_name(usage.tenant);
        let class = self.class_name(usage.class);
        let counter = format!("{tenant} {class}");
        *self.counters.recorded_of.entry(counter).or_default() += 1;
        self.counters.recorded += 1;
        self.effects.push(Effect::RecordUsage(usage));
    }

    pub(super) fn record_watermark(&mut self, now: Nanos) {
        let is_exit_requested = self.shutdown.is_exit_requested();
        let Some(watermarks) = self.watermarks.as_mut().filter(|_| !is_exit_requested) else {
            return;
        };
        let watermark = watermarks.advance(now);
        self.timers
            .set(now + watermarks.interval(), Timer::UsageWatermark);
        self.effects.push(Effect::RecordWatermark(watermark));
    }

    /// Records the final watermark, which states that no further record follows.
    pub(super) fn record_final_watermark(&mut self) {
        if let Some(watermarks) = &self.watermarks {
            let watermark = watermarks.final_watermark();
            self.effects.push(Effect::RecordWatermark(watermark));
        }
    }
}

//! Outlier detection: ejects replicas that do not respond, so that replica selection prefers
//! others. An ejected replica still gets an attempt if no other replica is available for it. After
//! the ejection time, a replica gets one call at a time until it responds.
//!
//! Invariant: any response ends an ejection (`ReplicaRecord::record_response`). The failure remains
//! in the replica's smoothed latency for a while.
//!
//! The design does not specify how the health of replicas is determined.

use super::context::Context;
use super::output::BatchOutput;
use super::tuning;
use crate::api::{Action, Nanos};
use crate::state::{AttemptEnd, ReplicaRecord};
use crate::stats::exponential_backoff;

/// Ejects replicas, and decides when they get health checks.
#[derive(Debug)]
pub struct OutlierDetector {
    /// First ejection time, ns. It doubles with each consecutive ejection.
    base_ejection: f64,
    /// Longest ejection time, ns.
    max_ejection: f64,
    health_checks_allowed: bool,
    /// Whether a replica has been ejected since health checks were last considered.
    has_new_outlier: bool,
    /// Time of the last round of health checks; 0 before the first one.
    last_round: Nanos,
}

impl OutlierDetector {
    /// Creates a detector without outliers. `objective` is the shortest latency objective, ns.
    pub fn new(health_checks_allowed: bool, objective: f64) -> OutlierDetector {
        OutlierDetector {
            base_ejection: tuning::BASE_EJECTION_OBJECTIVES * objective,
            max_ejection: tuning::MAX_EJECTION_OBJECTIVES * objective,
            health_checks_allowed,
            has_new_outlier: false,
            last_round: 0,
        }
    }

    /// Ejects the replica of an attempt if the attempt ended without a response.
    pub fn on_attempt_end(
        &mut self,
        end: &AttemptEnd,
        replica: &mut ReplicaRecord,
        output: &mut BatchOutput,
    ) {
        if end.is_without_response() {
            self.on_no_response(end.ended_at, replica, end.sent_at, output);
        }
    }

    /// Ejects a replica that did not respond to an attempt sent at the time `sent_at`, unless the
    /// replica has responded since then or is ejected already.
    pub fn on_no_response(
        &mut self,
        now: Nanos,
        replica: &mut ReplicaRecord,
        sent_at: Nanos,
        output: &mut BatchOutput,
    ) {
        if replica.last_response > sent_at || now < replica.ejected_until {
            return;
        }
        let ejections = replica.consecutive_ejections;
        let ejection = exponential_backoff(self.base_ejection, self.max_ejection, ejections);
        replica.eject(now + ejection as Nanos);
        if !std::mem::replace(&mut self.has_new_outlier, true) {
            let id = replica.id.0;
            output.log(format!("replica {id:x} ejected as an outlier: no response"));
        }
    }

    /// If many replicas are outliers, requests a health check of each idle replica without recent
    /// activity. Such a replica may have failed too; the check detects that before a query has to
    /// wait for that replica.
    pub fn check_health(&mut self, context: &Context, output: &mut BatchOutput) {
        let has_interval_passed = context.latency.staleness(context.now, self.last_round) >= 1.0;
        let is_due = self.health_checks_allowed && has_interval_passed;
        if !is_due || !std::mem::take(&mut self.has_new_outlier) {
            return;
        }
        let ready = || context.replicas.ready();
        let outliers = ready().filter(|replica| replica.is_outlier).count() as f64;
        if outliers < tuning::HEALTH_CHECK_SHARE * ready().count() as f64 {
            return;
        }
        for replica in ready() {
            let inactive_time = context.now.saturating_sub(replica.last_activity()) as f64;
            if replica.outstanding.is_empty() && inactive_time > context.shortest_objective {
                let replica = replica.id;
                output.push(Action::CheckHealth { replica });
            }
        }
        self.last_round = context.now;
    }
}

/// Returns whether other replicas are preferred to this one. That is the case if the replica has
/// not responded for longer than `max_time_without_response`, ns, is saturated, is ejected, or is
/// an outlier with a call in flight.
pub fn is_avoided(replica: &ReplicaRecord, now: Nanos, max_time_without_response: f64) -> bool {
    let is_unresponsive = replica.time_without_response(now) as f64 > max_time_without_response;
    let is_ejected_or_busy = now < replica.ejected_until || !replica.outstanding.is_empty();
    is_unresponsive || replica.is_outlier && is_ejected_or_busy || now < replica.saturated_until
}

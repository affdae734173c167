//! Admission: which queries are let in, and which are rejected at once because of overload.
//!
//! Invariant: of a class without permits, one query is admitted now and then. The design leaves
//! rejections to us; a query that can't be answered by its objective only delays others.

use super::{tuning, Policy};
use crate::api::{Nanos, PartReceived, QueryClass, QueryReceived, RequestId};
use crate::state::{PartState, QueryState, REACHABLE_TOLERANCE};
use crate::stats::{MajorityVote, TokenBucket};

impl Policy {
    pub(super) fn on_query_received(&mut self, received: &QueryReceived) {
        self.retry_limiter.record_received(self.context.now);
        let class = self
            .context
            .settings
            .classes
            .get(usize::from(received.class));
        let Some(class) = class else { return };
        let key = (received.class, received.tenant);
        let usual = self.client_timeouts.entry(key).or_default();
        let marked = self.context.settings.retries_marked;
        let spent = time_spent_by_earlier_attempts(received, class, usual, marked);
        let objective = self.context.now + class.objective_for(received.work);
        let is_short = received.client_timeout < class.latency_objective;
        let mut query = QueryState::new(received, self.context.now);
        query.has_short_timeout = received.is_retry && spent == 0 && is_short;
        query.set_objective(objective.saturating_sub(spent));
        self.queries.insert(query);
    }

    pub(super) fn on_part_received(&mut self, received: &PartReceived) -> Option<RequestId> {
        self.retry_limiter.record_received(self.context.now);
        self.queries
            .insert_part(received.group, PartState::new(received))
    }

    /// Whether overload keeps the query from its objective. Late parts are dropped where possible.
    pub(super) fn cannot_meet_objective(&mut self, query: &mut QueryState) -> bool {
        let share = tuning::REJECT_SHARE * self.density(query);
        let time_left = (query.objective - query.arrived) as f64;
        let limit = share * time_left / f64::from(self.context.settings.steps(query.class));
        let class = self.context.class(query.class);
        // Bounded by the objective, or a slow spell would never end.
        let longest = tuning::REJECT_SHARE * class.latency_objective as f64;
        let usual_latency = self.context.latency.mean().unwrap_or(0.0).min(longest);
        let is_expired = query.arrived_late && class.late_value <= 0.0;
        if is_expired || query.has_short_timeout || time_left < usual_latency {
            return true;
        }
        let is_slow = |index: &usize| self.shortest_wait(&query.parts[*index]) > limit;
        let slow: Vec<usize> = (0..query.parts.len()).filter(is_slow).collect();
        let slow_weight: f64 = slow.iter().map(|index| query.parts[*index].weight).sum();
        let has_coverage = 1.0 - slow_weight + REACHABLE_TOLERANCE >= class.minimum();
        if has_coverage && class.takes_partial_answers() {
            for index in slow {
                query.parts[index].is_dropped = true;
            }
        }
        !has_coverage
    }

    /// Takes a permit, if the class has permits. A part that is lost to full replicas takes with it
    /// the work on all other parts of its query, which goes on and fills their replicas; so from
    /// the first such loss on a class has permits, and those of lost queries are not returned.
    pub(super) fn admit(&mut self, query: &mut QueryState) -> bool {
        let permits = self.permits.get_mut(&query.class);
        let Some(permits) = permits else { return true };
        // Now and then one is admitted without, or nobody would learn that the overload is over.
        query.has_permit = permits.try_take(self.context.now, tuning::MAX_ADMISSION_GAP);
        query.has_permit
    }

    /// Ends the permit of a query that has lost a part to full replicas.
    pub(super) fn lose_permit(&mut self, query: &QueryState) {
        let open = self.queries.count_of_class(query.class) as f64;
        match self.permits.get_mut(&query.class) {
            None => {
                let permits = TokenBucket::new(self.context.now, tuning::SPARE_PERMITS + open);
                self.permits.insert(query.class, permits);
            }
            Some(permits) if !query.has_permit => permits.set(permits.tokens() - 1.0),
            Some(_) => {}
        }
    }

    /// Returns a query's permit and what its end earns. A class with many permits needs none.
    pub(super) fn return_permit(&mut self, query: &QueryState, change: f64) {
        let open = self.queries.count_of_class(query.class) as f64;
        let permits = self.permits.get_mut(&query.class);
        let Some(permits) = permits else { return };
        permits.set(permits.tokens() + change + f64::from(u8::from(query.has_permit)));
        if permits.tokens() >= 2.0 * tuning::SPARE_PERMITS + open {
            self.permits.remove(&query.class);
        }
    }

    /// Whether an answer past the objective is worth its work. While permits are short it is not:
    /// what waits at full replicas keeps others from theirs until its own time is over.
    pub(super) fn may_be_late(&self, class: usize) -> bool {
        self.context.class(class).late_value > 0.0 && !self.permits.contains_key(&class)
    }

    /// What a part earns, to the usual part: those that earn much may wait in longer queues.
    fn density(&mut self, query: &QueryState) -> f64 {
        let weight = self.context.class(query.class).priority_weight;
        let own = weight.unwrap_or(1.0) / query.parts.len().max(1) as f64;
        let usual = self.mean_value_per_part.add(own, tuning::FLEET_WEIGHT);
        (own / usual.max(f64::MIN_POSITIVE)).clamp(
            tuning::VALUE_FACTOR_RANGE.start,
            tuning::VALUE_FACTOR_RANGE.end,
        )
    }

    /// When a part should be back from the holder of its shard that is the fastest.
    fn shortest_wait(&self, part: &PartState) -> f64 {
        let holders = self
            .context
            .replicas
            .holders(&self.context.settings, part.shard);
        let free = holders.filter(|replica| self.context.now >= replica.saturated_until);
        let waits =
            free.map(|replica| replica.expected_wait(self.context.now, self.context.objective));
        waits.fold(f64::INFINITY, f64::min)
    }
}

/// How much of its objective a retry has spent: its timeout ends with the first try's deadline.
/// First tries set by majority what is usual, for each class and tenant by itself.
fn time_spent_by_earlier_attempts(
    received: &QueryReceived,
    class: &QueryClass,
    usual: &mut MajorityVote,
    retries_marked: bool,
) -> Nanos {
    let timeout = received.client_timeout;
    let tolerance = class.latency_objective / tuning::TIMEOUT_TOLERANCE;
    let alike = |a: Nanos, b: Nanos| a.abs_diff(b) <= tolerance;
    if !received.is_retry {
        usual.vote(timeout, tuning::MAX_TIMEOUT_LEAD, alike);
    }
    let is_first_try = retries_marked && !received.is_retry;
    let is_usual = usual.leader().is_none_or(|usual| alike(timeout, usual));
    let latest = if is_first_try || is_usual {
        class.deadline
    } else {
        timeout
    };
    class.deadline.saturating_sub(latest)
}

//! Validates a parsed search request: limits and contradictory parameters.

use super::aggregation::Aggregation;
use super::clause::QueryClause;
use super::error::{SearchRequestError, SearchRequestErrorCause as Cause};
use super::limits::{
    MAX_AGGREGATIONS, MAX_BUCKETS, MAX_CLAUSES, MAX_CLAUSE_DEPTH, MAX_RESULT_WINDOW, MAX_SORT_KEYS,
};
use super::request::SearchRequest;
use super::time_value::parse_time_value_ms;

/// Depth of the outermost clause of a query.
const TOP_LEVEL_DEPTH: usize = 1;

impl SearchRequest {
    /// Checks that the request respects all limits and has no contradictory parameters.
    ///
    /// # Errors
    /// Returns the first violation. The response to the client contains it, so the order of the
    /// checks must not change.
    pub fn validate(&self) -> Result<(), SearchRequestError> {
        check_result_window(self)?;
        check_search_after(self)?;
        check_sort(self)?;
        check_timeout(self)?;
        check_aggregations(self)?;
        match &self.query {
            Some(query) => ClauseCounter::default().check(query, TOP_LEVEL_DEPTH),
            None => Ok(()),
        }
    }
}

fn check_result_window(request: &SearchRequest) -> Result<(), SearchRequestError> {
    let window = request.from().saturating_add(request.size());
    if window > MAX_RESULT_WINDOW {
        let cause = Cause::ResultWindowTooLarge { window };
        return Err(SearchRequestError::new("from", cause));
    }
    Ok(())
}

fn check_search_after(request: &SearchRequest) -> Result<(), SearchRequestError> {
    let Some(search_after) = &request.search_after else {
        return Ok(());
    };
    let error = |cause| Err(SearchRequestError::new("search_after", cause));
    if request.sort.is_empty() {
        return error(Cause::SearchAfterWithoutSort);
    }
    if search_after.len() != request.sort.len() {
        return error(Cause::SearchAfterLengthMismatch {
            values: search_after.len(),
            keys: request.sort.len(),
        });
    }
    if request.from() > 0 {
        let from = request.from();
        let cause = Cause::FromWithSearchAfter { from };
        return Err(SearchRequestError::new("from", cause));
    }
    if search_after
        .iter()
        .any(|value| value.is_object() || value.is_array())
    {
        return error(Cause::SearchAfterNotScalar);
    }
    Ok(())
}

fn check_sort(request: &SearchRequest) -> Result<(), SearchRequestError> {
    let keys = request.sort.len();
    if keys > MAX_SORT_KEYS {
        let cause = Cause::TooManySortKeys { keys };
        return Err(SearchRequestError::new("sort", cause));
    }
    Ok(())
}

fn check_timeout(request: &SearchRequest) -> Result<(), SearchRequestError> {
    let Some(timeout) = &request.timeout else {
        return Ok(());
    };
    if parse_time_value_ms(timeout).is_none() {
        let timeout = timeout.clone();
        let cause = Cause::InvalidTimeout { timeout };
        return Err(SearchRequestError::new("timeout", cause));
    }
    Ok(())
}

fn check_aggregations(request: &SearchRequest) -> Result<(), SearchRequestError> {
    let aggregations = request.aggs.len();
    if aggregations > MAX_AGGREGATIONS {
        let cause = Cause::TooManyAggregations { aggregations };
        return Err(SearchRequestError::new("aggs", cause));
    }
    for (name, aggregation) in &request.aggs {
        check_aggregation(aggregation)
            .map_err(|cause| SearchRequestError::new(format!("aggs.{name}"), cause))?;
    }
    Ok(())
}

fn check_aggregation(aggregation: &Aggregation) -> Result<(), Cause> {
    match aggregation {
        Aggregation::Terms(terms) => check_bucket_count(terms.size),
        Aggregation::Histogram(histogram) => check_interval(histogram.interval),
        Aggregation::DateHistogram(histogram) => check_fixed_interval(&histogram.fixed_interval),
        _ => Ok(()),
    }
}

fn check_bucket_count(size: u64) -> Result<(), Cause> {
    if (1..=MAX_BUCKETS).contains(&size) {
        Ok(())
    } else {
        Err(Cause::BucketCountOutOfRange { size })
    }
}

fn check_interval(interval: f64) -> Result<(), Cause> {
    if interval > 0.0 && interval.is_finite() {
        Ok(())
    } else {
        Err(Cause::InvalidInterval { interval })
    }
}

fn check_fixed_interval(fixed_interval: &str) -> Result<(), Cause> {
    match parse_time_value_ms(fixed_interval) {
        Some(1..) => Ok(()),
        _ => Err(Cause::InvalidFixedInterval {
            fixed_interval: fixed_interval.to_string(),
        }),
    }
}

/// Counts and checks the clauses of a query.
#[derive(Default)]
struct ClauseCounter {
    clause_count: usize,
}

impl ClauseCounter {
    /// Checks a clause at nesting depth `depth` and all clauses within it.
    fn check(&mut self, clause: &QueryClause, depth: usize) -> Result<(), SearchRequestError> {
        self.clause_count += 1;
        if depth > MAX_CLAUSE_DEPTH {
            return Err(SearchRequestError::new("query", Cause::ClausesTooDeep));
        }
        if self.clause_count > MAX_CLAUSES {
            return Err(SearchRequestError::new("query", Cause::TooManyClauses));
        }
        let values = value_count(clause);
        if values > MAX_CLAUSES {
            let cause = Cause::TooManyValues { values };
            return Err(SearchRequestError::new("query", cause));
        }
        match clause {
            QueryClause::Bool(bool_query) => bool_query
                .clauses()
                .try_for_each(|inner| self.check(inner, depth + 1)),
            QueryClause::ConstantScore(constant_score) => {
                self.check(&constant_score.filter, depth + 1)
            }
            QueryClause::FunctionScore(function_score) => {
                self.check(&function_score.query, depth + 1)
            }
            _ => Ok(()),
        }
    }
}

/// Returns the number of values or field names in a clause, without those of nested clauses.
fn value_count(clause: &QueryClause) -> usize {
    match clause {
        QueryClause::Terms(terms) => terms.value.len(),
        QueryClause::Ids(ids) => ids.values.len(),
        QueryClause::MultiMatch(multi_match) => multi_match.fields.len(),
        _ => 0,
    }
}

//! Checks on a parsed search request.

use super::aggregation::Aggregation;
use super::clause::QueryClause;
use super::error::{SearchRequestError, SearchRequestErrorCause as Cause};
use super::limits::{
    MAX_AGGREGATIONS, MAX_BUCKETS, MAX_CLAUSES, MAX_CLAUSE_DEPTH, MAX_RESULT_WINDOW, MAX_SORT_KEYS,
};
use super::request::SearchRequest;
use super::time_value::parse_time_value_ms;

/// Brackets that one level of clauses may open: a clause's object and that of its parameters.
const BRACKETS_PER_CLAUSE: usize = 2;
/// Brackets around and below the clauses: the body, arrays of clauses and of values.
const BRACKETS_BESIDE_CLAUSES: usize = 8;

/// Checks how deep a body is nested without parsing it.
pub(super) fn check_json_depth(body: &[u8]) -> Result<(), SearchRequestError> {
    if json_depth(body) > BRACKETS_PER_CLAUSE * MAX_CLAUSE_DEPTH + BRACKETS_BESIDE_CLAUSES {
        return Err(SearchRequestError::new("query", Cause::ClausesTooDeep));
    }
    Ok(())
}

/// The maximum nesting of brackets outside of strings.
fn json_depth(body: &[u8]) -> usize {
    let mut depth = 0usize;
    let mut max_depth = 0;
    let mut in_string = false;
    let mut escaped = false;
    for byte in body {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'{' | b'[' if !in_string => {
                depth += 1;
                max_depth = max_depth.max(depth);
            }
            b'}' | b']' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    max_depth
}

/// Checks a whole request. The order of the checks decides which violation a client is shown.
pub(super) fn validate(request: &SearchRequest) -> Result<(), SearchRequestError> {
    check_result_window(request)?;
    check_search_after(request)?;
    check_sort(request)?;
    check_timeout(request)?;
    check_aggregations(request)?;
    match &request.query {
        Some(query) => ClauseCounter::default().check(query, 1),
        None => Ok(()),
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
        return error(Cause::SearchAfterLength {
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
    match &request.timeout {
        Some(timeout) if parse_time_value_ms(timeout).is_none() => {
            let timeout = timeout.clone();
            let cause = Cause::InvalidTimeout { timeout };
            Err(SearchRequestError::new("timeout", cause))
        }
        _ => Ok(()),
    }
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
        Aggregation::Terms(terms) if terms.size == 0 || terms.size > MAX_BUCKETS => {
            Err(Cause::BucketCountOutOfRange { size: terms.size })
        }
        Aggregation::Histogram(histogram)
            if !(histogram.interval > 0.0 && histogram.interval.is_finite()) =>
        {
            let interval = histogram.interval;
            Err(Cause::InvalidInterval { interval })
        }
        Aggregation::DateHistogram(histogram)
            if parse_time_value_ms(&histogram.fixed_interval).is_none_or(|ms| ms == 0) =>
        {
            let fixed_interval = histogram.fixed_interval.clone();
            Err(Cause::InvalidFixedInterval { fixed_interval })
        }
        _ => Ok(()),
    }
}

/// Counts the clauses of a query.
#[derive(Default)]
struct ClauseCounter {
    clauses: usize,
}

impl ClauseCounter {
    /// Checks `query`, which is nested `depth` deep, and the clauses in it.
    fn check(&mut self, query: &QueryClause, depth: usize) -> Result<(), SearchRequestError> {
        self.clauses += 1;
        if depth > MAX_CLAUSE_DEPTH {
            return Err(SearchRequestError::new("query", Cause::ClausesTooDeep));
        }
        if self.clauses > MAX_CLAUSES {
            return Err(SearchRequestError::new("query", Cause::TooManyClauses));
        }
        let values = value_count(query);
        if values > MAX_CLAUSES {
            let cause = Cause::TooManyValues { values };
            return Err(SearchRequestError::new("query", cause));
        }
        match query {
            QueryClause::Bool(bool_query) => [
                &bool_query.must,
                &bool_query.filter,
                &bool_query.should,
                &bool_query.must_not,
            ]
            .into_iter()
            .flat_map(|clauses| &clauses.0)
            .try_for_each(|clause| self.check(clause, depth + 1)),
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

/// The number of values in the clause itself.
fn value_count(query: &QueryClause) -> usize {
    match query {
        QueryClause::Terms(terms) => terms.value.len(),
        QueryClause::Ids(ids) => ids.values.len(),
        QueryClause::MultiMatch(multi_match) => multi_match.fields.len(),
        _ => 0,
    }
}

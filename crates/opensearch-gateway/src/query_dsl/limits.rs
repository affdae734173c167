//! Limits on one search request.

/// Maximum nesting depth of query clauses.
pub const MAX_CLAUSE_DEPTH: usize = 20;
/// Maximum number of clauses in a query, and maximum number of values or field names in one clause.
pub const MAX_CLAUSES: usize = 1024;
/// Maximum sum of `from` and `size`, in hits.
pub const MAX_RESULT_WINDOW: u64 = 10_000;
/// Maximum number of sort keys.
pub const MAX_SORT_KEYS: usize = 16;
/// Maximum number of aggregations in a search.
pub const MAX_AGGREGATIONS: usize = 64;
/// Maximum number of buckets that a client may request from one `terms` aggregation.
pub const MAX_BUCKETS: u64 = 10_000;

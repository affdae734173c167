//! Upper bounds on one search request.

/// Maximum depth to which query clauses may be nested.
pub const MAX_CLAUSE_DEPTH: usize = 20;
/// Maximum number of clauses in a query, and of values in one clause.
pub const MAX_CLAUSES: usize = 1024;
/// Maximum of `from + size`.
pub const MAX_RESULT_WINDOW: u64 = 10_000;
/// Maximum number of sort keys.
pub const MAX_SORT_KEYS: usize = 16;
/// Maximum number of aggregations in a search.
pub const MAX_AGGREGATIONS: usize = 64;
/// Maximum number of buckets that a client may request of one aggregation.
pub const MAX_BUCKETS: u64 = 10_000;

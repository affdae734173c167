//! Determines the nesting depth of a JSON text without parsing it.

use super::error::{SearchRequestError, SearchRequestErrorCause};
use super::limits::MAX_CLAUSE_DEPTH;

/// Brackets per level of clauses: one for the clause and one for its parameters.
const BRACKETS_PER_CLAUSE: usize = 2;
/// Nested brackets outside of clauses: the body, arrays of clauses and arrays of values.
const MAX_OTHER_BRACKETS: usize = 8;

/// Checks that the nesting depth of a body does not exceed that of the deepest valid request.
pub(super) fn check_json_depth(body: &[u8]) -> Result<(), SearchRequestError> {
    if json_depth(body) > BRACKETS_PER_CLAUSE * MAX_CLAUSE_DEPTH + MAX_OTHER_BRACKETS {
        return Err(SearchRequestError::new(
            "query",
            SearchRequestErrorCause::ClausesTooDeep,
        ));
    }
    Ok(())
}

/// Returns the maximum nesting depth of brackets, ignoring brackets in strings.
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

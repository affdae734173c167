//! Determines the nesting depth of a JSON text without parsing it.

use super::error::{SearchRequestError, SearchRequestErrorCause};
use super::limits::MAX_CLAUSE_DEPTH;

/// Brackets per level of clauses: one for the clause and one for its parameters. An array of
/// clauses counts towards [`MAX_OTHER_BRACKETS`].
const BRACKETS_PER_CLAUSE: usize = 2;
/// Maximum number of nested brackets in addition to those of clauses: the body, arrays of clauses
/// and arrays of values.
const MAX_OTHER_BRACKETS: usize = 8;

/// Checks the nesting depth of a body's brackets.
///
/// The limit allows for [`MAX_CLAUSE_DEPTH`] levels of clauses and [`MAX_OTHER_BRACKETS`] other
/// brackets. A query whose clauses are nested in arrays reaches the limit with fewer levels.
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
    let mut is_in_string = false;
    let mut is_escaped = false;
    for byte in body {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_in_string => is_escaped = true,
            b'"' => is_in_string = !is_in_string,
            b'{' | b'[' if !is_in_string => {
                depth += 1;
                max_depth = max_depth.max(depth);
            }
            b'}' | b']' if !is_in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    max_depth
}

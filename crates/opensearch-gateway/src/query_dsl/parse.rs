//! Parses request bodies.

use super::deserialize::Object;
use super::error::SearchRequestError;
use super::json_depth::check_json_depth;
use super::request::SearchRequest;

/// Path of errors that do not concern a single field.
const ROOT_PATH: &str = ".";

impl SearchRequest {
    /// Parses and validates a request body. An empty body matches every document.
    ///
    /// # Errors
    /// Returns an error if the body is malformed, has contradictory parameters or exceeds a limit.
    pub fn parse(body: &[u8]) -> Result<SearchRequest, SearchRequestError> {
        if body.trim_ascii().is_empty() {
            return Ok(SearchRequest::default());
        }
        // Checked before parsing, because the parser recurses to the nesting depth of the body.
        check_json_depth(body)?;
        let request = deserialize(body)?;
        request.validate()?;
        Ok(request)
    }
}

/// Deserializes a body without checking limits. Errors include the path of the invalid field.
fn deserialize(body: &[u8]) -> Result<SearchRequest, SearchRequestError> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let Object(request): Object<SearchRequest> =
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
            let path = error.path().to_string();
            SearchRequestError::new(path, error.into_inner().into())
        })?;
    deserializer
        .end()
        .map_err(|error| SearchRequestError::new(ROOT_PATH, error.into()))?;
    Ok(request)
}

//! Parsing of request bodies.

use super::deserialize::Object;
use super::error::SearchRequestError;
use super::json_depth::check_json_depth;
use super::request::SearchRequest;

/// Path under which errors are reported that concern no single field.
const ROOT_PATH: &str = ".";

impl SearchRequest {
    /// Parses and validates a request body. An empty body matches everything.
    ///
    /// # Errors
    /// The body is malformed, contradicts itself or exceeds a limit.
    pub fn parse(body: &[u8]) -> Result<SearchRequest, SearchRequestError> {
        if body.trim_ascii().is_empty() {
            return Ok(SearchRequest::default());
        }
        // Before the body is parsed, as parsing recurses as deep as the body is nested.
        check_json_depth(body)?;
        let request = deserialize(body)?;
        request.validate()?;
        Ok(request)
    }
}

/// Deserializes a body without checking limits. Errors have the path of the field at fault.
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

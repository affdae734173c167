//! Routes requests to handlers by path and method.

use super::context::{RequestContext, ALL_INDICES};
use super::metadata;
use super::multi_search::multi_search;
use super::parameters::UrlParameters;
use super::search::{count, search};
use crate::error::GatewayError;
use crate::response::to_json_bytes;
use bytes::Bytes;
use hyper::{Method, Uri};

/// Calls the handler for a request and returns the JSON body of the successful response.
pub(super) async fn dispatch(
    context: &RequestContext,
    method: &Method,
    uri: &Uri,
    body: &Bytes,
) -> Result<Vec<u8>, GatewayError> {
    let path = uri.path();
    let parameters = UrlParameters::parse(path, uri.query())?;
    let segments: Vec<&str> = path
        .split('/')
        .filter(|segment| !segment.is_empty())
        .collect();
    let is_get_or_head = matches!(*method, Method::GET | Method::HEAD);
    let is_get_head_or_post = is_get_or_head || *method == Method::POST;
    let gateway = &context.gateway;
    match segments[..] {
        [] if is_get_or_head => Ok(to_json_bytes(&metadata::cluster_info(gateway))),
        ["_cluster", "health"] if is_get_or_head => {
            Ok(to_json_bytes(&metadata::cluster_health(&gateway.settings)))
        }
        ["_cat", "indices"] if is_get_or_head => {
            Ok(to_json_bytes(&metadata::list_indices(&gateway.settings)))
        }
        ["_msearch"] if is_get_head_or_post => multi_search(context, None, &parameters, body).await,
        [index, "_msearch"] if is_get_head_or_post => {
            multi_search(context, Some(index), &parameters, body).await
        }
        ["_search"] if is_get_head_or_post => search(context, ALL_INDICES, &parameters, body).await,
        [index, "_search"] if is_get_head_or_post => {
            search(context, index, &parameters, body).await
        }
        ["_count"] if is_get_head_or_post => count(context, ALL_INDICES, &parameters, body).await,
        [index, "_count"] if is_get_head_or_post => count(context, index, &parameters, body).await,
        [index] if is_get_or_head && !index.starts_with('_') => {
            let index = gateway.find_index(index)?;
            Ok(to_json_bytes(&metadata::index_settings(index)))
        }
        _ => Err(GatewayError::UnknownRoute {
            path: path.to_string(),
            method: method.clone(),
        }),
    }
}

//! Determines the tenant of a request.

use super::context::RequestContext;
use crate::error::GatewayError;
use crate::settings::TenantSource;

/// Returns the position of the request's tenant in `tenants`, the platform's list of tenants.
///
/// Returns 0 if the platform has no tenants.
pub(super) fn resolve_tenant(
    context: &RequestContext,
    tenants: &[String],
) -> Result<usize, GatewayError> {
    if tenants.is_empty() {
        return Ok(0);
    }
    let tenant = tenant_name(context).ok_or(GatewayError::MissingTenant)?;
    tenants
        .iter()
        .position(|name| name == tenant)
        .ok_or_else(|| GatewayError::UnknownTenant {
            tenant: tenant.to_string(),
        })
}

/// Returns the tenant's name from the configured source, or else the default tenant.
fn tenant_name(context: &RequestContext) -> Option<&str> {
    let settings = &context.gateway.settings;
    let head = &context.head;
    let by_header = || head.header(&settings.tenant_header);
    let by_network = || settings.tenant_networks.find(head.client_address);
    let tenant = match settings.tenant_source {
        TenantSource::Header => by_header(),
        TenantSource::Network => by_network(),
        TenantSource::Certificate => head.client_certificate_name.as_deref(),
        TenantSource::HeaderOrNetwork => by_header().or_else(by_network),
    };
    tenant.or(settings.default_tenant.as_deref())
}

//! Frontends for other protocols than the native one, as the settings enable them.

use crate::error::ErrorClass;
use crate::settings::{SettingsError, SCHEMA};
use aggregator_core::net::StartFrontend;
use ini_config::Settings;
use opensearch_gateway::server;
use opensearch_gateway::settings::GatewaySettings;
use opensearch_gateway::tls::ReloadableTls;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Why a frontend could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum FrontendError {
    /// Its settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Its certificate or key is invalid.
    #[error("{0}")]
    Certificate(#[source] Box<dyn Error + Send + Sync>),
    /// Its address can't be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why it can't be bound.
        source: io::Error,
    },
}

impl FrontendError {
    /// Who has to act on the error.
    pub fn class(&self) -> ErrorClass {
        match self {
            FrontendError::Settings(_) | FrontendError::Certificate(_) => ErrorClass::Configuration,
            FrontendError::Listen { .. } => ErrorClass::Runtime,
        }
    }
}

/// The enabled frontends, before they serve.
#[derive(Default)]
pub struct Frontends {
    /// Starts each frontend on its listener, which is open already.
    pub start: Vec<StartFrontend>,
    /// The certificate in use, if a frontend uses TLS.
    pub tls: Option<Rc<ReloadableTls>>,
}

/// Opens the listeners of all enabled frontends.
pub async fn open(settings: &Settings) -> Result<Frontends, FrontendError> {
    let Some(opensearch) = GatewaySettings::read(settings, &SCHEMA).map_err(SettingsError::from)?
    else {
        return Ok(Frontends::default());
    };
    let tls = load_tls(&opensearch)?;
    let address = opensearch.listen;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| FrontendError::Listen { address, source })?;
    tracing::info!(
        %address,
        indices = opensearch.indices.len(),
        tls = tls.is_some(),
        "OpenSearch frontend listens"
    );
    let server_tls = tls.clone();
    let start: StartFrontend =
        Box::new(move |client| server::start(opensearch, server_tls, listener, client));
    Ok(Frontends {
        start: vec![start],
        tls,
    })
}

/// Loads the certificate and key; `None` where the settings name none.
fn load_tls(opensearch: &GatewaySettings) -> Result<Option<Rc<ReloadableTls>>, FrontendError> {
    let Some(files) = opensearch.tls.clone() else {
        return Ok(None);
    };
    match ReloadableTls::load(files) {
        Ok(tls) => Ok(Some(Rc::new(tls))),
        Err(error) => Err(FrontendError::Certificate(error.into())),
    }
}

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

/// The enabled frontends, and what a reload of them reads again.
#[derive(Default)]
pub struct Frontends {
    /// Starts each frontend on the listener that is open for it.
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
    let tls = match opensearch.tls.clone() {
        Some(files) => {
            let tls = ReloadableTls::load(files)
                .map_err(|error| FrontendError::Certificate(error.into()))?;
            Some(Rc::new(tls))
        }
        None => None,
    };
    let address = opensearch.listen;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| FrontendError::Listen { address, source })?;
    let (indices, uses_tls) = (opensearch.indices.len(), tls.is_some());
    tracing::info!(%address, indices, tls = uses_tls, "OpenSearch frontend listens");
    let acceptor = tls.clone();
    Ok(Frontends {
        start: vec![Box::new(move |client| {
            server::start(opensearch, acceptor, listener, client)
        })],
        tls,
    })
}

//! Frontends for protocols other than the native one, if the settings enable them.

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
    /// The settings of the frontend are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The certificate or the key of the frontend is invalid.
    #[error("{0}")]
    Certificate(#[source] Box<dyn Error + Send + Sync>),
    /// The address of the frontend cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address that the settings name.
        address: SocketAddr,
        /// Why the address cannot be bound.
        source: io::Error,
    },
}

impl FrontendError {
    /// Returns the class of the error.
    pub fn class(&self) -> ErrorClass {
        match self {
            FrontendError::Settings(_) | FrontendError::Certificate(_) => ErrorClass::Configuration,
            FrontendError::Listen { .. } => ErrorClass::Runtime,
        }
    }
}

/// The enabled frontends, which are not started yet.
#[derive(Default)]
pub struct Frontends {
    /// Functions that start the frontends on listeners that are already open.
    pub start: Vec<StartFrontend>,
    /// Certificate in use; `None` if no frontend uses TLS.
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
        "OpenSearch frontend is listening"
    );
    let server_tls = tls.clone();
    let start: StartFrontend =
        Box::new(move |client| server::start(opensearch, server_tls, listener, client));
    Ok(Frontends {
        start: vec![start],
        tls,
    })
}

/// Loads the certificate and the key. Returns `None` if the settings name none.
fn load_tls(opensearch: &GatewaySettings) -> Result<Option<Rc<ReloadableTls>>, FrontendError> {
    let Some(files) = opensearch.tls.clone() else {
        return Ok(None);
    };
    match ReloadableTls::load(files) {
        Ok(tls) => Ok(Some(Rc::new(tls))),
        Err(error) => Err(FrontendError::Certificate(error.into())),
    }
}

//! TLS with a certificate that can be reloaded without closing connections.

use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::{self, PemObject};
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::danger::ClientCertVerifier;
use rustls::server::{VerifierBuilderError, WebPkiClientVerifier};
use rustls::{RootCertStore, ServerConfig};
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use tokio_rustls::TlsAcceptor;

/// Permission bits that let anyone but the owner access a file.
const GROUP_AND_OTHERS_MASK: u32 = 0o077;
/// All permission bits of a file's mode.
const PERMISSIONS_MASK: u32 = 0o777;
/// The only protocol that is negotiated by ALPN.
const ALPN_HTTP_1_1: &[u8] = b"http/1.1";

/// The files that the settings name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// PEM file of the certificate chain.
    pub certificate: PathBuf,
    /// PEM file of the private key.
    pub key: PathBuf,
    /// PEM file of the authorities that sign clients' certificates. Clients are not asked for
    /// certificates without it.
    pub client_ca: Option<PathBuf>,
}

/// Why the TLS files can't be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// The key file can't be inspected.
    #[error("{}: {source}", path.display())]
    KeyMetadata {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Others than the owner have access to the key file.
    #[error("{}: others may read it (mode {mode:03o}); chmod 600 it", path.display())]
    KeyPermissions {
        /// The file.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// A file can't be read, or is not PEM of the expected kind.
    #[error("{}: {source}", path.display())]
    Pem {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: pem::Error,
    },
    /// A file holds no certificate.
    #[error("{}: there is no certificate in it", path.display())]
    NoCertificate {
        /// The file.
        path: PathBuf,
    },
    /// A certificate can't serve as a client authority.
    #[error("{}: {source}", path.display())]
    InvalidAuthority {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: rustls::Error,
    },
    /// The verifier of client certificates can't be built.
    #[error(transparent)]
    ClientVerifier(#[from] VerifierBuilderError),
    /// The protocol versions are not supported.
    #[error(transparent)]
    Protocol(rustls::Error),
    /// Certificate and key do not fit together.
    #[error("{} and {}: {source}", certificate.display(), key.display())]
    CertificateKeyMismatch {
        /// The certificate's file.
        certificate: PathBuf,
        /// The key's file.
        key: PathBuf,
        /// The cause.
        source: rustls::Error,
    },
}

/// The TLS configuration of new connections.
pub struct ReloadableTls {
    files: TlsFiles,
    config: Mutex<Arc<ServerConfig>>,
}

impl ReloadableTls {
    /// Loads certificate and key.
    ///
    /// # Errors
    /// A file can't be used.
    pub fn load(files: TlsFiles) -> Result<ReloadableTls, TlsError> {
        let config = Mutex::new(Arc::new(load_config(&files)?));
        Ok(ReloadableTls { files, config })
    }

    /// Loads the files again. Open connections are not affected.
    ///
    /// # Errors
    /// A file can't be used; the previous configuration stays in force.
    pub fn reload(&self) -> Result<(), TlsError> {
        let config = Arc::new(load_config(&self.files)?);
        *self.config.lock().unwrap_or_else(PoisonError::into_inner) = config;
        Ok(())
    }

    /// Accepts connections with the current configuration.
    pub fn acceptor(&self) -> TlsAcceptor {
        let config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        TlsAcceptor::from(config.clone())
    }
}

fn load_config(files: &TlsFiles) -> Result<ServerConfig, TlsError> {
    let key = load_key(&files.key)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .map_err(TlsError::Protocol)?;
    let builder = match &files.client_ca {
        None => builder.with_no_client_auth(),
        Some(path) => builder.with_client_cert_verifier(load_client_verifier(path, provider)?),
    };
    let chain = load_certificates(&files.certificate)?;
    let mut config = builder.with_single_cert(chain, key).map_err(|source| {
        TlsError::CertificateKeyMismatch {
            certificate: files.certificate.clone(),
            key: files.key.clone(),
            source,
        }
    })?;
    config.alpn_protocols = vec![ALPN_HTTP_1_1.to_vec()];
    Ok(config)
}

/// Loads the private key, which only its owner may access.
fn load_key(path: &Path) -> Result<PrivateKeyDer<'static>, TlsError> {
    let metadata = std::fs::metadata(path).map_err(|source| TlsError::KeyMetadata {
        path: path.into(),
        source,
    })?;
    let mode = metadata.permissions().mode();
    if mode & GROUP_AND_OTHERS_MASK != 0 {
        return Err(TlsError::KeyPermissions {
            path: path.into(),
            mode: mode & PERMISSIONS_MASK,
        });
    }
    PrivateKeyDer::from_pem_file(path).map_err(|source| pem_error(path, source))
}

fn load_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let certificates = CertificateDer::pem_file_iter(path)
        .and_then(|certificates| certificates.collect::<Result<Vec<_>, _>>())
        .map_err(|source| pem_error(path, source))?;
    if certificates.is_empty() {
        return Err(TlsError::NoCertificate { path: path.into() });
    }
    Ok(certificates)
}

fn pem_error(path: &Path, source: pem::Error) -> TlsError {
    TlsError::Pem {
        path: path.into(),
        source,
    }
}

/// Verifies clients' certificates against the authorities in a file. A client may have none.
fn load_client_verifier(
    path: &Path,
    provider: Arc<CryptoProvider>,
) -> Result<Arc<dyn ClientCertVerifier>, TlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in load_certificates(path)? {
        roots
            .add(certificate)
            .map_err(|source| TlsError::InvalidAuthority {
                path: path.into(),
                source,
            })?;
    }
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider)
        .allow_unauthenticated()
        .build()?;
    Ok(verifier)
}

/// The common name in a client's certificate, which was verified in the handshake.
pub fn common_name(certificate: &CertificateDer) -> Option<String> {
    let (_, certificate) = x509_parser::parse_x509_certificate(certificate).ok()?;
    let name = certificate.subject().iter_common_name().next()?;
    name.as_str().ok().map(str::to_string)
}

//! TLS configuration that can be reloaded without closing connections.

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

/// Permission bits that grant access to a file to its group and to others.
const GROUP_AND_OTHERS_MASK: u32 = 0o077;
/// All permission bits of a file's mode.
const PERMISSIONS_MASK: u32 = 0o777;
/// The only protocol offered in ALPN negotiation.
const ALPN_HTTP_1_1: &[u8] = b"http/1.1";

/// Paths of the files from which the TLS configuration is loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// PEM file with the certificate chain.
    pub certificate: PathBuf,
    /// PEM file with the private key.
    pub key: PathBuf,
    /// PEM file with the authorities that sign client certificates. If `None`, no certificate is
    /// requested from clients.
    pub client_ca: Option<PathBuf>,
}

/// Error from loading the TLS files.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// The metadata of the key file cannot be read.
    #[error("{}: cannot read the file's metadata: {source}", path.display())]
    UnreadableKeyMetadata {
        /// Path of the file.
        path: PathBuf,
        /// I/O error of the system call.
        source: io::Error,
    },
    /// Users other than the owner have access to the key file.
    #[error(
        "{}: private key file is accessible by group or others (mode {mode:03o}); expected mode 600",
        path.display()
    )]
    InsecureKeyPermissions {
        /// Path of the file.
        path: PathBuf,
        /// Permission bits of the file.
        mode: u32,
    },
    /// A file cannot be read, or is not a PEM file of the expected kind.
    #[error("{}: cannot load the PEM file: {source}", path.display())]
    InvalidPem {
        /// Path of the file.
        path: PathBuf,
        /// I/O error or syntax error in the PEM file.
        source: pem::Error,
    },
    /// A PEM file contains no certificate.
    #[error("{}: the PEM file contains no certificate", path.display())]
    MissingCertificate {
        /// Path of the file.
        path: PathBuf,
    },
    /// A certificate cannot be used as an authority for client certificates.
    #[error("{}: invalid authority for client certificates: {source}", path.display())]
    InvalidAuthority {
        /// Path of the file.
        path: PathBuf,
        /// Error of the TLS library.
        source: rustls::Error,
    },
    /// The verifier for client certificates cannot be built.
    #[error(transparent)]
    InvalidClientVerifier(#[from] VerifierBuilderError),
    /// The crypto provider does not support the default protocol versions.
    #[error(transparent)]
    UnsupportedProtocolVersions(rustls::Error),
    /// The certificate cannot be used with the private key.
    #[error("certificate {} cannot be used with private key {}: {source}", certificate.display(), key.display())]
    CertificateKeyMismatch {
        /// Path of the certificate file.
        certificate: PathBuf,
        /// Path of the key file.
        key: PathBuf,
        /// Error of the TLS library.
        source: rustls::Error,
    },
}

/// The TLS configuration for new connections, which can be replaced at run time.
pub struct ReloadableTls {
    files: TlsFiles,
    config: Mutex<Arc<ServerConfig>>,
}

impl ReloadableTls {
    /// Loads the TLS configuration from `files`.
    ///
    /// # Errors
    /// Returns an error if a file cannot be read or its content is invalid.
    pub fn load(files: TlsFiles) -> Result<ReloadableTls, TlsError> {
        let config = Mutex::new(Arc::new(load_config(&files)?));
        Ok(ReloadableTls { files, config })
    }

    /// Loads the files again for new connections. Open connections are not affected.
    ///
    /// # Errors
    /// Returns an error if a file cannot be read or its content is invalid. The previous
    /// configuration then remains in use.
    pub fn reload(&self) -> Result<(), TlsError> {
        let config = Arc::new(load_config(&self.files)?);
        *self.config.lock().unwrap_or_else(PoisonError::into_inner) = config;
        Ok(())
    }

    /// Returns an acceptor that uses the current configuration.
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
        .map_err(TlsError::UnsupportedProtocolVersions)?;
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

/// Loads the private key and checks that only the owner has access to its file.
fn load_key(path: &Path) -> Result<PrivateKeyDer<'static>, TlsError> {
    let metadata = std::fs::metadata(path).map_err(|source| TlsError::UnreadableKeyMetadata {
        path: path.into(),
        source,
    })?;
    let mode = metadata.permissions().mode();
    if mode & GROUP_AND_OTHERS_MASK != 0 {
        return Err(TlsError::InsecureKeyPermissions {
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
        return Err(TlsError::MissingCertificate { path: path.into() });
    }
    Ok(certificates)
}

fn pem_error(path: &Path, source: pem::Error) -> TlsError {
    TlsError::InvalidPem {
        path: path.into(),
        source,
    }
}

/// Returns a verifier that checks client certificates against the authorities in a file.
///
/// Clients without a certificate are accepted.
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

/// Returns the common name in a certificate, or `None` if there is none or the certificate is
/// malformed.
///
/// The handshake must have verified the certificate.
pub fn common_name(certificate: &CertificateDer) -> Option<String> {
    let (_, certificate) = x509_parser::parse_x509_certificate(certificate).ok()?;
    let name = certificate.subject().iter_common_name().next()?;
    name.as_str().ok().map(str::to_string)
}

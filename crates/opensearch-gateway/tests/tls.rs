//! Tests of TLS: reloading of certificates and verification of client certificates.

use opensearch_gateway::tls::{common_name, ReloadableTls, TlsFiles};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, KeyPair};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::{ClientConfig, RootCertStore};
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::Arc;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio_rustls::{client, server, TlsConnector};

/// Capacity of the in-memory stream between client and server.
const STREAM_BUFFER_BYTES: usize = 65_536;

/// A self-signed certificate authority.
struct Authority(CertifiedIssuer<'static, KeyPair>);

/// A certificate and its private key in PEM format.
struct Identity {
    certificate: String,
    key: String,
}

impl Authority {
    fn new() -> Authority {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        Authority(CertifiedIssuer::self_signed(params, key).unwrap())
    }

    /// Issues a certificate for a host name, with a common name.
    fn issue(&self, host: &str, common_name: &str) -> Identity {
        let mut params = CertificateParams::new(vec![host.to_string()]).unwrap();
        params
            .distinguished_name
            .push(DnType::CommonName, common_name);
        let key = KeyPair::generate().unwrap();
        Identity {
            certificate: params.signed_by(&key, &self.0).unwrap().pem(),
            key: key.serialize_pem(),
        }
    }

    /// Returns the configuration of a client that trusts this authority.
    fn client(&self, identity: Option<Identity>) -> ClientConfig {
        let root = CertificateDer::from_pem_slice(self.0.pem().as_bytes()).unwrap();
        let mut roots = RootCertStore::empty();
        roots.add(root).unwrap();
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .unwrap()
            .with_root_certificates(roots);
        let Some(Identity { certificate, key }) = identity else {
            return builder.with_no_client_auth();
        };
        let certificate = CertificateDer::from_pem_slice(certificate.as_bytes()).unwrap();
        let key = PrivateKeyDer::from_pem_slice(key.as_bytes()).unwrap();
        builder
            .with_client_auth_cert(vec![certificate], key)
            .unwrap()
    }
}

/// The TLS files of the server, in a temporary directory that is removed on drop.
struct ServerFiles {
    _directory: TempDir,
    paths: TlsFiles,
}

impl ServerFiles {
    /// Writes the client authority and the certificate. The caller writes the key.
    fn new(client_ca: &Authority, identity: &Identity) -> ServerFiles {
        let directory = tempfile::tempdir().unwrap();
        let path_of = |name: &str| directory.path().join(name);
        let paths = TlsFiles {
            certificate: path_of("cert"),
            key: path_of("key"),
            client_ca: Some(path_of("ca")),
        };
        write_file(&path_of("ca"), &client_ca.0.pem(), 0o644);
        write_file(&paths.certificate, &identity.certificate, 0o644);
        ServerFiles {
            _directory: directory,
            paths,
        }
    }
}

fn write_file(path: &Path, text: &str, mode: u32) {
    fs::write(path, text).unwrap();
    fs::set_permissions(path, fs::Permissions::from_mode(mode)).unwrap();
}

/// Both ends of an established TLS connection.
struct Connection {
    client: client::TlsStream<DuplexStream>,
    server: server::TlsStream<DuplexStream>,
}

async fn connect(
    tls: &ReloadableTls,
    client: ClientConfig,
    host: &'static str,
) -> std::io::Result<Connection> {
    let (client_stream, server_stream) = tokio::io::duplex(STREAM_BUFFER_BYTES);
    let acceptor = tls.acceptor();
    let server = tokio::spawn(async move { acceptor.accept(server_stream).await });
    let connector = TlsConnector::from(Arc::new(client));
    let host = ServerName::try_from(host).unwrap();
    let client = connector.connect(host, client_stream).await;
    let server = server.await.unwrap();
    Ok(Connection {
        client: client?,
        server: server?,
    })
}

#[tokio::test]
async fn a_reload_affects_only_new_connections_and_rejects_invalid_files() {
    let authority = Authority::new();
    let identity = authority.issue("one.example", "one");
    let files = ServerFiles::new(&authority, &identity);
    write_file(&files.paths.key, &identity.key, 0o640);
    assert!(ReloadableTls::load(files.paths.clone())
        .err()
        .unwrap()
        .to_string()
        .contains("accessible by group or others (mode 640)"));
    write_file(&files.paths.key, &identity.key, 0o600);
    let tls = ReloadableTls::load(files.paths.clone()).unwrap();
    let mut before = connect(&tls, authority.client(None), "one.example")
        .await
        .unwrap();
    assert!(
        before.server.get_ref().1.peer_certificates().is_none(),
        "expected a connection without a client certificate to be accepted"
    );
    // The new certificate does not match the private key, which is still the previous one.
    let next_identity = authority.issue("two.example", "two");
    write_file(&files.paths.certificate, &next_identity.certificate, 0o644);
    assert!(tls.reload().is_err());
    assert!(
        connect(&tls, authority.client(None), "one.example")
            .await
            .is_ok(),
        "expected the previous certificate to remain in use after a failed reload"
    );
    write_file(&files.paths.key, &next_identity.key, 0o600);
    tls.reload().unwrap();
    assert!(connect(&tls, authority.client(None), "two.example")
        .await
        .is_ok());
    assert!(connect(&tls, authority.client(None), "one.example")
        .await
        .is_err());
    before.client.write_all(b"still here").await.unwrap();
    before.client.flush().await.unwrap();
    let mut received_bytes = [0; 10];
    before.server.read_exact(&mut received_bytes).await.unwrap();
    assert_eq!(
        &received_bytes, b"still here",
        "expected the connection from before the reload to stay open"
    );
}

#[tokio::test]
async fn client_certificates_provide_names_and_unknown_authorities_are_rejected() {
    let authority = Authority::new();
    let unknown_authority = Authority::new();
    let identity = authority.issue("one.example", "one");
    let files = ServerFiles::new(&authority, &identity);
    write_file(&files.paths.key, &identity.key, 0o600);
    let tls = ReloadableTls::load(files.paths.clone()).unwrap();
    let client = authority.client(Some(authority.issue("client.example", "alpha")));
    let connection = connect(&tls, client, "one.example").await.unwrap();
    let certificates = connection.server.get_ref().1.peer_certificates().unwrap();
    assert_eq!(common_name(&certificates[0]).as_deref(), Some("alpha"));
    let unknown = unknown_authority.issue("client.example", "alpha");
    let client = authority.client(Some(unknown));
    assert!(connect(&tls, client, "one.example").await.is_err());
}

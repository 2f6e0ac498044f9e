//! The TLS certificate of this entry, and the entry ids of peers from their certificates.

use std::path::Path;
use std::sync::Arc;

use quinn::Connection;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use sha2::{Digest, Sha256};

use super::EndpointError;
use crate::ids::EntryId;
use crate::process::settings::Settings;

/// Protocol name in the TLS handshake; increase its version on an incompatible change of messages.
const ALPN: &[u8] = b"sapphireford-peer/1";

/// The certificate and private key of this entry, and the certificate authority of all entries.
pub struct PeerIdentity {
    entry_id: EntryId,
    certificates: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    authorities: Arc<RootCertStore>,
}

impl PeerIdentity {
    /// Reads the PEM files named in the settings and checks that the certificate is for the entry id.
    pub fn load(settings: &Settings) -> Result<Self, EndpointError> {
        let certificates = read_certificates(&settings.peer_certificate)?;
        let key = PrivateKeyDer::from_pem_file(&settings.peer_key)
            .map_err(|error| EndpointError::Pem(settings.peer_key.clone(), error))?;
        let mut authorities = RootCertStore::empty();
        for authority in read_certificates(&settings.peer_authority)? {
            authorities.add(authority).map_err(tls_error)?;
        }
        let identity = Self {
            entry_id: settings.entry_id.clone(),
            certificates,
            key,
            authorities: Arc::new(authorities),
        };
        identity.check_certificate_name()?;
        Ok(identity)
    }

    /// The id of this entry, which is the DNS name of its certificate.
    pub fn entry_id(&self) -> &EntryId {
        &self.entry_id
    }

    fn check_certificate_name(&self) -> Result<(), EndpointError> {
        let name =
            certificate_dns_name(&self.certificates).map_err(EndpointError::CertificateName)?;
        if !name.eq_ignore_ascii_case(&self.entry_id) {
            let reason = format!(
                "the certificate is for `{name}`, but the entry id is `{}`",
                self.entry_id
            );
            return Err(EndpointError::CertificateName(reason));
        }
        Ok(())
    }

    pub(super) fn server_config(&self) -> Result<QuicServerConfig, EndpointError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.authorities.clone(), provider.clone())
                .build()
                .map_err(tls_error)?;
        let mut config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(tls_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.certificates.clone(), self.key.clone_key())
            .map_err(tls_error)?;
        config.alpn_protocols = vec![ALPN.to_vec()];
        QuicServerConfig::try_from(config).map_err(tls_error)
    }

    pub(super) fn client_config(&self) -> Result<QuicClientConfig, EndpointError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(tls_error)?
            .with_root_certificates(self.authorities.clone())
            .with_client_auth_cert(self.certificates.clone(), self.key.clone_key())
            .map_err(tls_error)?;
        config.alpn_protocols = vec![ALPN.to_vec()];
        QuicClientConfig::try_from(config).map_err(tls_error)
    }

    /// The key for the tokens of stateless resets. It is derived from the private key, so that a
    /// restarted entry can reset the connections of its earlier process instead of letting them time
    /// out.
    pub(super) fn stateless_reset_key(&self) -> ring::hmac::Key {
        let mut digest = Sha256::new();
        digest.update(b"sapphireford stateless reset");
        digest.update(self.key.secret_der());
        ring::hmac::Key::new(ring::hmac::HMAC_SHA256, &digest.finalize())
    }
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, EndpointError> {
    let pem_error = |error| EndpointError::Pem(path.to_path_buf(), error);
    CertificateDer::pem_file_iter(path)
        .map_err(pem_error)?
        .collect::<Result<Vec<_>, _>>()
        .map_err(pem_error)
}

fn tls_error(error: impl std::fmt::Display) -> EndpointError {
    EndpointError::Tls(error.to_string())
}

/// The entry id of the peer, taken from its verified certificate.
pub(super) fn peer_entry_id(connection: &Connection) -> Result<String, String> {
    let identity = connection.peer_identity();
    let certificates = identity
        .and_then(|identity| identity.downcast::<Vec<CertificateDer<'static>>>().ok())
        .ok_or("the peer did not present a certificate")?;
    certificate_dns_name(&certificates)
}

/// The only DNS name of the first certificate. A certificate with several names or a wildcard is
/// rejected, because it could be used by several entries.
fn certificate_dns_name(certificates: &[CertificateDer<'_>]) -> Result<String, String> {
    let first = certificates
        .first()
        .ok_or("the certificate chain is empty")?;
    let certificate = webpki::EndEntityCert::try_from(first).map_err(|error| error.to_string())?;
    let mut names = certificate.valid_dns_names();
    match (names.next(), names.next()) {
        (Some(name), None) if !name.contains('*') => Ok(name.to_string()),
        _ => Err("the certificate must have exactly one DNS name, the entry id".to_string()),
    }
}

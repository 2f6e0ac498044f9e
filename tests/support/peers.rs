//! A site with a certificate authority of its own, and peer endpoints with certificates that it
//! issues.
#![allow(dead_code)]

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, KeyPair,
};
use sapphireford::connection::peer::{EndpointError, PeerEndpoint, PeerIdentity};
use sapphireford::process::settings::{RawSettings, Settings};
use sapphireford::process::timer::TimerService;

/// Runs a test on the single-threaded runtime that entries use, with a timer service.
pub fn run<F: Future>(test: impl FnOnce(TimerService) -> F) -> F::Output {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .unwrap()
        .block_on(async { test(TimerService::start()).await })
}

/// A certificate authority and the directory with its PEM files, which is removed on drop.
pub struct Site {
    issuer: CertifiedIssuer<'static, KeyPair>,
    directory: PathBuf,
}

impl Site {
    pub fn new() -> Self {
        static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap();
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let directory =
            std::env::temp_dir().join(format!("sapphireford-site-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        std::fs::write(directory.join("authority.pem"), issuer.pem()).unwrap();
        Self { issuer, directory }
    }

    /// Issues a certificate with these DNS names and writes it and its key to the files of an
    /// entry.
    pub fn issue_certificate(&self, entry_id: &str, dns_names: &[&str]) {
        let key_pair = KeyPair::generate().unwrap();
        let dns_names: Vec<_> = dns_names.iter().map(|name| name.to_string()).collect();
        let mut params = CertificateParams::new(dns_names).unwrap();
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate = params.signed_by(&key_pair, &self.issuer).unwrap();
        let path = |kind: &str| self.directory.join(format!("{entry_id}-{kind}.pem"));
        std::fs::write(path("certificate"), certificate.pem()).unwrap();
        std::fs::write(path("key"), key_pair.serialize_pem()).unwrap();
    }

    /// Makes entries of this site trust the authority of `other` instead of their own. Identities
    /// that are already loaded are not affected.
    pub fn trust_authority_of(&self, other: &Site) {
        std::fs::write(self.directory.join("authority.pem"), other.issuer.pem()).unwrap();
    }

    /// Loads the certificate, the key and the authority from the files of an entry, as an entry
    /// does.
    pub fn load_identity(&self, entry_id: &str) -> Result<PeerIdentity, EndpointError> {
        let path = |name: String| self.directory.join(name);
        let raw_settings: RawSettings = serde_json::from_value(serde_json::json!({
            "entry_id": entry_id,
            "failure_domain": "brasov-a",
            "http_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "platform_address": "127.0.0.1:0",
            "peer_certificate": path(format!("{entry_id}-certificate.pem")),
            "peer_key": path(format!("{entry_id}-key.pem")),
            "peer_authority": path("authority.pem".to_string()),
        }))
        .unwrap();
        PeerIdentity::load(&Settings::try_from(raw_settings).unwrap())
    }

    /// Opens an endpoint for an entry on a free port with the certificate that it already has, as
    /// after a restart of the entry.
    pub fn reopen_endpoint(&self, entry_id: &str, timer: &TimerService) -> PeerEndpoint {
        let identity = self.load_identity(entry_id).unwrap();
        let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
        PeerEndpoint::open(address, &identity, timer.clone()).unwrap()
    }

    /// Issues a certificate for an entry and opens an endpoint with it on a free port.
    pub fn open_endpoint(&self, entry_id: &str, timer: &TimerService) -> PeerEndpoint {
        self.issue_certificate(entry_id, &[entry_id]);
        self.reopen_endpoint(entry_id, timer)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

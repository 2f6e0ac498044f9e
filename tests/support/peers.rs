//! A site authority, and endpoints whose certificates it signs.
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

/// Runs a test on the runtime that entries use.
pub fn run<F: Future>(test: impl FnOnce(TimerService) -> F) -> F::Output {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .unwrap()
        .block_on(async { test(TimerService::start()).await })
}

/// A site with its own authority.
pub struct Site {
    issuer: CertifiedIssuer<'static, KeyPair>,
    folder: PathBuf,
}

impl Site {
    pub fn new() -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap();
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("sapphireford-site-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("authority.pem"), issuer.pem()).unwrap();
        Self { issuer, folder }
    }

    /// Writes the certificate and the key of an entry.
    pub fn sign(&self, entry_id: &str, dns_names: &[&str]) {
        let key = KeyPair::generate().unwrap();
        let names: Vec<_> = dns_names.iter().map(|name| name.to_string()).collect();
        let mut params = CertificateParams::new(names).unwrap();
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        let path = |kind: &str| self.folder.join(format!("{entry_id}-{kind}.pem"));
        std::fs::write(path("certificate"), certificate.pem()).unwrap();
        std::fs::write(path("key"), key.serialize_pem()).unwrap();
    }

    /// Makes the entries of this site trust the authority of another one instead of their own.
    pub fn trust(&self, other: &Site) {
        std::fs::write(self.folder.join("authority.pem"), other.issuer.pem()).unwrap();
    }

    pub fn identity(&self, entry_id: &str) -> Result<PeerIdentity, EndpointError> {
        let path = |name: String| self.folder.join(name);
        let raw: RawSettings = serde_json::from_value(serde_json::json!({
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
        PeerIdentity::load(&Settings::try_from(raw).unwrap())
    }

    /// Opens the endpoint of an entry on a free port, with the certificate that was written.
    pub fn reopen(&self, entry_id: &str, timer: &TimerService) -> PeerEndpoint {
        let identity = self.identity(entry_id).unwrap();
        let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
        PeerEndpoint::open(address, &identity, timer.clone()).unwrap()
    }

    /// Writes a certificate for an entry and opens its endpoint on a free port.
    pub fn open(&self, entry_id: &str, timer: &TimerService) -> PeerEndpoint {
        self.sign(entry_id, &[entry_id]);
        self.reopen(entry_id, timer)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

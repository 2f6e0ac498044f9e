//! Connections between entries: QUIC with mutual TLS.
//!
//! Each entry shows a certificate whose one DNS name is its entry id, signed by the authority of the
//! site. Both sides check it, so a request is known to come from the entry that it names. A client
//! keeps one connection for each peer ([`Peers`]); each request has its own bidirectional stream, so
//! a slow answer does not hold up another one. A message is a four-byte length and its postcard
//! encoding ([`messages`]); the body of a forwarded answer follows as plain bytes until the end of
//! the stream.
//!
//! A caller that goes away resets its stream, and the holder of the conversation sees that at once.
//! A peer that refuses a request before it reads it says so with an error code, which makes the
//! difference between [`PeerError::NotSent`] and [`PeerError::Interrupted`].

mod client;
mod endpoint;
mod frame;
mod identity;
pub mod messages;
mod server;

use std::fmt;

pub use client::{ForwardBody, Peers};
pub use endpoint::PeerEndpoint;
pub use identity::PeerIdentity;
use quinn::VarInt;
pub use server::{PeerHandler, PeerServer, serve};

/// The result of a request to a peer.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Why a request to a peer got no complete answer.
#[derive(Clone, Debug)]
pub enum PeerError {
    /// The peer certainly did not start to work on the request.
    NotSent(String),
    /// The peer may have worked on the request; its answer is missing or incomplete.
    Interrupted(String),
}

impl PeerError {
    /// Whether the peer certainly did not start to work on the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, PeerError::NotSent(_))
    }
}

impl fmt::Display for PeerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::NotSent(reason) => {
                write!(formatter, "the peer did not get the request: {reason}")
            }
            PeerError::Interrupted(reason) => {
                write!(formatter, "the peer's answer is not complete: {reason}")
            }
        }
    }
}

impl std::error::Error for PeerError {}

/// Why an endpoint could not be opened.
#[derive(Debug)]
pub enum EndpointError {
    /// A PEM file could not be used.
    Pem(std::path::PathBuf, rustls::pki_types::pem::Error),
    /// The certificate, the key and the authority do not fit together.
    Tls(String),
    /// The certificate does not have the entry id as its only DNS name.
    CertificateName(String),
    /// The socket or the thread could not be set up.
    Io(std::io::Error),
}

impl fmt::Display for EndpointError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndpointError::Pem(path, _) => {
                write!(formatter, "could not use the PEM file `{}`", path.display())
            }
            EndpointError::Tls(reason) => {
                write!(formatter, "the peer certificate cannot be used: {reason}")
            }
            EndpointError::CertificateName(reason) => {
                write!(formatter, "the peer certificate has a wrong name: {reason}")
            }
            EndpointError::Io(_) => formatter.write_str("could not open the endpoint for peers"),
        }
    }
}

impl std::error::Error for EndpointError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            EndpointError::Pem(_, error) => Some(error),
            EndpointError::Io(error) => Some(error),
            EndpointError::Tls(_) | EndpointError::CertificateName(_) => None,
        }
    }
}

/// Ends a stream or connection that nobody needs any more.
const CODE_NO_ERROR: VarInt = VarInt::from_u32(0);
/// The request was refused before any work on it started.
const CODE_REFUSED: VarInt = VarInt::from_u32(1);
/// The answer breaks off; the request may have run.
const CODE_ABORTED: VarInt = VarInt::from_u32(2);

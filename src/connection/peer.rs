//! Requests between entries over QUIC with mutual TLS.
//!
//! Each entry presents a certificate that is signed by the site's certificate authority and has the
//! entry id as its only DNS name. Both sides verify it, which authenticates the sender of a request.
//! The client ([`Peers`]) keeps one connection per peer. Each request has its own bidirectional
//! stream, so that a slow response does not block others. A message is a four-byte length followed
//! by its postcard encoding ([`messages`]); the body of a forwarded response follows as raw bytes
//! until the end of the stream.
//!
//! When a caller disconnects, the client stops the stream, which notifies the lease holder of the
//! conversation's slot immediately. A peer that refuses a request before processing it resets the
//! stream with a separate error code; this code distinguishes [`PeerError::NotSent`] from
//! [`PeerError::Interrupted`].

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

/// Why a request to a peer got no complete response.
#[derive(Clone, Debug)]
pub enum PeerError {
    /// The peer did not start processing the request.
    NotSent(String),
    /// The peer may have processed the request; the response is missing or incomplete.
    Interrupted(String),
}

impl PeerError {
    /// Whether it is certain that the peer did not start processing the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, PeerError::NotSent(_))
    }
}

impl fmt::Display for PeerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::NotSent(reason) => {
                write!(formatter, "the peer did not process the request: {reason}")
            }
            PeerError::Interrupted(reason) => {
                write!(
                    formatter,
                    "the response of the peer is incomplete: {reason}"
                )
            }
        }
    }
}

impl std::error::Error for PeerError {}

/// Why the peer identity could not be loaded or the endpoint could not be opened.
#[derive(Debug)]
pub enum EndpointError {
    /// A PEM file could not be read or parsed.
    Pem(std::path::PathBuf, rustls::pki_types::pem::Error),
    /// The TLS library rejected the certificate, the key or the certificate authority.
    Tls(String),
    /// The entry id is not the only DNS name of the certificate.
    CertificateName(String),
    /// The socket or the endpoint thread could not be created.
    Io(std::io::Error),
}

impl fmt::Display for EndpointError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndpointError::Pem(path, _) => {
                write!(
                    formatter,
                    "could not read the PEM file `{}`",
                    path.display()
                )
            }
            EndpointError::Tls(reason) => {
                write!(
                    formatter,
                    "the TLS library rejected the peer certificate, its key or the certificate \
                     authority: {reason}"
                )
            }
            EndpointError::CertificateName(reason) => {
                write!(
                    formatter,
                    "the peer certificate has an invalid DNS name: {reason}"
                )
            }
            EndpointError::Io(_) => formatter
                .write_str("could not create the socket or the thread of the peer endpoint"),
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

/// Closes a connection that is no longer needed, or whose peer has an unexpected entry id.
const CODE_NO_ERROR: VarInt = VarInt::from_u32(0);
/// The request was refused before processing started.
const CODE_REFUSED: VarInt = VarInt::from_u32(1);
/// The request or the response was aborted; the request may have been processed.
const CODE_ABORTED: VarInt = VarInt::from_u32(2);

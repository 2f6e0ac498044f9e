//! Why a call failed.

use std::error::Error as StdError;
use std::fmt;

use crate::connection::http_client::ClientError;
use crate::error::{ErrorDetail, ErrorKind, Ran};
use crate::request::api::InvalidBody;

/// The result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// Why a call failed.
#[derive(Debug)]
pub enum CallError {
    /// No address of an entry was given.
    NoSeeds,
    /// The key cannot stand in a header.
    InvalidKey,
    /// The path of a service call cannot stand in a URL.
    InvalidPath(String),
    /// The request is malformed and was not sent.
    InvalidBody(InvalidBody),
    /// An entry refused the request or reported its failure, and repeating it does not help.
    Refused(u16, ErrorDetail),
    /// The connection broke and the request may not be repeated.
    Interrupted(ClientError),
    /// The answer is not what the protocol says; the request may have run.
    Protocol(String),
    /// An answer is not JSON of the expected shape.
    Decode(serde_json::Error),
    /// Nobody could be asked: no entry answered.
    NoEntry(String),
    /// The attempts or the time of the call are used up.
    GaveUp {
        /// Attempts made.
        attempts: u32,
        /// Whether an attempt ran.
        ran: Ran,
        /// Why the last attempt failed.
        last: Box<CallError>,
    },
}

impl CallError {
    /// Whether the request ran.
    pub fn ran(&self) -> Ran {
        match self {
            CallError::NoSeeds
            | CallError::InvalidKey
            | CallError::InvalidPath(_)
            | CallError::InvalidBody(_)
            | CallError::NoEntry(_) => Ran::No,
            CallError::Refused(_, detail) => detail.ran,
            CallError::Interrupted(error) if error.is_not_sent() => Ran::No,
            CallError::Interrupted(_) | CallError::Protocol(_) | CallError::Decode(_) => {
                Ran::Unknown
            }
            CallError::GaveUp { ran, .. } => *ran,
        }
    }

    /// What an entry said, if one did.
    pub fn detail(&self) -> Option<&ErrorDetail> {
        match self {
            CallError::Refused(_, detail) => Some(detail),
            CallError::GaveUp { last, .. } => last.detail(),
            _ => None,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NoSeeds => formatter.write_str("give the address of at least one entry"),
            CallError::InvalidKey => {
                formatter.write_str("the key has characters that a header cannot carry; check it")
            }
            CallError::InvalidPath(path) => write!(
                formatter,
                "`{path}` is not a valid path; escape its special characters"
            ),
            CallError::InvalidBody(_) => formatter.write_str("the request was not sent"),
            CallError::Refused(status, detail) => write!(
                formatter,
                "the entry answered {status} `{}`: {}",
                detail.kind, detail.message
            ),
            CallError::Interrupted(_) => formatter.write_str("the call got no complete answer"),
            CallError::Protocol(reason) => write!(
                formatter,
                "the answer is not what the protocol says ({reason}); check that the address is \
                 that of an entry"
            ),
            CallError::Decode(_) => {
                formatter.write_str("the answer of the entry is not JSON of the expected shape")
            }
            CallError::NoEntry(reason) => write!(
                formatter,
                "no entry answered ({reason}); check the addresses of the entries"
            ),
            CallError::GaveUp { attempts, ran, .. } => {
                let advice = match ran {
                    Ran::No => "it did not run and may be sent again later",
                    _ => "repeat it with the same request id to learn its result",
                };
                write!(
                    formatter,
                    "the call failed after {attempts} attempts; {advice}"
                )
            }
        }
    }
}

impl StdError for CallError {
    fn source(&self) -> Option<&(dyn StdError + 'static)> {
        match self {
            CallError::InvalidBody(error) => Some(error),
            CallError::Interrupted(error) => Some(error),
            CallError::Decode(error) => Some(error),
            CallError::GaveUp { last, .. } => Some(last.as_ref()),
            _ => None,
        }
    }
}

impl From<InvalidBody> for CallError {
    fn from(error: InvalidBody) -> Self {
        CallError::InvalidBody(error)
    }
}

impl From<ErrorDetail> for CallError {
    /// The error that a failed turn ends in, as if it had been refused before its stream began.
    fn from(detail: ErrorDetail) -> Self {
        let mut answers = ErrorKind::ALL.iter().map(|kind| kind.answer());
        let status = answers
            .find(|answer| answer.name == detail.kind)
            .map_or(500, |answer| answer.status);
        CallError::Refused(status, detail)
    }
}

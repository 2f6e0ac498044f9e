//! The errors of calls to the entries.

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
    /// The caller was created without the address of an entry.
    NoSeeds,
    /// The key contains characters that are not allowed in a header.
    InvalidKey,
    /// The path or the content type of a service call contains invalid characters.
    InvalidPath(String),
    /// The request is malformed and was not sent.
    InvalidBody(InvalidBody),
    /// An entry refused the request or reported its failure, and repeating it does not help.
    Refused(u16, ErrorDetail),
    /// The connection failed or an attempt timed out, and the request may not be repeated.
    Interrupted(ClientError),
    /// The answer violates the protocol; the request may have run.
    Protocol(String),
    /// An answer is not valid JSON of the expected type.
    Decode(serde_json::Error),
    /// No entry returned a list of entries, so the request was not sent.
    NoEntryAvailable(String),
    /// The call reached its limit of attempts or its timeout.
    RetriesExhausted {
        /// Number of attempts, including failed requests for the list of entries.
        attempts: u32,
        /// `Unknown` if any attempt may have run, else `No`.
        ran: Ran,
        /// Why the last attempt failed.
        last: Box<CallError>,
    },
}

impl CallError {
    /// Whether the request ran, considering all attempts of the call.
    pub fn ran(&self) -> Ran {
        match self {
            CallError::NoSeeds
            | CallError::InvalidKey
            | CallError::InvalidPath(_)
            | CallError::InvalidBody(_)
            | CallError::NoEntryAvailable(_) => Ran::No,
            CallError::Refused(_, detail) => detail.ran,
            CallError::Interrupted(error) if error.is_not_sent() => Ran::No,
            CallError::Interrupted(_) | CallError::Protocol(_) | CallError::Decode(_) => {
                Ran::Unknown
            }
            CallError::RetriesExhausted { ran, .. } => *ran,
        }
    }

    /// The error body of the last answer, if an entry sent one.
    pub fn detail(&self) -> Option<&ErrorDetail> {
        match self {
            CallError::Refused(_, detail) => Some(detail),
            CallError::RetriesExhausted { last, .. } => last.detail(),
            _ => None,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NoSeeds => formatter.write_str("at least one entry address is required"),
            CallError::InvalidKey => formatter
                .write_str("the key contains characters that are not allowed in an HTTP header"),
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
            CallError::Interrupted(_) => formatter.write_str("no complete answer was received"),
            CallError::Protocol(reason) => write!(
                formatter,
                "the answer violates the protocol ({reason}); check that the address belongs to an \
                 entry"
            ),
            CallError::Decode(_) => formatter
                .write_str("the answer of the entry is not valid JSON of the expected type"),
            CallError::NoEntryAvailable(reason) => write!(
                formatter,
                "no entry answered ({reason}); check the addresses of the entries"
            ),
            CallError::RetriesExhausted { attempts, ran, .. } => {
                let advice = match ran {
                    Ran::No => "it did not run and may be sent again later",
                    _ => "repeat it with the same request id to get its result",
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
            CallError::RetriesExhausted { last, .. } => Some(last.as_ref()),
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
    /// Converts the error event of a stream into the error that the entry would have answered
    /// before the stream began, with the status that belongs to its kind.
    fn from(detail: ErrorDetail) -> Self {
        let mut answers = ErrorKind::ALL.iter().map(|kind| kind.answer());
        let status = answers
            .find(|answer| answer.name == detail.kind)
            .map_or(500, |answer| answer.status);
        CallError::Refused(status, detail)
    }
}

//! Which software version of a service began each stream.
//!
//! The output of two versions does not fit together, so a stream may continue only at the version
//! that began it. A caller that takes a stream up names only the attempt that began it, through any
//! gateway, and all gateways may have been killed since then. So the origin of each stream must be
//! in the store before its first event is sent.
//!
//! The streams of a program usually begin at one version. This origin is part of the transaction
//! that opens the account of the program, so it costs no store call. Only a stream that begins
//! elsewhere has a row of its own. The row of the program is created once and never changed, and no
//! row is removed, so a stream without a row of its own began at the origin of its program.

use std::time::Instant;

use bytes::Bytes;
use indexmap::IndexSet;
use sapphireford_platform::store::{Row, RowKey, RowWrite};

use super::store::{Result, Store};
use super::writer::StoreWriter;
use crate::process::slots::placement::hash_bytes;

/// Digest of a service and a software version of its servers.
pub type StreamOrigin = u64;

const TABLE: &str = "stream-origins";
/// Key of the row with the origin of the streams that have no row of their own.
const PROGRAM_KEY: &str = "program";
/// Prefix of the keys of single streams. The id of the attempt that began the stream and the origin
/// follow. The origin is part of the key so that a write that the store performs late cannot
/// replace a newer one.
const STREAM_KEY_PREFIX: &str = "stream/";

/// The origin of the streams that begin at servers of `service` with this software version.
pub fn stream_origin(service: &str, version: &str) -> StreamOrigin {
    hash_bytes(&[service.as_bytes(), b"\0", version.as_bytes()].concat())
}

/// Identifies a stream in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamKey {
    /// The program, if it has an account; otherwise the attempt that began the stream.
    partition: String,
    /// Id of the attempt that began the stream.
    request_id: String,
    /// Whether a row of the program says where streams without a row began. Rows of the others need
    /// not be durable before the stream begins: without one, the origin is unknown.
    has_program: bool,
}

impl StreamKey {
    /// Identifies the stream that an attempt begins. `program_id` is that of a program with an
    /// account.
    pub fn new(program_id: Option<&str>, request_id: &str) -> Self {
        Self {
            partition: program_id.unwrap_or(request_id).to_string(),
            request_id: request_id.to_string(),
            has_program: program_id.is_some(),
        }
    }
}

/// The row that makes `origin` that of the streams of a program. It must be created only if there is
/// none.
pub fn program_row(program_id: &str, origin: StreamOrigin) -> RowWrite {
    RowWrite {
        row: RowKey {
            table: TABLE,
            partition: program_id.to_string(),
            key: PROGRAM_KEY.to_string(),
        },
        value: Some(Bytes::from(format_origin(origin))),
    }
}

/// Decodes the value of a row made by [`program_row`].
pub fn decode_program_origin(value: &[u8]) -> Option<StreamOrigin> {
    let origin = parse_origin(std::str::from_utf8(value).ok()?);
    if origin.is_none() {
        log::error!("the row with the origin of a program's streams could not be decoded");
    }
    origin
}

fn format_origin(origin: StreamOrigin) -> String {
    format!("{origin:016x}")
}

fn parse_origin(text: &str) -> Option<StreamOrigin> {
    (text.len() == 16)
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten()
}

/// Finds the origin of a stream in the rows of its partition. `request_id` is the attempt that began
/// it; if the caller did not name it, the origin is known only if no stream has a row of its own.
/// `None` if the origin is unknown, also if several were recorded for the stream.
pub fn find_origin(rows: &[Row], request_id: Option<&str>) -> Option<StreamOrigin> {
    let prefix = request_id.map(|id| format!("{STREAM_KEY_PREFIX}{id}/"));
    let prefix = prefix.as_deref().unwrap_or(STREAM_KEY_PREFIX);
    let own = rows.iter().filter_map(|row| row.key.strip_prefix(prefix));
    let own: IndexSet<_> = match request_id {
        Some(_) => own.filter_map(parse_origin).map(Some).collect(),
        None => own.map(|_| None).collect(),
    };
    match own.first() {
        Some(origin) if own.len() == 1 => *origin,
        Some(_) => None,
        None => {
            let program = rows.iter().find(|row| row.key == PROGRAM_KEY)?;
            decode_program_origin(program.value.as_deref()?)
        }
    }
}

/// Reads and writes the origins of streams; clones share the store.
#[derive(Clone)]
pub struct StreamOrigins {
    store: Store,
    writer: StoreWriter,
}

impl StreamOrigins {
    /// Reads and writes the origins in this store.
    pub fn new(store: Store, writer: StoreWriter) -> Self {
        Self { store, writer }
    }

    /// Whether the origin of a stream can be recorded now.
    pub fn can_record(&self) -> bool {
        self.store.is_available()
    }

    /// Records that a stream may begin at an origin which is not that of its program.
    pub async fn record(
        &self,
        stream: &StreamKey,
        origin: StreamOrigin,
        deadline: Instant,
    ) -> Result<()> {
        let id = &stream.request_id;
        let write = RowWrite {
            row: RowKey {
                table: TABLE,
                partition: stream.partition.clone(),
                key: format!("{STREAM_KEY_PREFIX}{id}/{}", format_origin(origin)),
            },
            value: Some(Bytes::new()),
        };
        if !stream.has_program {
            self.writer.write_deferred(write);
            return Ok(());
        }
        self.writer.write_once(write, deadline).await
    }

    /// Reads the origin of a stream that a caller takes up; `None` if it is unknown.
    pub async fn find(
        &self,
        program_id: Option<&str>,
        request_id: Option<&str>,
        deadline: Instant,
    ) -> Result<Option<StreamOrigin>> {
        let Some(partition) = program_id.or(request_id) else {
            return Ok(None);
        };
        let page = self.store.read_all(TABLE, partition, "", deadline).await?;
        Ok(find_origin(&page.rows, request_id))
    }
}

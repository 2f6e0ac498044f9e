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
//!
//! A stream may be sent to servers of several origins, also through several gateways, before one of
//! them sends its first event. A row then says where it was sent last: each row after the first one
//! names its place in the order.

use std::fmt;
use std::str::FromStr;
use std::time::Instant;

use bytes::Bytes;
use futures_util::future::try_join;
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
/// Prefix of the keys of the records after the first one of a stream. The order, the origin and the
/// id of the attempt follow. There is also a row with [`STREAM_KEY_PREFIX`] for each of them, because
/// gateways of earlier builds read only those. They refuse a stream that has several.
const LATER_KEY_PREFIX: &str = "later/";

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
    /// Whether a row of the program says where streams without a row began. Without one, the origin
    /// of a stream without a row is unknown.
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

/// The order of the records of one stream. A stream is sent to one server after the other, so the last
/// record names the origin of its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordOrder {
    /// Gateways that may have made records before the one that makes this record.
    pub earlier_gateways: u32,
    /// Records that the gateway itself has made before.
    pub earlier_records: u32,
}

impl fmt::Display for RecordOrder {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{}",
            self.earlier_gateways, self.earlier_records
        )
    }
}

/// The text is not a [`RecordOrder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRecordOrder;

impl FromStr for RecordOrder {
    type Err = InvalidRecordOrder;

    fn from_str(text: &str) -> std::result::Result<Self, InvalidRecordOrder> {
        let (gateways, records) = text.split_once('.').ok_or(InvalidRecordOrder)?;
        Ok(Self {
            earlier_gateways: gateways.parse().map_err(|_| InvalidRecordOrder)?,
            earlier_records: records.parse().map_err(|_| InvalidRecordOrder)?,
        })
    }
}

/// The place of a record among those of its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordPlace {
    /// No gateway has made one before.
    First,
    /// There are earlier records, or may be.
    Later(RecordOrder),
    /// A gateway of an earlier build may have made records, or make further ones.
    Unknown,
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
/// `None` if the origin is unknown, also if several were recorded for the stream without an order.
pub fn find_origin(rows: &[Row], request_id: Option<&str>) -> Option<StreamOrigin> {
    if let Some(last) = request_id.and_then(|id| last_record(rows, id)) {
        return last;
    }
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

/// The origin of the last record of a stream that has an order; `None` if no record has one. The
/// origin is `None` if a record cannot be decoded.
fn last_record(rows: &[Row], request_id: &str) -> Option<Option<StreamOrigin>> {
    let later = rows.iter().filter_map(|row| {
        let (order, rest) = row.key.strip_prefix(LATER_KEY_PREFIX)?.split_once('/')?;
        let (origin, id) = rest.split_once('/')?;
        (id == request_id).then(|| Some((order.parse().ok()?, parse_origin(origin)?)))
    });
    let later: Vec<Option<(RecordOrder, StreamOrigin)>> = later.collect();
    if later.contains(&None) {
        log::error!(request_id = request_id; "a row with the origin of a stream could not be decoded");
        return Some(None);
    }
    let last = later
        .into_iter()
        .flatten()
        .max_by_key(|(order, _)| *order)?;
    Some(Some(last.1))
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

    /// Records that a stream may begin at an origin, unless it is that of its program and nothing was
    /// recorded before.
    ///
    /// The record is durable on return, except for the first one of a stream without a program. One
    /// that is lost must not leave an earlier one as the last.
    pub async fn record(
        &self,
        stream: &StreamKey,
        origin: StreamOrigin,
        place: RecordPlace,
        deadline: Instant,
    ) -> Result<()> {
        let id = &stream.request_id;
        let origin = format_origin(origin);
        let row = |key: String| RowWrite {
            row: RowKey {
                table: TABLE,
                partition: stream.partition.clone(),
                key,
            },
            value: Some(Bytes::new()),
        };
        let write = row(format!("{STREAM_KEY_PREFIX}{id}/{origin}"));
        match place {
            RecordPlace::First if !stream.has_program => {
                self.writer.write_deferred(write);
                Ok(())
            }
            RecordPlace::First | RecordPlace::Unknown => {
                self.writer.write_once(write, deadline).await
            }
            RecordPlace::Later(order) => {
                let ordered = row(format!("{LATER_KEY_PREFIX}{order}/{origin}/{id}"));
                let write = self.writer.write_once(write, deadline);
                let ordered = self.writer.write_once(ordered, deadline);
                try_join(write, ordered).await.map(|_| ())
            }
        }
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

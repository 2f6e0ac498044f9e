//! Streamed bodies between a producer and a reader.

use bytes::Bytes;
use futures_util::FutureExt;
use sapphireford::connection::body::Body;

/// Guards against an answer that looks complete, or a task that never ends, when a stream is broken
/// off while its reader does not read.
#[test]
fn a_full_stream_can_be_broken_off() {
    let (mut sender, body) = Body::stream();
    let Body::Stream(mut reader) = body else {
        panic!("the body is no stream");
    };
    let mut sent = 0;
    while sender
        .send(Bytes::from_static(b"chunk"))
        .now_or_never()
        .is_some()
    {
        sent += 1;
    }
    assert!(
        sender.abort().now_or_never().is_some(),
        "it waits for the reader"
    );
    let mut received = 0;
    loop {
        match reader.next().now_or_never().flatten() {
            Some(Ok(_)) => received += 1,
            Some(Err(_)) => break,
            None => panic!("the stream ends as if it were complete"),
        }
    }
    assert!(received >= sent);
}

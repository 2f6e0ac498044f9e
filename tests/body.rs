//! Streamed bodies between a sender and a reader.

use bytes::Bytes;
use futures_util::FutureExt;
use sapphireford::connection::body::Body;

/// Guards against a response that looks complete, or a task that never ends, when the sender aborts
/// a stream whose buffer is full because the reader does not read.
#[test]
fn aborting_a_full_stream_does_not_wait_for_the_reader() {
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
        "the abort waits for the reader"
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

/// Guards against a stream that looks complete although its producer ended by an unexpected error.
#[test]
fn a_dropped_sender_does_not_complete_the_stream() {
    let (mut sender, body) = Body::stream();
    let Body::Stream(mut reader) = body else {
        panic!("the body is no stream");
    };
    let sent = sender.send(Bytes::from_static(b"chunk")).now_or_never();
    assert!(sent.is_some_and(|sent| sent.is_ok()));
    drop(sender);
    let mut next = || reader.next().now_or_never().flatten();
    assert!(matches!(next(), Some(Ok(_))));
    assert!(matches!(next(), Some(Err(_))));
}

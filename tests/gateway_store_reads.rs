//! Reads of a table of the store that take several pages.

#[path = "support/raw_server.rs"]
mod raw_server;

use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;
use std::time::{Duration, Instant};

use raw_server::RawServer;
use sapphireford::connection::http_client::HttpClient;
use sapphireford::process::gateway::store::Store;
use sapphireford::process::timer::TimerService;

/// Guards against a server that is used for good although its row was removed during the first read of
/// the table: the feed must be followed from the version of the first page.
#[test]
fn a_read_of_several_pages_has_the_version_of_its_first_page() {
    let store = RawServer::start(|stream, request| {
        // The second page comes after three changes, such as the removal of a row of the first one.
        let body = match request.path.contains("from=i-1") {
            false => {
                r#"{"rows":[{"key":"i-1","value":"","rowVersion":3}],"hasMore":true,"rowVersion":10}"#
            }
            true => {
                r#"{"rows":[{"key":"i-2","value":"","rowVersion":4}],"hasMore":false,"rowVersion":13}"#
            }
        };
        let length = body.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())
    });
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .expect("build a runtime");
    runtime.block_on(async {
        let http = HttpClient::new(TimerService::start());
        let relays = Rc::new(RefCell::default());
        let store = Store::new(http, store.address(), relays);
        let deadline = Instant::now() + Duration::from_secs(5);
        let page = store
            .read_all("servers", "", "", deadline)
            .await
            .expect("a page");
        let keys: Vec<&str> = page.rows.iter().map(|row| row.key.as_str()).collect();
        assert_eq!(keys, ["i-1", "i-2"]);
        assert_eq!(page.version, 10);
    });
}

//! Runs the stand-in platform as a separate process for one test.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use sapphireford::connection::http_client::HttpClient;
use sapphireford::connection::platform::PlatformClient;
use sapphireford::process::timer::TimerService;

/// Timeout of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A stand-in platform process, killed on drop.
pub struct StandinPlatform {
    child: Child,
    pub address: SocketAddr,
}

impl StandinPlatform {
    pub fn start() -> Self {
        let binary = binary("standin-platform");
        let mut child = Command::new(&binary)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| {
                panic!(
                    "{}: {error}; run scripts/test, which builds it",
                    binary.display()
                )
            });
        let mut line = String::new();
        let mut output = BufReader::new(child.stdout.take().unwrap());
        output.read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening on ").unwrap();
        Self {
            address: address.parse().unwrap(),
            child,
        }
    }

    /// Returns a client that runs on the runtime of the caller.
    pub fn client(&self, timer: &TimerService) -> PlatformClient {
        PlatformClient::new(HttpClient::new(timer.clone()), self.address, CALL_TIMEOUT)
    }
}

impl Drop for StandinPlatform {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a workspace binary, next to the binary of the package under test.
pub fn binary(name: &str) -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_sapphireford-admin")).with_file_name(name)
}

/// Runs an async test on a new runtime.
pub fn run<F: Future>(test: impl FnOnce(TimerService) -> F) -> F::Output {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async { test(TimerService::start()).await })
}

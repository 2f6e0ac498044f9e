//! Child processes that serve HTTP, and the signals and control requests that tests send to them.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

use serde_json::Value;

use super::{HttpRequest, wait_until};

/// Time within which a process listens; allows for a machine under load.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const LISTENING_PREFIX: &str = "listening on ";

/// A child process that serves HTTP. Dropping it kills the process.
pub struct Process {
    name: String,
    child: Child,
    address: SocketAddr,
    output: Output,
}

/// What a process has written to its standard output.
type Output = Arc<Mutex<String>>;

/// Most bytes of the output that are kept; what exceeds them is dropped.
const OUTPUT_LIMIT_BYTES: usize = 4 << 20;

impl Process {
    /// Starts a binary of the workspace and waits until it prints `listening on ADDRESS`.
    ///
    /// # Panics
    ///
    /// Panics if the binary has not been built, exits early or does not listen within 20 s.
    pub fn start(name: &str, arguments: &[&str]) -> Self {
        let path = binary_path(name);
        let mut child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| {
                let path = path.display();
                panic!("could not start `{path}` ({error}); run `cargo build --workspace --bins`")
            });
        let output = Output::default();
        let stdout = child.stdout.take();
        let address = stdout.and_then(|stdout| wait_for_address(stdout, output.clone()));
        let Some(address) = address else {
            let _ = child.kill();
            let _ = child.wait();
            panic!("`{name}` exited or did not print its listening address in time");
        };
        Self {
            name: name.to_string(),
            child,
            address,
            output,
        }
    }

    /// What the process has written to its standard output so far, up to a limit.
    ///
    /// # Panics
    ///
    /// Panics if the thread that reads the output has panicked.
    pub fn output(&self) -> String {
        self.output.lock().expect("no reader has panicked").clone()
    }

    /// The address that the process printed at its start.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The id given by the operating system.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Suspends the process (SIGSTOP). Its sockets stay open.
    pub fn pause(&self) {
        self.signal("STOP");
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Requests a graceful shutdown (SIGTERM); returns without waiting for it.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Kills the process (SIGKILL) and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits; `None` if it is still running after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let mut status = None;
        wait_until(timeout, || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        });
        status
    }

    /// Changes the behaviour of a stand-in, such as the faults it injects, by `POST /control`.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in rejects the request or does not answer.
    pub fn control(&self, body: &Value) {
        let answer = HttpRequest::post("/control").json(body).send(self.address);
        match answer {
            Ok(answer) if answer.status == 200 => {}
            Ok(answer) => panic!(
                "`{}` rejected POST /control with {body}: {}",
                self.name,
                answer.text()
            ),
            Err(error) => panic!("`{}` did not answer POST /control: {error}", self.name),
        }
    }

    /// Reads the counters of a stand-in by `GET /stats`.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not answer.
    pub fn stats(&self) -> Value {
        match HttpRequest::get("/stats").send(self.address) {
            Ok(answer) => answer.json(),
            Err(error) => panic!("`{}` did not answer GET /stats: {error}", self.name),
        }
    }

    fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.id().to_string())
            .status();
        let sent = status.is_ok_and(|status| status.success());
        assert!(sent, "could not send SIG{signal} to `{}`", self.name);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of a binary of the workspace. Tests run from `target/PROFILE/deps` and binaries such as
/// `standin-measure` from `target/PROFILE`, where the binary is in both cases.
pub(super) fn binary_path(name: &str) -> PathBuf {
    let executable = std::env::current_exe().expect("the path of the running executable is known");
    let folder = executable.parent().expect("an executable lies in a folder");
    let profile = match folder.file_name() {
        Some(last) if last == "deps" => folder.parent().expect("`deps` lies in a folder"),
        _ => folder,
    };
    profile.join(name)
}

/// Waits for the line with the listening address. A thread keeps reading the output, because the
/// process would block on a full pipe, keeps it and prints it if `SAPPHIREFORD_TEST_LOG` is set.
fn wait_for_address(stdout: impl Read + Send + 'static, output: Output) -> Option<SocketAddr> {
    let (sender, receiver) = mpsc::channel();
    let is_shown = std::env::var_os("SAPPHIREFORD_TEST_LOG").is_some();
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            if let Some(address) = line.strip_prefix(LISTENING_PREFIX) {
                let _ = sender.send(address.trim().parse().ok());
            } else if is_shown {
                eprintln!("{line}");
            }
            if let Ok(mut output) = output.lock()
                && output.len() < OUTPUT_LIMIT_BYTES
            {
                output.push_str(&line);
                output.push('\n');
            }
        }
    });
    receiver.recv_timeout(START_TIMEOUT).ok().flatten()
}

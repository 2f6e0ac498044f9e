//! Counters of the operating system for a process and for the machine.

use std::fs::read_to_string;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

/// Clock ticks per second, the unit of the times in `/proc/PID/stat`.
const TICKS_PER_SECOND: u64 = 100;

/// Processor time of all threads of a process, user and system.
pub fn cpu_time(pid: u32) -> Duration {
    let stat = read_to_string(format!("/proc/{pid}/stat")).expect("the process is running");
    // The name of the process stands in parentheses and may contain spaces.
    let fields = stat.rsplit_once(')').expect("a name in parentheses").1;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<u64>().expect("a number");
    Duration::from_millis((ticks(11) + ticks(12)) * 1_000 / TICKS_PER_SECOND)
}

/// Resident memory of a process in kilobytes: the current and the highest value.
pub fn memory_kb(pid: u32) -> (u64, u64) {
    let status = read_to_string(format!("/proc/{pid}/status")).expect("the process is running");
    let value = |name: &str| {
        let mut lines = status.lines();
        let line = lines
            .find(|line| line.starts_with(name))
            .expect("the status has the field");
        line.split_whitespace()
            .nth(1)
            .and_then(|value| value.parse().ok())
            .expect("a number")
    };
    (value("VmRSS:"), value("VmHWM:"))
}

/// Bytes sent and received by the TCP connections from the IP address of `local` to `remote`,
/// without TCP and IP headers.
///
/// `ss` lists only open connections, so closed ones are not included.
pub fn tcp_bytes(local: SocketAddr, remote: SocketAddr) -> (u64, u64) {
    let output = Command::new("ss")
        .args([
            "-tinH",
            "src",
            &local.ip().to_string(),
            "dst",
            &remote.to_string(),
        ])
        .output();
    let output = output.map(|output| output.stdout).unwrap_or_default();
    let text = String::from_utf8_lossy(&output);
    let sum = |name: &str| {
        let words = text.split_whitespace();
        words
            .filter_map(|word| word.strip_prefix(name)?.parse::<u64>().ok())
            .sum()
    };
    (sum("bytes_sent:"), sum("bytes_received:"))
}

/// UDP datagrams that the machine has sent since its start, over all processes.
pub fn udp_datagrams() -> u64 {
    let text = read_to_string("/proc/net/snmp").unwrap_or_default();
    let values = text.lines().filter(|line| line.starts_with("Udp:")).nth(1);
    let sent = values.and_then(|line| line.split_whitespace().nth(4)?.parse().ok());
    sent.unwrap_or(0)
}

/// Time and load average of the machine, printed with each figure.
pub fn conditions() -> String {
    let load = read_to_string("/proc/loadavg").unwrap_or_default();
    let load: Vec<&str> = load.split_whitespace().take(2).collect();
    let date = Command::new("date").args(["-u", "+%F %T"]).output();
    let date = date.map(|output| output.stdout).unwrap_or_default();
    let date = String::from_utf8_lossy(&date);
    format!("{} UTC, load average {}", date.trim(), load.join(" "))
}

/// The median and the 99th percentile in milliseconds; sorts `times`.
pub fn p50_and_p99_ms(times: &mut [Duration]) -> (f64, f64) {
    times.sort_unstable();
    let percentile_ms = |share: f64| {
        let index = ((times.len().max(1) - 1) as f64 * share).round() as usize;
        times
            .get(index)
            .map_or(0.0, |time| time.as_secs_f64() * 1e3)
    };
    (percentile_ms(0.5), percentile_ms(0.99))
}

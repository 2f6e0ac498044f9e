//! Stand-ins and drivers of the cases of the review; uses only the standard library.
//!
//! `standin CASE FOLDER` plays a case and writes `record.txt` into the folder. It exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption
//! out.

mod budget;
mod json;
mod late_report;
mod net;
mod proxy;
mod removal;
mod server;
mod site;
mod store;
mod versions;

use std::process::ExitCode;
use std::time::Duration;

use site::Record;

/// Whether the rule held; the error says why the case could not run.
pub type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let Ok(record) = Record::create(folder) else {
        eprintln!("record.txt cannot be written");
        return ExitCode::from(2);
    };
    record.line(&format!("case {case}, with the disruption: {has_trouble}"));
    site::limit_time(Duration::from_secs(100));
    let outcome = match case.as_str() {
        "budget" => budget::play(&record, has_trouble),
        "versions" => versions::play(&record, has_trouble),
        "late-report" => late_report::play(&record, has_trouble),
        "removal" => removal::play(&record, has_trouble),
        _ => Err("no such case".to_string()),
    };
    match outcome {
        Ok(true) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            record.line(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}

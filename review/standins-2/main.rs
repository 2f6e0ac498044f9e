//! Runs one case of the review with the gateways as separate processes, and prints its record.
//!
//! The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

#![allow(dead_code)]

mod gone;
mod http;
mod json;
mod late_write;
mod limits;
mod silence;
mod site;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = site::make_folder();
    std::panic::set_hook(Box::new(|_| {}));
    let ran = std::panic::catch_unwind(|| match case.as_str() {
        "late-write" => late_write::run(has_trouble, &folder),
        "gone" => gone::run(has_trouble, &folder),
        "silence" => silence::run(has_trouble, &folder),
        "limits" => limits::run(has_trouble, &folder),
        _ => site::cannot_run("unknown case"),
    });
    let _ = std::fs::remove_dir_all(&folder);
    match ran {
        Ok(true) => {
            println!("result: the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("result: the rule held");
            ExitCode::from(0)
        }
        Err(_) => {
            println!("result: the case could not run");
            ExitCode::from(2)
        }
    }
}

//! The command line of the server processes.

use std::path::PathBuf;

use sapphireford::process::command_line::{Command, ServerBinary};

const BINARY: ServerBinary = ServerBinary {
    name: "server",
    settings_variable: Some("SERVER_SETTINGS"),
    check: |_| Ok(()),
    run: |_, _| Ok(()),
};

fn parse(arguments: &[&str], default_settings: Option<&str>) -> Result<Command, String> {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    BINARY.parse(&arguments, default_settings.map(str::to_string))
}

/// Guards against an environment variable that overrides the command-line option.
#[test]
fn settings_option_overrides_the_environment_variable() {
    let settings = PathBuf::from("a.json");
    let run = |log_level: &str| Command::Run {
        settings: settings.clone(),
        log_level: log_level.to_string(),
    };
    let both = parse(&["--settings", "a.json"], Some("b.json"));
    assert_eq!(both, Ok(run("info")));
    let variable = parse(&["-l", "debug"], Some("a.json"));
    assert_eq!(variable, Ok(run("debug")));
    let check = parse(&["--check", "-s", "a.json"], None);
    assert_eq!(check, Ok(Command::Check { settings }));
}

/// Guards against usage errors that do not help the operator to correct the command line.
#[test]
fn usage_errors_name_the_missing_setting_or_refer_to_help() {
    let missing = parse(&[], None).expect_err("no settings");
    assert_eq!(
        missing,
        "`--settings FILE` or $SERVER_SETTINGS is missing; see --help"
    );
    let unknown = parse(&["--setting", "a"], None).expect_err("an unknown option");
    assert!(unknown.ends_with("see --help"), "{unknown}");
    let Ok(Command::Help(text)) = parse(&["-h"], None) else {
        panic!("no help");
    };
    assert!(text.contains("usage: server"), "{text}");
}

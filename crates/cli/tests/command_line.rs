//! Help texts, exit codes, and the offline check of a directory of settings.
//! Guards against commands without help, against exit codes that scripts misread, and against a
//! check that stops at the first fault.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

const COMMANDS: [&str; 9] = [
    "explain", "check", "publish", "get", "history", "status", "jobs", "report", "evacuate",
];
const TABLE_WIDTH_MAX: usize = 80;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dotterelhook"))
        .args(arguments)
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn write_tree(name: &str, files: &[(&str, &str)]) -> PathBuf {
    let root = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&root);
    for (file, content) in files {
        let path = root.join(file);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, content).unwrap();
    }
    root
}

#[test]
fn each_command_has_help_with_an_example() {
    for command in COMMANDS {
        let output = run(&[command, "--help"]);

        let help = text(&output.stdout);
        assert!(output.status.success(), "{command}");
        assert!(help.contains("EXAMPLE:"), "{command}: {help}");
        assert!(
            help.lines().all(|line| line.len() <= TABLE_WIDTH_MAX),
            "{command}"
        );
    }
}

#[test]
fn the_overview_names_each_command_and_exit_code() {
    let overview = text(&run(&["--help"]).stdout);

    for wanted in COMMANDS
        .iter()
        .copied()
        .chain(["0  ", "1  ", "2  ", "3  ", "4  ", "5  "])
    {
        assert!(overview.contains(wanted), "{wanted}: {overview}");
    }
}

#[test]
fn a_bad_command_line_exits_with_2_and_says_what_to_do() {
    let table: [&[&str]; 5] = [
        &["nothing"],
        &["check"],
        &["check", "a", "b"],
        &["status"],
        &["publish", "x", "--log", "nowhere"],
    ];
    for arguments in table {
        let output = run(arguments);

        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {output:?}");
        assert!(!output.stderr.is_empty(), "{arguments:?}");
    }
}

#[test]
fn an_unreachable_platform_exits_with_1() {
    for arguments in [
        &["get", "--log", "127.0.0.1:1"],
        &["status", "--daemon", "127.0.0.1:1"],
    ] {
        let output = run(arguments);

        assert_eq!(output.status.code(), Some(1), "{arguments:?}: {output:?}");
        assert!(text(&output.stderr).contains("not-run"), "{output:?}");
    }
}

#[test]
fn the_shipped_settings_have_no_fault() {
    for deployment in ["habagat", "amakusa"] {
        let directory = format!(
            "{}/../../examples/config/{deployment}",
            env!("CARGO_MANIFEST_DIR")
        );

        let output = run(&["check", &directory]);

        assert!(output.status.success(), "{output:?}");
    }
}

#[test]
fn all_faults_of_all_files_are_printed() {
    let root = write_tree(
        "faults",
        &[
            (
                "desk/quota.jsonc",
                r#"{ "batch": { "cpu_milli": 1, "memory_mb": 1 } }"#,
            ),
            ("desk/jobs/a.jsonc", "{\n  \"tasks\": 0 }"),
            ("desk/jobs/b.jsonc", "{"),
            ("desk/other/c.jsonc", "{}"),
            ("desk/jobs/D.jsonc", "{}"),
        ],
    );

    let output = run(&["check", root.to_str().unwrap()]);

    let printed = text(&output.stdout);
    assert_eq!(output.status.code(), Some(2), "{printed}");
    for file in ["a.jsonc:1:1", "b.jsonc:1:2", "c.jsonc:1:1", "D.jsonc:1:1"] {
        assert!(printed.contains(file), "{file}: {printed}");
    }
    assert_eq!(printed.lines().count(), 4, "{printed}");
}

#[test]
fn faults_are_printed_as_json_for_scripts() {
    let root = write_tree("json", &[("desk/quota.jsonc", r#"{ "batch": 1 }"#)]);

    let output = run(&["check", root.to_str().unwrap(), "--json"]);

    let faults: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(faults[0]["field"], "batch");
    assert_eq!(faults[0]["line"], 1);
}

//! Tests of the script that compares a test run with the list of known failures.

use std::path::PathBuf;
use std::process::Command;

const PASSED: &str = "test a::one ... ok\ntest b ... ok\ntest result: ok. 2 passed; 0 failed\n";
const FAILED: &str = "test a::one ... FAILED\ntest b ... ok\ntest result: FAILED. 1 passed; 1 failed\n\
    error: 1 target failed:\n    `-p x --test y`\n";
const KILLED: &str = "test a::one ... FAILED\ntest result: FAILED. 0 passed; 1 failed\n\
    error: 2 targets failed:\n    `-p x --test y`\n    `-p x --test z`\n";
const NAMES: &str = "a::one: test\nb: test\nc: test\nd: test\n\n4 tests, 0 benchmarks\n";

/// The exit status and output of the script for a run.
fn judged(case: &str, log: &str, status: &str, list: &str) -> (bool, String) {
    let folder = std::env::temp_dir().join(format!("known-red-{}-{case}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = |name: &str, text: &str| -> PathBuf {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("a file");
        path
    };
    let (log, names, list) = (file("log", log), file("names", NAMES), file("list", list));
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/scripts/known-red");
    let run = Command::new("bash").arg(script).args([&log, &names]).arg(status).arg(list).output();
    let run = run.expect("the script");
    let said = String::from_utf8_lossy(&run.stdout).into_owned() + &String::from_utf8_lossy(&run.stderr);
    std::fs::remove_dir_all(folder).expect("a folder");
    (run.status.success(), said)
}

/// Guards against failures that are not on the list, and against a list with tests that pass again or do not exist, or with
/// more than three entries.
#[test]
fn just_what_is_listed_may_fail() {
    let one = "a::one, loses an answer, 34\n";
    let four = "a::one, x, 1\nb, x, 1\nc, x, 1\nd, x, 1\n";
    let cases = [
        ("all pass", PASSED, "0", "", true, ""),
        ("listed", FAILED, "101", one, true, "a::one, loses an answer, 34"),
        ("unlisted", FAILED, "101", "", false, "not listed: a::one"),
        ("passes again", PASSED, "0", one, false, "did not fail: a::one"),
        ("fourth", FAILED, "101", four, false, "more than three"),
        ("nobody", FAILED, "101", "one, x, 1\n", false, "0 tests are named one"),
        ("no cause", FAILED, "101", "a::one\n", false, "not a line of"),
        ("killed", KILLED, "101", one, false, "2 targets failed, 1 of them"),
        ("did not build", "error: could not compile\n", "101", "", false, "no test failed"),
    ];
    for (case, log, status, list, passes, says) in cases {
        let (passed, said) = judged(&case.replace(' ', "-"), log, status, list);
        assert_eq!(passed, passes, "{case}: {said}");
        assert!(said.contains(says), "{case}: {said}");
    }
}

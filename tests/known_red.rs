//! Tests of the script that compares a test run with the list of known failures.

use std::ffi::OsStr;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;

const PASSED: &str = "test a::one ... ok\ntest b ... ok\ntest result: ok. 2 passed; 0 failed\n";
const FAILED: &str = "test a::one ... FAILED\ntest b ... ok\ntest result: FAILED. 1 passed; 1 failed\n\
    error: 1 target failed:\n    `-p x --test y`\n";
const KILLED: &str = "test a::one ... FAILED\ntest result: FAILED. 0 passed; 1 failed\n\
    error: 2 targets failed:\n    `-p x --test y`\n    `-p x --test z`\n";
const COMMAND: &str = "$ scripts/soak --seeds $SEED, seed 7, ORDER twice, an event is lost, issue 72\n";
const NAMES: &str = "a::one: test\nb: test\nc: test\nd: test\n\n4 tests, 0 benchmarks\n";

/// A folder for the files of one case.
struct Folder(PathBuf);

impl Folder {
    fn new(case: &str) -> Self {
        let path = std::env::temp_dir().join(format!("known-red-{}-{case}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).expect("a folder");
    }
}

/// The exit status and output of the script with these arguments.
fn run(arguments: &[&OsStr]) -> (bool, String) {
    run_with_path(arguments, &std::env::var("PATH").expect("a path"))
}

/// As [`run`], with another search path for programs.
fn run_with_path(arguments: &[&OsStr], path: &str) -> (bool, String) {
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/scripts/known-red");
    let run = Command::new("bash").arg(script).args(arguments).env("PATH", path).output();
    let run = run.expect("the script");
    let said = String::from_utf8_lossy(&run.stdout).into_owned() + &String::from_utf8_lossy(&run.stderr);
    (run.status.success(), said)
}

/// The exit status and output of the script for a run.
fn judged(case: &str, log: &str, status: &str, list: &str) -> (bool, String) {
    let folder = Folder::new(case);
    let (log, names, list) =
        (folder.file("log", log), folder.file("names", NAMES), folder.file("list", list));
    run(&[log.as_ref(), names.as_ref(), status.as_ref(), list.as_ref()])
}

/// Guards against failures that are not on the list, and against a list with tests that pass again or do not exist, or with
/// more than three entries. The lines of issue 78 don't count.
#[test]
fn just_what_is_listed_may_fail() {
    let one = "a::one, loses an answer, 34\n";
    let four = "a::one, x, 1\nb, x, 1\nc, x, 1\nd, x, 1\n";
    let one_of_issue_78 = "a::one, x, issue 78\n";
    let commands_of_issue_78 = COMMAND.replace("issue 72", "issue 78").repeat(4);
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
        ("command", PASSED, "0", COMMAND, true, "not run here: $ scripts/soak --seeds $SEED"),
        ("test and command", FAILED, "101", &[one, COMMAND].concat(), true, "a::one, loses an answer, 34"),
        ("command excuses no test", FAILED, "101", COMMAND, false, "not listed: a::one"),
        (
            "command without a seed",
            PASSED,
            "0",
            "$ exit 1, loses an answer, issue 72\n",
            false,
            "not a line of",
        ),
        ("command without an issue", PASSED, "0", "$ exit 1, no seed, loses it\n", false, "not a line of"),
        ("fourth command", PASSED, "0", &COMMAND.repeat(4), false, "more than three"),
        (
            "fourth command beside issue 78",
            PASSED,
            "0",
            &[&commands_of_issue_78, &*COMMAND.repeat(4)].concat(),
            false,
            "more than three",
        ),
        ("issue 78", FAILED, "101", one_of_issue_78, true, "a::one, x, issue 78"),
        (
            "commands beyond the cap for issue 78",
            PASSED,
            "0",
            &[&commands_of_issue_78, &*COMMAND.repeat(3)].concat(),
            true,
            "issue 78",
        ),
        (
            "issue 178",
            PASSED,
            "0",
            &COMMAND.replace("issue 72", "issue 178").repeat(4),
            false,
            "more than three",
        ),
    ];
    for (case, log, status, list, passes, says) in cases {
        let (passed, said) = judged(&case.replace(' ', "-"), log, status, list);
        assert_eq!(passed, passes, "{case}: {said}");
        assert!(said.contains(says), "{case}: {said}");
    }
}

/// Guards against a cap that also counts the tests of issue 78, of which each has a line of its own.
#[test]
fn tests_of_issue_78_do_not_count_against_the_cap() {
    let log = "test a::one ... FAILED\ntest b ... FAILED\ntest c ... FAILED\ntest d ... FAILED\n\
        test result: FAILED. 0 passed; 4 failed\nerror: 1 target failed:\n    `-p x --test y`\n";
    let cases = [
        ("one of them", "a::one, x, issue 78\nb, x, 1\nc, x, 1\nd, x, 1\n", true, "failed as listed"),
        ("all", "a::one, x, issue 78\nb, x, 78\nc, x, issue 78\nd, x, issue 78\n", true, "failed as listed"),
        ("another issue", "a::one, x, issue 7\nb, x, 1\nc, x, 1\nd, x, 178\n", false, "more than three"),
    ];
    for (case, list, passes, says) in cases {
        let (passed, said) = judged(&format!("cap-{}", case.replace(' ', "-")), log, "101", list);
        assert_eq!(passed, passes, "{case}: {said}");
        assert!(said.contains(says), "{case}: {said}");
    }
}

/// A stand-in for cargo that runs one test, which passes.
const CARGO: &str = "#!/bin/sh\nshift 4\n[ \"$2\" != a::one ] || echo 'test a::one ... ok'\n\
    [ \"$2\" != b ] || { echo 'test b ... FAILED'; exit 101; }\n";

/// Guards against a listed test that counts as passing because none of this name runs.
#[test]
fn a_replay_runs_the_tests_and_says_which_pass() {
    let cases = [
        ("passes", "a::one, x, issue 1\n", false, "passes by now: a::one"),
        ("fails", "b, x, issue 1\n", true, "still fails (status 1): b"),
        ("nobody", "c, x, issue 1\n", true, "no test of this name ran"),
    ];
    for (case, list, passes, says) in cases {
        let folder = Folder::new(&format!("replay-test-{case}"));
        let list = folder.file("list", list);
        let cargo = folder.file("cargo", CARGO);
        std::fs::set_permissions(&cargo, std::fs::Permissions::from_mode(0o755)).expect("a mode");
        let path = format!("{}:{}", folder.0.display(), std::env::var("PATH").expect("a path"));
        let (passed, said) = run_with_path(&["--replay".as_ref(), list.as_ref()], &path);
        assert_eq!(passed, passes, "{case}: {said}");
        assert!(said.contains(says), "{case}: {said}");
    }
}

/// Guards against entries that stay on the list though their command passes by now, and against a seed that the command
/// doesn't get.
#[test]
fn a_replay_runs_the_commands_and_says_which_pass() {
    let cases = [
        ("fails", "$ exit 3, no seed, it ends, issue 1\n", true, "still fails (status 3): $ exit 3"),
        ("passes", "$ true, no seed, it ended, issue 1\n", false, "passes by now: $ true"),
        (
            "fails with its seed",
            "$ test $SEED = 8, seed 7, it ends, issue 1\n",
            true,
            "still fails (status 1)",
        ),
        ("passes with its seed", "$ test $SEED = 7, seed 7, it ended, issue 1\n", false, "passes by now"),
        ("malformed", "$ true\n", false, "not a line of"),
        ("empty", "", true, ""),
    ];
    for (case, list, passes, says) in cases {
        let folder = Folder::new(&format!("replay-{}", case.replace(' ', "-")));
        let list = folder.file("list", list);
        let (passed, said) = run(&["--replay".as_ref(), list.as_ref()]);
        assert_eq!(passed, passes, "{case}: {said}");
        assert!(said.contains(says), "{case}: {said}");
    }
}

//! Tests of the command-line tool as a process: its result files and its error messages.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SMALL: &str = "[day]\nlength_s = 6\n\n[[trouble]]\nkind = \"hang\"\nat_s = 2\nfor_s = 2\n";

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("gradepaddle-lab-{}-{name}", std::process::id()));
    fs::create_dir_all(&path).expect("a folder");
    path
}

fn lab(args: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the workspace");
    Command::new(env!("CARGO_BIN_EXE_gradepaddle-lab"))
        .args(args)
        .current_dir(root)
        .output()
        .expect("the tool")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Checks that a run writes all result files, that repeating or redrawing it gives the same bytes, and that
/// another format version is rejected.
#[test]
fn a_run_writes_all_of_its_results_and_they_can_be_drawn_again() {
    let folder = folder("simulate");
    let scenario = folder.join("small.toml");
    fs::write(&scenario, SMALL).expect("a scenario");
    let (scenario, out) = (scenario.display().to_string(), folder.join("out"));
    let ran = lab(&["simulate", &scenario, "--seed", "5", "--out", &out.display().to_string()]);
    assert!(ran.status.success(), "{}", text(&ran.stderr));
    assert!(text(&ran.stdout).starts_with("small under module, seed 5"), "{}", text(&ran.stdout));
    let read = |name: &str| fs::read(out.join(name)).expect(name);
    let (json, page) = (read("result.json"), text(&read("report.html")));
    assert!(text(&json).contains("\"schema\": 2,"));
    assert!(page.contains("<svg") && page.contains("hang from 2 s to 4 s") && !page.contains("src="));
    assert!(text(&read("seconds.csv")).lines().count() > 6);
    for plot in ["worth", "flow", "latency", "load", "warmth"] {
        assert!(
            read(&format!("{plot}.png")).starts_with(b"\x89PNG") && !read(&format!("{plot}.svg")).is_empty()
        );
    }
    let again = lab(&["simulate", &scenario, "--seed", "5", "--out", &out.display().to_string()]);
    assert!(again.status.success() && read("result.json") == json, "byte-equal");
    fs::remove_file(out.join("report.html")).expect("the page");
    assert!(lab(&["plot", &out.display().to_string()]).status.success());
    assert_eq!(text(&read("report.html")), page);
    fs::write(out.join("result.json"), text(&json).replace("\"schema\": 2,", "\"schema\": 9,"))
        .expect("a file");
    let foreign = lab(&["plot", &out.display().to_string()]);
    assert!(text(&foreign.stderr).contains("field schema"), "{}", text(&foreign.stderr));
    fs::remove_dir_all(folder).expect("the folder");
}

/// Checks that a comparison writes the same bytes on one thread and on four.
#[test]
fn a_comparison_is_the_same_on_one_thread_and_on_four() {
    let folder = folder("compare");
    let scenario = folder.join("small.toml");
    fs::write(&scenario, SMALL).expect("a scenario");
    let scenario = scenario.display().to_string();
    let run = |threads: &str| {
        let out = folder.join(threads);
        let path = out.display().to_string();
        let args = [
            "compare",
            &scenario,
            "--policies",
            "module,random",
            "--seeds",
            "3",
            "--threads",
            threads,
            "--out",
            &path,
        ];
        let ran = lab(&args);
        assert!(ran.status.success(), "{}", text(&ran.stderr));
        fs::read(out.join("compare.json")).expect("the rows")
    };
    assert_eq!(run("1"), run("4"));
    fs::remove_dir_all(folder).expect("the folder");
}

/// Checks that error messages name the file, line and field of bad input, with an exit code other than that
/// of a broken rule.
#[test]
fn bad_input_is_named_by_its_place() {
    let folder = folder("bad");
    let scenario = folder.join("bad.toml");
    fs::write(&scenario, "[fleet]\nservers = 4\nwheels = 3\n").expect("a scenario");
    let path = scenario.display().to_string();
    for (args, expected) in [
        (vec!["simulate", &path], vec!["bad.toml", "line 3", "wheels"]),
        (vec!["simulate", "no-such-scenario"], vec!["no-such-scenario"]),
        (vec!["simulate", "quiet", "--policy", "luck"], vec!["luck", "two-choices"]),
        (vec!["sweep", "quiet", "--vary", "fleet.wheels=1,2"], vec!["wheels"]),
        (vec!["sweep", "quiet", "--vary", "fleet.servers=5..1:1"], vec!["5..1:1"]),
    ] {
        let ran = lab(&args);
        let fault = text(&ran.stderr);
        assert_eq!(ran.status.code(), Some(2), "{args:?}: {fault}");
        expected.iter().for_each(|part| assert!(fault.contains(part), "{args:?}: {fault}"));
    }
    fs::remove_dir_all(folder).expect("the folder");
}

/// Checks that all scenarios of the repository can be read and have a description.
#[test]
fn the_scenarios_that_come_along_make_sense() {
    let listed = lab(&["scenarios"]);
    assert!(listed.status.success(), "{}", text(&listed.stderr));
    let lines: Vec<String> = text(&listed.stdout).lines().map(str::to_owned).collect();
    assert!(lines.len() >= 12, "{}", lines.len());
    assert!(lines.iter().all(|line| line.len() > 30), "each says what it is about");
}

//! Tests of `scripts/landings`, the list of the commits that were merged, from the last of which CI tests the upgrade.

use std::path::Path;
use std::process::Command;

/// Longest time from the first commit after a landing to the next landing, in seconds: twice the length of a sitting.
const MAX_SITTING_SECONDS: u64 = 3 * 60 * 60;

fn folder() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The output of git, or nothing if it fails.
fn git(arguments: &[&str]) -> Option<String> {
    let run = Command::new("git").current_dir(folder()).args(arguments).output().ok()?;
    run.status.success().then(|| String::from_utf8_lossy(&run.stdout).trim().to_owned())
}

/// The merged commits, the last one at the end.
fn landings() -> Vec<String> {
    let list = std::fs::read_to_string(folder().join("scripts/landings")).expect("the list is there");
    let lines = list.lines().filter(|line| !line.starts_with('#'));
    lines.map(|line| line.split(' ').next().unwrap_or_default().to_owned()).collect()
}

/// True if the clone has the history back to the first landing. A source archive or a shallow clone has not.
fn has_history(landings: &[String]) -> bool {
    landings.iter().all(|commit| git(&["cat-file", "-e", &format!("{commit}^{{commit}}")]).is_some())
}

/// Guards against an upgrade that is tested from a commit that was never merged.
#[test]
fn each_landing_is_an_ancestor_of_the_next_and_the_last_one_of_the_present_commit() {
    let mut commits = landings();
    assert!(!commits.is_empty(), "the list is empty");
    if !has_history(&commits) {
        println!("not checked: a landing is not in this clone");
        return;
    }
    commits.push("HEAD".to_owned());
    for pair in commits.windows(2) {
        let is_ancestor = git(&["merge-base", "--is-ancestor", &pair[0], &pair[1]]).is_some();
        assert!(is_ancestor, "{} is no ancestor of {}", pair[0], pair[1]);
    }
}

/// Guards against a list to which the last landing was not added: then the commits after it are of more than one sitting.
#[test]
fn the_commits_after_the_last_landing_are_of_one_sitting() {
    let commits = landings();
    if !has_history(&commits) {
        println!("not checked: a landing is not in this clone");
        return;
    }
    let last = commits.last().expect("a landing");
    let times = git(&["log", "--format=%ct", &format!("{last}..HEAD")]).expect("the commits");
    let times: Vec<u64> = times.lines().map(|time| time.parse().expect("seconds")).collect();
    let (Some(first), Some(latest)) = (times.iter().min(), times.iter().max()) else { return };
    assert!(
        latest - first < MAX_SITTING_SECONDS,
        "the commits after {last} span {} s: add the last merged commit to scripts/landings",
        latest - first
    );
}

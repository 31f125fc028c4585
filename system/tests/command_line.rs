//! The command line of the program: checks of files, and a small fleet of real processes.

#[path = "command_line/fleet.rs"]
#[allow(dead_code, reason = "tests/recover_state.rs uses the rest")]
mod fleet;
#[path = "command_line/program.rs"]
mod program;

use std::time::Duration;

use fleet::Fleet;
use googletest::prelude::*;
use program::{Scratch, example, run, text};

const SETTINGS: &str = "node.toml";
const CONFIGURATION: &str = "configuration.json";

/// A change that makes an example invalid, and the path at which it must be reported.
struct Broken {
    from: &'static str,
    to: &'static str,
    path: &'static str,
}

fn broken(from: &'static str, to: &'static str, path: &'static str) -> Broken {
    Broken { from, to, path }
}

/// Runs a check on a changed copy of an example, which must exit with 2 and name the path.
fn check_reports(command: &str, file: &str, change: &Broken) -> Result<()> {
    let valid = example(file);
    verify_that!(valid, contains_substring(change.from))?;
    let scratch = Scratch::new();
    let copy = scratch.write(file, &valid.replacen(change.from, change.to, 1));
    let output = run(&[command, &copy])?;
    expect_that!(output.status.code(), some(eq(2)), "{} for {}", change.to, change.from);
    expect_that!(text(&output.stderr), contains_substring(change.path));
    expect_that!(text(&output.stdout), eq(""));
    Ok(())
}

#[gtest]
fn the_examples_have_no_finding() -> Result<()> {
    for (command, file) in [("check-settings", SETTINGS), ("check-config", CONFIGURATION)] {
        let output = run(&[command, &program::example_path(file)])?;
        expect_that!(output.status.code(), some(eq(0)), "{command}: {}", text(&output.stderr));
        expect_that!(text(&output.stdout), contains_substring("no finding"));
        expect_that!(text(&output.stderr), eq(""));
    }
    Ok(())
}

#[gtest]
fn settings_with_findings() -> Result<()> {
    for change in [
        broken("nodeName = \"edge-west-2\"", "", "nodeName"),
        broken("zone = \"west\"", "zone = 7", "zone"),
        broken("ip = \"10.20.0.12\"", "ip = \"10.20.0\"", "ip"),
        broken("internalPorts = [7700, 7715]", "internalPorts = [7715, 7700]", "internalPorts"),
        broken("front = \"10.20.0.12:9000\"", "front = \"10.20.0.12\"", "listenOn.front"),
        broken("drainMs = 2200", "drainMs = \"soon\"", "timeBounds.drainMs"),
        broken("nodeName", "nodeName =", "whole text"),
    ] {
        check_reports("check-settings", SETTINGS, &change)?;
    }
    Ok(())
}

#[gtest]
fn configurations_with_findings() -> Result<()> {
    for change in [
        broken("\"version\": 12,", "", "version"),
        broken("\"backend\": \"advice\"", "\"backend\": \"nobody\"", "routes[2].backend"),
        broken("\"timeoutMs\": 4000", "\"timeoutMs\": 0", "routes[1].timeoutMs"),
        broken("\"pathPrefix\": \"/stock/order/\"", "\"pathPrefix\": \"/stock/\"", "routes[1]"),
        broken("\"example-key-3\"", "\"example-key-1\"", "customers[1]"),
        broken("{", "{{", "whole text"),
    ] {
        check_reports("check-config", CONFIGURATION, &change)?;
    }
    Ok(())
}

#[gtest]
fn every_finding_is_reported() -> Result<()> {
    let scratch = Scratch::new();
    let twice = example(CONFIGURATION).replacen("\"timeoutMs\": 4000", "\"timeoutMs\": 0", 1).replacen(
        "\"timeoutMs\": 30000",
        "\"timeoutMs\": 0",
        1,
    );
    let output = run(&["check-config", &scratch.write(CONFIGURATION, &twice)])?;
    expect_that!(output.status.code(), some(eq(2)));
    expect_that!(
        text(&output.stderr),
        all![contains_substring("routes[1].timeoutMs"), contains_substring("routes[2].timeoutMs")]
    );
    Ok(())
}

#[gtest]
fn a_key_that_two_tenants_share_is_not_shown() -> Result<()> {
    let scratch = Scratch::new();
    let shared = example(CONFIGURATION).replacen("example-key-3", "example-key-1", 1);
    let output = run(&["check-config", &scratch.write(CONFIGURATION, &shared)])?;
    expect_that!(output.status.code(), some(eq(2)));
    expect_that!(text(&output.stderr), not(contains_substring("example-key-1")));
    Ok(())
}

#[gtest]
fn a_configuration_has_to_follow_the_one_in_place() -> Result<()> {
    let file = program::example_path(CONFIGURATION);
    for (current, code) in [("0", 0), ("11", 0), ("12", 2), ("13", 2)] {
        let output = run(&["check-config", "--current", current, &file])?;
        expect_that!(output.status.code(), some(eq(code)), "after version {current}");
        let stderr = text(&output.stderr);
        expect_that!(stderr.contains("version"), eq(code == 2), "after version {current}: {stderr}");
    }
    Ok(())
}

#[gtest]
fn missing_files_are_reported() -> Result<()> {
    let nowhere = Scratch::new().path("nowhere");
    for arguments in
        [&["check-settings", &*nowhere][..], &["check-config", &nowhere], &["diff", &nowhere, &nowhere]]
    {
        let output = run(arguments)?;
        expect_that!(output.status.success(), eq(false), "{arguments:?}");
        expect_that!(text(&output.stderr), contains_substring("nowhere"));
    }
    Ok(())
}

#[gtest]
fn differences() -> Result<()> {
    let scratch = Scratch::new();
    let old = program::example_path(CONFIGURATION);
    let changed = example(CONFIGURATION)
        .replacen("\"version\": 12", "\"version\": 13", 1)
        .replacen("\"timeoutMs\": 4000", "\"timeoutMs\": 5000", 1)
        .replacen("\"backend\": \"stock-old\"\n", "\"backend\": \"stock-new\"\n", 1);
    let new = scratch.write(CONFIGURATION, &changed);
    let output = run(&["diff", &old, &new])?;
    expect_that!(output.status.code(), some(eq(0)));
    expect_that!(text(&output.stdout), contains_substring("order"));
    expect_that!(text(&output.stdout), contains_substring("5s"));
    let output = run(&["diff", &old, &old])?;
    expect_that!(text(&output.stdout), contains_substring("nothing changes"));
    Ok(())
}

#[gtest]
fn help_and_wrong_arguments() -> Result<()> {
    let output = run(&["--help"])?;
    expect_that!(output.status.code(), some(eq(0)));
    for command in ["run", "check-settings", "check-config", "diff", "status"] {
        expect_that!(text(&output.stdout), contains_substring(command));
    }
    for arguments in [&[][..], &["nothing"], &["check-config"], &["diff", "one"], &["status", "here"]] {
        let output = run(arguments)?;
        expect_that!(output.status.code(), some(eq(1)), "{arguments:?}");
        expect_that!(text(&output.stderr), not(eq("")), "{arguments:?}");
    }
    Ok(())
}

#[gtest]
fn a_node_needs_settings_that_make_sense() -> Result<()> {
    let output = run(&["run"])?;
    expect_that!(output.status.code(), some(eq(1)));
    expect_that!(text(&output.stderr), contains_substring("GRADEPADDLE_BOOT"));
    let scratch = Scratch::new();
    let settings = scratch.write(SETTINGS, "nodeName = \"x\"");
    let output = program::run_with(&["run"], &settings)?;
    expect_that!(output.status.code(), some(eq(2)));
    expect_that!(text(&output.stderr), contains_substring("zone"));
    Ok(())
}

#[gtest]
fn status_of_an_address_without_a_node() -> Result<()> {
    let address = fleet::free_address()?;
    let output = run(&["status", &address.to_string()])?;
    expect_that!(output.status.code(), some(eq(1)));
    expect_that!(text(&output.stderr), contains_substring(address.to_string()));
    Ok(())
}

/// A configuration that is acknowledged by one node is read back through the others, also after the primary was killed.
#[gtest]
fn three_processes_keep_a_configuration() -> Result<()> {
    let timeout = Duration::from_secs(20);
    let mut fleet = Fleet::start(3)?;
    fleet.wait(timeout, "all are members and there is a primary", |fleet| {
        (0..3).all(|node| fleet.members(node) == 3 && fleet.primary(node).is_some())
    })?;
    let first = example(CONFIGURATION);
    verify_that!(fleet.put(0, 0, &first), eq(Some(200)))?;
    fleet.wait(timeout, "all are ready and have it", |fleet| {
        (0..3).all(|node| fleet.ready(node) && fleet.read(node).as_ref() == Some(&first))
    })?;
    expect_that!(fleet.put(1, 12, &first), eq(Some(200)), "the same again");
    let other = first.replacen("\"timeoutMs\": 4000", "\"timeoutMs\": 5000", 1);
    expect_that!(fleet.put(2, 0, &other), eq(Some(412)), "another on a version that is not the current one");
    expect_that!(fleet.put(2, 12, &other), eq(Some(400)), "another of the same version");

    let primary = fleet.primary(0).or_fail()?;
    fleet.kill(primary);
    let left: Vec<usize> = (0..3).filter(|node| *node != primary).collect();
    fleet.wait(timeout, "the others have a primary and return it", |fleet| {
        left.iter().all(|node| fleet.read(*node).as_ref() == Some(&first))
    })?;
    let second = other.replacen("\"version\": 12", "\"version\": 14", 1);
    fleet.wait(timeout, "the next one is accepted", |fleet| fleet.put(left[0], 12, &second) == Some(200))?;
    fleet.wait(timeout, "the killed one is no member", |fleet| {
        left.iter().all(|node| fleet.members(*node) == 2)
    })?;

    fleet.restart(primary)?;
    fleet.wait(timeout, "it is back with the newest", |fleet| {
        fleet.members(primary) == 3 && fleet.read(primary).as_ref() == Some(&second)
    })?;
    let output = run(&["status", &fleet.control_address(primary).to_string()])?;
    expect_that!(output.status.code(), some(eq(0)));
    expect_that!(text(&output.stdout), contains_substring("\"configurationVersion\":14"));
    Ok(())
}

//! `recover-state` with real processes and disks: a node continues alone after a majority was lost permanently.

#[path = "command_line/fleet.rs"]
#[allow(dead_code, reason = "this file uses a part of it")]
mod fleet;
#[path = "command_line/program.rs"]
#[allow(dead_code, reason = "this file uses a part of it")]
mod program;

use std::time::Duration;

use fleet::Fleet;
use googletest::prelude::*;
use program::{Scratch, example, run, text};

const TIMEOUT: Duration = Duration::from_secs(20);

#[gtest]
fn a_node_goes_on_alone_with_what_its_disk_holds() -> Result<()> {
    let mut fleet = Fleet::start(3)?;
    fleet.wait(TIMEOUT, "all are members and there is a primary", |fleet| {
        (0..3).all(|node| fleet.members(node) == 3 && fleet.primary(node).is_some())
    })?;
    let first = example("configuration.json");
    verify_that!(fleet.put(0, 0, &first), eq(Some(200)))?;
    let survivor = fleet.primary(0).or_fail()?;
    let lost: Vec<usize> = (0..3).filter(|node| *node != survivor).collect();
    (0..3).for_each(|node| fleet.kill(node));
    for node in &lost {
        fleet.wipe(*node)?;
    }

    let settings = fleet.settings_file(survivor);
    let plan = run(&["recover-state", &settings])?;
    expect_that!(plan.status.code(), some(eq(0)));
    expect_that!(text(&plan.stdout), contains_substring("kept: configuration 12"));
    expect_that!(text(&plan.stdout), contains_substring("nothing was written"));
    let emptied = run(&["recover-state", "--from-nothing", "--accept-loss", &settings])?;
    expect_that!(emptied.status.code(), some(eq(1)));
    expect_that!(text(&emptied.stderr), contains_substring("this replica holds a state"));
    let done = run(&["recover-state", "--accept-loss", &settings])?;
    expect_that!(done.status.code(), some(eq(0)));

    fleet.restart(survivor)?;
    fleet.wait(TIMEOUT, "it is the only primary and has the configuration", |fleet| {
        fleet.read(survivor).as_ref() == Some(&first)
    })?;
    let second = first.replacen("\"version\": 12", "\"version\": 14", 1);
    fleet.wait(TIMEOUT, "it accepts changes", |fleet| fleet.put(survivor, 12, &second) == Some(200))?;
    for node in lost {
        fleet.restart(node)?;
    }
    fleet.wait(TIMEOUT, "the others join with empty disks", |fleet| {
        (0..3).all(|node| fleet.members(node) == 3 && fleet.read(node).as_ref() == Some(&second))
    })
}

#[gtest]
fn a_node_without_a_disk_has_nothing_to_recover() -> Result<()> {
    let scratch = Scratch::new();
    let file = scratch.write("node.toml", "nodeName = \"n\"\nip = \"10.0.0.1\"\nzone = \"west\"\n");
    let output = run(&["recover-state", "--accept-loss", &file])?;
    expect_that!(output.status.code(), some(eq(1)));
    expect_that!(text(&output.stderr), contains_substring("name no disk"));
    Ok(())
}

//! Parsing of the settings file.

use googletest::prelude::*;
use gradepaddle_config::{
    FaultTolerance, Finding, Findings, Listen, MachineLimits, Problem, Settings, TimeBounds, WHOLE_DOCUMENT,
};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

const EXAMPLE: &str = include_str!("../../examples/system/node.toml");
const MINIMAL: &str = "nodeName = 'n'\nip = '10.0.0.1'\nzone = 'z'\n";

fn address(last: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 20, 0, last), port)
}

#[track_caller]
fn read(text: &str) -> Settings {
    Settings::parse(text).unwrap_or_else(|findings| panic!("{findings}"))
}

/// The findings as (path, whether the value there is unreadable).
fn paths(findings: &Findings) -> Vec<(&str, bool)> {
    let findings = findings.as_slice().iter();
    findings.map(|found| (found.path.as_str(), matches!(found.problem, Problem::Unreadable { .. }))).collect()
}

#[gtest]
fn each_field_of_the_example_is_read() {
    let zones = [("west", "coast"), ("middle", "coast"), ("east", "plain")];
    let zones: BTreeMap<_, _> = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned())).into();
    let seeds = ["10.20.0.11:9100", "10.21.0.11:9100", "10.22.0.11:9100"];
    let guarantees = ["base", "drain", "config", "retry", "stream", "engine", "tenants"];
    let expected = Settings {
        node_name: "edge-west-2".to_owned(),
        role: "node".to_owned(),
        machine_class: "edge".to_owned(),
        serves: vec!["edge".to_owned(), "control".to_owned()],
        ip: Ipv4Addr::new(10, 20, 0, 12),
        zone: "west".to_owned(),
        region: "coast".to_owned(),
        internal_ports: (7700, 7715),
        seed_nodes: seeds.map(|seed| seed.parse().expect("an address")).into(),
        first_boot: false,
        loss_counts: true,
        data_path: Some(PathBuf::from("/data/node")),
        heartbeat_interval: Duration::from_millis(1500),
        guarantees: guarantees.map(str::to_owned).into(),
        zones,
        listen: Listen {
            front: Some(address(12, 9000)),
            readiness: Some(address(12, 9001)),
            control: Some(address(12, 9100)),
        },
        limits: MachineLimits {
            cpu_share: 0.25,
            cpu_cores: 2.0,
            memory_mb: 192,
            open_files: 2048,
            link_mbps: 250.0,
            disk_mb: Some(32),
        },
        fault_tolerance: FaultTolerance { machine_losses: 2, zones: 1, region_losses: 0 },
        bounds: TimeBounds {
            seed_lag: Duration::from_secs(4),
            reuse_after: Duration::from_millis(1500),
            undisturbed_for: Duration::from_millis(3500),
            acknowledgment_limit: Duration::from_millis(4500),
            catch_up: Duration::from_secs(5),
            drain: Duration::from_millis(2200),
            grace: Duration::from_secs(9),
            loss_slack: Duration::from_millis(150),
            config_apply: Duration::from_millis(2400),
            rollback_slack: Duration::from_millis(300),
            max_stretch: Duration::from_millis(5500),
            revoke_everywhere: true,
            revoke: Duration::from_millis(4800),
            retry_ratio: 0.15,
            retry_window: Duration::from_secs(12),
            retry_slack: 40.0,
            recover: Duration::from_secs(14),
            transit: Duration::from_millis(180),
            checks_fencing_token: false,
            lease: Duration::from_millis(2800),
            thaw: Duration::from_millis(350),
            version: Duration::from_secs(9),
            version_all: Duration::from_secs(20),
        },
    };
    let settings = read(EXAMPLE);
    expect_that!(settings, eq(&expected));
    expect_that!(settings.has_guarantee("stream"), eq(true));
    expect_that!(settings.has_guarantee("cost"), eq(false));
}

#[gtest]
fn absent_fields_have_defaults() {
    let settings = read(MINIMAL);
    expect_that!(settings.data_path, none());
    expect_that!(settings.limits.disk_mb, none());
    expect_that!(settings.listen, eq(Listen::default()));
    expect_that!(settings.fault_tolerance, eq(FaultTolerance::default()));
    expect_that!(settings.bounds, eq(TimeBounds::default()));
    expect_that!(settings.seed_nodes, is_empty());
    expect_that!(settings.first_boot, eq(false));
    expect_that!(settings.loss_counts, eq(false));
    expect_that!(settings.heartbeat_interval, gt(Duration::ZERO));
}

#[gtest]
fn empty_strings_count_as_absent() {
    let settings =
        read(&format!("{MINIMAL}dataPath = ''\n[listenOn]\nfront = ''\ncontrolPlane = '10.20.0.1:7'\n"));
    expect_that!(settings.data_path, none());
    let expected = Listen { front: None, readiness: None, control: Some(address(1, 7)) };
    expect_that!(settings.listen, eq(expected));
}

#[gtest]
fn unknown_fields_and_tables_are_ignored() {
    let more = "[listenOn]\nside = 5\n[timeBounds]\nwonder = 'x'\n[other.deeper]\nlist = [1, 'two']\n";
    let settings = read(&format!("shade = 'grey'\n{MINIMAL}{more}"));
    expect_that!(settings, eq(&read(MINIMAL)));
}

#[gtest]
fn numbers_may_be_integers_or_floats() {
    let more = "[limits]\ncpuShare = 1\nlinkMbps = 10\nmemoryMb = 64.0\n[timeBounds]\ngraceS = 2.5\ntransitMs = 0.5\n";
    let settings = read(&format!("{MINIMAL}{more}"));
    expect_that!(settings.limits.cpu_share, eq(1.0));
    expect_that!(settings.limits.link_mbps, eq(10.0));
    expect_that!(settings.limits.memory_mb, eq(64));
    expect_that!(settings.bounds.grace, eq(Duration::from_millis(2500)));
    expect_that!(settings.bounds.transit, eq(Duration::from_micros(500)));
}

#[gtest]
fn name_address_and_zone_are_required() {
    let expected = ["nodeName", "ip", "zone"].map(|path| Finding::new(path, Problem::Missing));
    let findings = Settings::parse("role = 'node'").expect_err("values are missing");
    expect_that!(findings.as_slice(), eq(&expected));
}

#[gtest]
fn all_findings_come_together() {
    let text = "nodeName = 5\nip = '10.0.0'\ninternalPorts = [9, 8]\nseedNodes = ['nowhere']\nbeatEveryMs = -1\n\
        firstBoot = 'yes'\n[listenOn]\nfront = '10.0.0.1'\n[limits]\nopenFiles = 1.5\n[timeBounds]\ngraceS = nan\n";
    let findings = Settings::parse(text).expect_err("most values are invalid");
    expect_that!(
        paths(&findings),
        eq(&[
            ("nodeName", true),
            ("ip", true),
            ("zone", false),
            ("seedNodes", true),
            ("firstBoot", true),
            ("beatEveryMs", true),
            ("listenOn.front", true),
            ("limits.openFiles", true),
            ("timeBounds.graceS", true),
            ("internalPorts", false),
        ][..])
    );
    expect_that!(findings.to_string().lines().count(), eq(findings.as_slice().len()));
}

#[gtest]
fn invalid_toml_is_one_finding() {
    for text in ["nodeName", "nodeName = 'n", "ip = 1\nip = 2", "[a\n"] {
        let findings = Settings::parse(text).expect_err("it isn't TOML");
        expect_that!(paths(&findings), eq(&[(WHOLE_DOCUMENT, true)]), "{text}");
    }
}

#[gtest]
fn a_file_that_cant_be_loaded_is_reported_with_its_path() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/system/node.toml");
    expect_that!(Settings::load(example), ok(eq(&read(EXAMPLE))));
    let findings = Settings::load("/nowhere/node.toml").expect_err("there is no such file");
    expect_that!(paths(&findings), eq(&[(WHOLE_DOCUMENT, true)]));
    expect_that!(findings.to_string(), contains_substring("/nowhere/node.toml"));
}

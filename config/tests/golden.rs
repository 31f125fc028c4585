//! Pins the operators' interface: the text of each finding, the names of settings and of the configuration's fields,
//! fingerprints, and the text of changes. A changed expectation is a change of this interface.
//!
//! The files `golden/*_findings.txt` contain cases of an input and its expected findings.

mod common;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::time::Duration;

use common::{edited, parsed, push, remove, route, valid_body};
use googletest::prelude::*;
use gradepaddle_config::{
    Configuration, Engine, Findings, Limits, Patch, Route, RouteKind, Service, ServiceKind, Settings, Target,
    Tenant, diff, fingerprint,
};
use serde_json::{Value, json};

/// An input with its expected findings.
#[derive(Default)]
struct Case {
    name: String,
    /// The body that a patch is applied to; empty if the case isn't a patch.
    base: String,
    input: String,
    findings: String,
}

/// Parses the cases of a file, whose lines begin with `case`, `base`, `input` or `finding`.
fn cases(file: &str) -> Vec<Case> {
    let mut cases: Vec<Case> = Vec::new();
    for line in file.lines() {
        let (keyword, rest) = line.split_once(' ').expect("a keyword and what follows it");
        if keyword == "case" {
            cases.push(Case { name: rest.to_owned(), ..Case::default() });
            continue;
        }
        let case = cases.last_mut().expect("a case begins with its name");
        let part = match keyword {
            "base" => &mut case.base,
            "input" => &mut case.input,
            "finding" => &mut case.findings,
            _ => panic!("unknown keyword {keyword}"),
        };
        if !part.is_empty() {
            part.push('\n');
        }
        part.push_str(rest);
    }
    cases
}

fn check_findings(file: &str, read: impl Fn(&Case) -> std::result::Result<(), Findings>) {
    for case in cases(file) {
        let findings = read(&case).expect_err(&case.name).to_string();
        expect_that!(findings, eq(&case.findings), "{}", case.name);
    }
}

#[gtest]
fn findings_of_a_configuration_keep_their_text() {
    check_findings(include_str!("golden/configuration_findings.txt"), |case| {
        Configuration::parse(case.input.as_bytes()).map(drop)
    });
}

#[gtest]
fn findings_of_a_patch_keep_their_text() {
    check_findings(include_str!("golden/patch_findings.txt"), |case| {
        let patch = Patch::parse(case.input.as_bytes())?;
        patch.apply(case.base.as_bytes()).map(drop)
    });
}

#[gtest]
fn findings_of_settings_keep_their_text() {
    check_findings(include_str!("golden/settings_findings.txt"), |case| {
        Settings::parse(&case.input).map(drop)
    });
}

#[gtest]
fn findings_of_versions_and_files_keep_their_text() {
    let finding = parsed(&valid_body()).check_successor(5).expect_err("it isn't above");
    expect_that!(finding.to_string(), eq("version: is 5, which is not above the current 5"));
    let findings = Settings::load("/nowhere/node.toml").expect_err("there is no such file").to_string();
    let expected = "whole text: can't be read: /nowhere/node.toml: No such file or directory (os error 2)";
    expect_that!(findings, eq(expected));
}

#[gtest]
fn each_field_of_a_configuration_is_read() {
    let body = include_bytes!("golden/configuration.json");
    let configuration = Configuration::parse(body).expect("it is valid");
    expect_that!(configuration.version, eq(7));
    let all = Route {
        name: "r-all".into(),
        host: "one.example".into(),
        path_prefix: "/pufi791/".into(),
        kind: RouteKind::Streaming,
        timeout: Duration::from_secs(20),
        latency_target: Duration::from_millis(410),
        priority: 2,
        split: vec![
            Target { service: "alpha".into(), weight: 90.0 },
            Target { service: "beta".into(), weight: 10.5 },
        ],
        max_attempts: 3,
        public: true,
        sticky: true,
        resumable: true,
        event_gap_target: Some(Duration::from_millis(420)),
    };
    let few = Route {
        name: "r-few".into(),
        host: "one.example".into(),
        path_prefix: "/lohu930/".into(),
        kind: RouteKind::Unsafe,
        timeout: Duration::from_secs(6),
        latency_target: Duration::from_secs(6),
        priority: 5,
        split: vec![Target { service: "beta".into(), weight: 1.0 }],
        max_attempts: 1,
        public: false,
        sticky: false,
        resumable: false,
        event_gap_target: None,
    };
    expect_that!(configuration.routes, eq(&[all, few]));
    let alpha = ServiceKind::Servers {
        health_path: "/alive".into(),
        max_connections: Some(380),
        tls: true,
        protocol: "h2".into(),
        engine: Some(Engine {
            slots: 64,
            cache_tokens: 109_184,
            token_bytes: 327_680,
            link_mbps: 1_100_000.5,
            stride: 4,
            max_in_flight: 12,
            models: vec!["model-a".into(), "model-b".into()],
        }),
    };
    let beta = ServiceKind::Servers {
        health_path: "/health".into(),
        max_connections: None,
        tls: false,
        protocol: "h1".into(),
        engine: None,
    };
    let depot = ServiceKind::Store {
        address: "172.20.0.2:8165".parse().expect("an address"),
        zone: "east".into(),
        cache_tokens: 778_014,
        link_mbps: 270_000.5,
        max_in_flight: 13,
    };
    let services = [("alpha", alpha), ("beta", beta), ("depot", depot)];
    expect_that!(
        configuration.services,
        eq(&services.map(|(name, kind)| Service { name: name.into(), kind }))
    );
    let limits = Limits {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    expect_that!(configuration.limits, eq(limits));
    let red = Tenant {
        name: "red".into(),
        api_keys: vec!["key-1".into(), "key-2".into()],
        priority: Some(1),
        isolated: true,
    };
    let blue = Tenant { name: "blue".into(), ..Tenant::default() };
    expect_that!(configuration.tenants, eq(&[red, blue]));
}

/// A setting as its table and its line in the file, and the change of the default settings that it makes.
type Setting = (&'static str, &'static str, fn(&mut Settings));

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const MINIMAL: &str = "nodeName = 'n'\nip = '10.0.0.1'\nzone = 'z'\n";

/// Parses each setting together with the three required ones, and checks that it changes only its own field.
fn check_settings(settings: &[Setting]) {
    for (table, line, set) in settings {
        let table = if table.is_empty() { String::new() } else { format!("[{table}]\n") };
        let read = Settings::parse(&format!("{MINIMAL}{table}{line}\n")).expect(line);
        let default = Settings::parse(MINIMAL).expect("the minimal settings");
        let mut expected = default.clone();
        set(&mut expected);
        expect_that!(read, eq(&expected), "{line}");
        expect_that!(read, not(eq(&default)), "{line}");
    }
}

#[gtest]
fn each_setting_of_the_process_is_read_by_its_name() {
    let minimal =
        Settings::parse("nodeName = 'n'\nip = '10.0.0.1'\nzone = 'z'\n").expect("they are complete");
    expect_that!(
        (minimal.node_name.as_str(), minimal.ip, minimal.zone.as_str()),
        eq(("n", Ipv4Addr::new(10, 0, 0, 1), "z"))
    );
    check_settings(&[
        ("", "role = 'my-edge'", |all| all.role = "my-edge".into()),
        ("", "machineClass = 'edge'", |all| all.machine_class = "edge".into()),
        ("", "serves = ['edge', 'control']", |all| all.serves = vec!["edge".into(), "control".into()]),
        ("", "region = 'coast'", |all| all.region = "coast".into()),
        ("", "internalPorts = [7700, 7715]", |all| all.internal_ports = (7700, 7715)),
        ("", "seedNodes = ['10.1.0.23:8169']", |all| {
            all.seed_nodes = vec!["10.1.0.23:8169".parse().expect("an address")];
        }),
        ("", "firstBoot = true", |all| all.first_boot = true),
        ("", "lossCounts = true", |all| all.loss_counts = true),
        ("", "dataPath = '/data/my-edge'", |all| all.data_path = Some(PathBuf::from("/data/my-edge"))),
        ("", "beatEveryMs = 1200", |all| all.heartbeat_interval = millis(1200)),
        ("", "guarantees = ['base', 'drain']", |all| all.guarantees = vec!["base".into(), "drain".into()]),
        ("zones", "hal-a = 'midden'", |all| all.zones = BTreeMap::from([("hal-a".into(), "midden".into())])),
        ("listenOn", "front = '10.1.0.23:8167'", |all| {
            all.listen.front = Some("10.1.0.23:8167".parse().expect("an address"));
        }),
        ("listenOn", "readiness = '10.1.0.23:8162'", |all| {
            all.listen.readiness = Some("10.1.0.23:8162".parse().expect("an address"));
        }),
        ("listenOn", "controlPlane = '10.1.0.23:8169'", |all| {
            all.listen.control = Some("10.1.0.23:8169".parse().expect("an address"));
        }),
        ("limits", "cpuShare = 0.45", |all| all.limits.cpu_share = 0.45),
        ("limits", "cpuCores = 2", |all| all.limits.cpu_cores = 2.0),
        ("limits", "memoryMb = 260", |all| all.limits.memory_mb = 260),
        ("limits", "openFiles = 4100", |all| all.limits.open_files = 4100),
        ("limits", "linkMbps = 1000.5", |all| all.limits.link_mbps = 1000.5),
        ("limits", "diskMb = 64", |all| all.limits.disk_mb = Some(64)),
    ]);
}

#[gtest]
fn each_bound_of_the_rules_is_read_by_its_name() {
    check_settings(&[
        ("survive", "machineLosses = 3", |all| all.fault_tolerance.machine_losses = 3),
        ("survive", "zones = 2", |all| all.fault_tolerance.zones = 2),
        ("survive", "regionLosses = 1", |all| all.fault_tolerance.region_losses = 1),
        ("timeBounds", "seedLagS = 5", |all| all.bounds.seed_lag = millis(5000)),
        ("timeBounds", "reuseAfterS = 6", |all| all.bounds.reuse_after = millis(6000)),
        ("timeBounds", "inTouchMs = 3100", |all| all.bounds.undisturbed_for = millis(3100)),
        ("timeBounds", "ackWithinMs = 4200", |all| all.bounds.acknowledgment_limit = millis(4200)),
        ("timeBounds", "catchUpS = 7", |all| all.bounds.catch_up = millis(7000)),
        ("timeBounds", "drainMs = 2100", |all| all.bounds.drain = millis(2100)),
        ("timeBounds", "graceS = 9", |all| all.bounds.grace = millis(9000)),
        ("timeBounds", "lossSlackMs = 210", |all| all.bounds.loss_slack = millis(210)),
        ("timeBounds", "configApplyMs = 2300", |all| all.bounds.config_apply = millis(2300)),
        ("timeBounds", "rollbackSlackMs = 260", |all| all.bounds.rollback_slack = millis(260)),
        ("timeBounds", "maxStretchMs = 5100", |all| all.bounds.max_stretch = millis(5100)),
        ("timeBounds", "revokeEverywhere = true", |all| all.bounds.revoke_everywhere = true),
        ("timeBounds", "revokeMs = 5200", |all| all.bounds.revoke = millis(5200)),
        ("timeBounds", "retryRatio = 0.3", |all| all.bounds.retry_ratio = 0.3),
        ("timeBounds", "retryWindowS = 11", |all| all.bounds.retry_window = millis(11_000)),
        ("timeBounds", "retrySlack = 59", |all| all.bounds.retry_slack = 59.0),
        ("timeBounds", "recoverS = 13", |all| all.bounds.recover = millis(13_000)),
        ("timeBounds", "transitMs = 130", |all| all.bounds.transit = millis(130)),
        ("timeBounds", "checksFence = false", |all| all.bounds.checks_fencing_token = false),
        ("timeBounds", "leaseMs = 3200", |all| all.bounds.lease = millis(3200)),
        ("timeBounds", "thawMs = 310", |all| all.bounds.thaw = millis(310)),
        ("timeBounds", "versionMs = 8100", |all| all.bounds.version = millis(8100)),
        ("timeBounds", "versionAllMs = 100", |all| all.bounds.version_all = millis(100)),
    ]);
}

#[gtest]
fn fingerprints_keep_their_bytes() {
    let hex = |body: &[u8]| fingerprint(body).iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    expect_that!(hex(b""), eq("af1349b9f5f9a1a6a0404dea36dcc949"));
    expect_that!(hex(b"{\"version\":7}"), eq("9a1639ed4f69b22bcd560776c7872128"));
    expect_that!(hex(include_bytes!("golden/configuration.json")), eq("fe8831df39b4f3bdd8fa7183f5c1a663"));
}

#[gtest]
fn changes_keep_their_text() {
    let body = edited(|body| {
        push(&mut body["routes"], route("fourth", "three.example", "/"));
        body["routes"].as_array_mut().expect("a list").remove(1);
        let first = &mut body["routes"][0];
        first["backend"] = json!("beta");
        first["kind"] = json!("unsafe");
        first["timeoutMs"] = json!(2500.5);
        first["targetMs"] = json!(100);
        first["priority"] = json!(0);
        first["tries"] = json!(4);
        first["public"] = json!(true);
        first["sticky"] = json!(true);
        first["resumable"] = json!(true);
        first["gap_aim_ms"] = json!(10);
        body["routes"][1]["trafficSplit"][0]["weight"] = json!(1);
        body["backends"][1]["maxConns"] = json!(1);
        body["backends"][2]["name"] = json!("depot-2");
        body["limits"]["maxBodyBytes"] = json!(1);
        body["customers"][0]["apiKeys"] = json!(["key-2", "key-9"]);
        remove(&mut body["customers"][0], "isolated");
        body["customers"][1]["isolated"] = json!(true);
        body["customers"][0]["priority"] = Value::Null;
    });
    let texts: Vec<String> =
        diff(&parsed(&valid_body()), &parsed(&body)).iter().map(ToString::to_string).collect();
    let golden: Vec<&str> = include_str!("golden/changes.txt").lines().collect();
    expect_that!(texts, eq(&golden));
}

//! The settings of two different operators in one program: behavior depends on the settings alone, not on names.

mod common;

use common::*;
use gradepaddle::settings::Config;
use gradepaddle::*;

/// An order service: no probes, no load reports, no work hints, no keyed class.
const ORDERS: &str = r#"{"categories":[
    {"name":"voorraad","aimMs":1200,"deadlineMs":5000,"effect":"safe","points":1},
    {"name":"afrekening","aimMs":2000,"deadlineMs":6000,"effect":"unsafe","points":5}],
    "realms":[{"name":"utrecht","quotaPerS":27}],"discovery":"on_request","failureDomains":["n","m","z"],"myZone":"m",
    "extra":{"warmKeys":true},"kinds":["std-1c"],"fees":{"crossZone":0.021,"waste":0.02},"valueBy":"request",
    "limits":{"cancel":true,"probes":false,"secondCopies":true,"connIdleMs":5000,"dialTimeoutMs":250,"tryLimit":6},
    "rules":{"fallMultiple":3,"tipAfterMs":2000,"coldFrom":0.36,"warmWithinMs":7700,"drainGraceMs":1000},
    "report":{"names":[],"via":"off"},"peersTotal":3,"me":0,"overShareWorth":0.05}"#;

/// A lift monitoring service: probes, queue reports, work hints, and a class keyed within its zone.
const LIFTS: &str = r#"{"categories":[
    {"name":"status","aimMs":600,"deadlineMs":2500,"effect":"safe","points":1},
    {"name":"fault-report","aimMs":600,"deadlineMs":3000,"effect":"keyed","group":"zone","windowMs":6000,"points":3},
    {"name":"crew-dispatch","aimMs":600,"deadlineMs":1500,"effect":"unsafe","points":5}],
    "realms":[{"name":"tenjin","quotaPerS":40}],"discovery":"on_request","failureDomains":["f","k","g"],"myZone":"k",
    "extra":{"warmKeys":true},"kinds":["new","mid","old"],"fees":{"crossZone":0.023,"probe":0.01},"valueBy":"work",
    "limits":{"cancel":true,"probes":true,"secondCopies":true,"connIdleMs":15000,"dialTimeoutMs":120,"tryLimit":6},
    "rules":{"fallMultiple":4,"tipAfterMs":1000,"coldFrom":0.31,"warmWithinMs":8800,"drainGraceMs":2000},
    "report":{"names":["depth"],"via":"on_probe"},"peersTotal":3,"me":0,"overShareWorth":0.05}"#;

fn deployment(text: &str) -> settings::Deployment {
    let config: Config = serde_json::from_str(text).expect("the settings");
    config.deployment().expect("the settings make sense")
}

/// Guards against a deployment that gets the rules of another: new servers are probed only where that is allowed, a keyed
/// request is retried only within its own zone and window, and times are those of the deployment.
#[test]
fn each_deployment_gets_what_its_settings_say() {
    let (orders, lifts) = (deployment(ORDERS), deployment(LIFTS));
    assert_eq!((orders.drain_grace, lifts.drain_grace), (1_000_000, 2_000_000));
    assert_eq!((orders.connection_idle_timeout, lifts.connection_idle_timeout), (5_000_000, 15_000_000));
    assert_eq!((orders.connect_timeout, lifts.connect_timeout), (250_000, 120_000));
    assert_eq!((orders.reports, lifts.reports), (false, true));
    for (deployment, probes) in [(&orders, 0), (&lifts, 3)] {
        let mut bench = Bench::with_servers(deployment.settings.clone(), 6);
        let now = bench.settle(0, 60);
        let new = |i: u8| Server { id: format!("new{i}").into(), ..server("new", u32::from(i)) };
        bench.list(now, ListKind::Delta, (0..3).map(new).collect());
        bench.arrive(now + 100_000, "r", "k", 10_000.0);
        let asked = bench.out.iter().filter(|action| matches!(action, Action::Probe { .. })).count();
        assert_eq!(asked, probes);
        assert!(bench.sent().is_some(), "those before them serve on");
    }
}

/// Guards a keyed request whose server fails: it is retried within its zone while that remembers the request, never in
/// another zone or later. Then it fails, and the answer does not claim that it was not executed.
#[test]
fn a_keyed_request_is_repeated_in_its_zone_and_window_alone() {
    let keyed = deployment(LIFTS).settings;
    let zones = |bench: &Bench, all: &[Server]| {
        let sent = bench.sent()?;
        all.iter().find(|server| *server.id == *sent).map(|server| server.zone)
    };
    for late in [false, true] {
        let mut bench = Bench::new(keyed.clone());
        let all: Vec<_> = (0..6).map(|i| server(&name(i), u32::from(i))).collect();
        bench.list(0, ListKind::Full, all.clone());
        let arrival = Arrival {
            id: "r".into(),
            class: 1,
            tenant: None,
            ttl: 9_000_000,
            work_hint: Some(30_000.0),
            key: Some("k"),
            run_once: false,
        };
        bench.event(1_000, Event::Request(arrival));
        let first = zones(&bench, &all).expect("an idle fleet takes it");
        // Its zone has one more server, which still recognizes the request.
        let at = if late { 6_100_000 } else { 200_000 };
        bench.end(at, "r", 0, Outcome::Reset, at);
        if late {
            assert!(bench.failed() && !bench.refused() && bench.sent().is_none(), "its key is forgotten");
            continue;
        }
        assert_eq!(zones(&bench, &all), Some(first), "in its own zone");
        bench.end(at + 100_000, "r", 1, Outcome::Reset, 100_000);
        assert!(bench.sent().is_none_or(|_| zones(&bench, &all) == Some(first)), "nowhere else");
        assert!(!bench.refused(), "it may have run");
    }
}

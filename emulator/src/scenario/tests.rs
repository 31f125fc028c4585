use super::*;

/// Checks that unknown fields and invalid values are rejected with their line, so that a scenario can't
/// silently mean something else.
#[test]
fn a_bad_scenario_is_named_by_line_and_field() {
    let cases = [
        ("[fleet]\nservers = 5\nspeeed = 1.0\n", "line 3"),
        ("[fleet]\nservers = 0\n", "line 2: fleet.servers: 0 is not from 1"),
        ("[fleet]\nservers = \"many\"\n", "line 2"),
        (
            "[[trouble]]\nkind = \"hang\"\nat_s = 1\n[[trouble]]\nkind = \"zone_cut\"\nat_s = 2\nzone = 9\n",
            "line 7: trouble[1].zone",
        ),
        ("[[trouble]]\nkind = \"flood\"\nat_s = 1\n", "flood"),
        (
            "[[class]]\nname = \"x\"\nshare = 1\nwork_ms = 5\naim_ms = 10\ndeadline_ms = 5\nworth = 1\neffect = \"safe\"\n",
            "line 6: class[0].deadline_ms",
        ),
        ("[load]\nhint_cv = -1\n", "line 2: load.hint_cv"),
        (
            "[[class]]\nname = \"x\"\nshare = 1\nwork_ms = 5\naim_ms = 10\ndeadline_ms = 50\nworth = 1\neffect = \"keyed\"\n",
            "class[0].window_ms: 0 is not from 0.001",
        ),
        (
            "[[trouble]]\nkind = \"heavy_tail\"\nat_s = 1\nclass = \"x\"\nshare = 0.1\nfactor = 9\n",
            "line 4: trouble[0].class: no class is called \"x\"",
        ),
    ];
    for (text, expected) in cases {
        let fault = Scenario::parse(text).expect_err(text);
        assert!(fault.contains(expected), "{fault:?} for {text:?}");
    }
}

/// Checks the figure of the operators' brief: ten app servers can answer about 83 requests per second at full
/// load.
#[test]
fn the_usual_fleet_carries_about_what_the_brief_says() {
    let scenario = Scenario::parse("").expect("all defaults");
    assert_eq!((scenario.classes.len(), scenario.branches.len()), (4, 8));
    let rate = scenario.rate();
    assert!((35.0..60.0).contains(&rate), "{rate}");
}

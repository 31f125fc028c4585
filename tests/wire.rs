//! The simulator's adapter on short hand-written rounds.

use gradepaddle::wire::serve;

const CONFIG: &str = r#"{"categories":[{"name":"c","aimMs":300.0,"deadlineMs":1500.0,"effect":"safe"}],"limits":{"tryLimit":4},"rules":{},"peersTotal":1,"me":0,"unknown":true}"#;

fn run(lines: &[String]) -> (Result<(), String>, String) {
    let mut output = Vec::new();
    let result = serve(lines.join("\n").as_bytes(), &mut output).map_err(|e| e.to_string());
    (result, String::from_utf8(output).expect("UTF-8"))
}

fn start() -> Vec<String> {
    vec![
        r#"{"what":"Round","momentMs":1.5}"#.into(),
        r#"{"what":"EofBatch"}"#.into(),
        r#"{"what":"Round","momentMs":8412.25}"#.into(),
        format!(r#"{{"what":"NewInstance","gatewayId":"g","initSeed":3,"config":{CONFIG}}}"#),
        r#"{"what":"Discovery","gatewayId":"g","form":"cached","generation":1,"records":[{"host":"h","campus":"z","machine":"m","cell":0,"phase":"IN","share":1}]}"#.into(),
        r#"{"what":"EofBatch"}"#.into(),
    ]
}

fn round(line: &str) -> Vec<String> {
    let mut lines = start();
    lines.push(r#"{"what":"Round","momentMs":8413}"#.into());
    lines.push(line.into());
    lines.push(r#"{"what":"EofBatch"}"#.into());
    lines
}

const ARRIVAL: &str =
    r#"{"what":"Arrival","gatewayId":"g","handle":"5d3a","grade":"c","ttlMs":240.0,"billing":0,"extra":[1]}"#;

#[test]
fn a_request_is_placed_and_every_round_gets_one_reply() {
    let (result, output) = run(&round(ARRIVAL));
    assert_eq!(result, Ok(()));
    assert_eq!(output.matches(r#"{"what":"Done"}"#).count(), 3);
    assert!(
        output.contains(r#"{"what":"Place","gatewayId":"g","handle":"5d3a","host":"h","untilMs":8653.000}"#)
    );
}

#[test]
fn a_teardown_and_a_new_start_fit_in_one_round() {
    let mut lines = round(r#"{"what":"Teardown","gatewayId":"g"}"#);
    lines.insert(lines.len() - 1, start()[3].clone());
    lines.insert(lines.len() - 1, start()[4].clone());
    assert_eq!(run(&lines).0, Ok(()));
}

#[test]
fn faults_name_the_line_and_the_field_and_leave_no_partial_reply() {
    for (line, fault) in [
        ("{", "line 8"),
        (r#"{"what":"Arrival","gatewayId":"g","handle":"x","grade":"c"}"#, "ttlMs is missing"),
        (r#"{"what":"Arrival","gatewayId":"g","handle":"x","grade":"c","ttlMs":"soon"}"#, "ttlMs"),
        (
            r#"{"what":"Arrival","gatewayId":"g","handle":"x","grade":"q","ttlMs":1}"#,
            "grade: unknown class q",
        ),
        (r#"{"what":"Wake","gatewayId":"nobody"}"#, "unknown instance nobody"),
        (r#"{"what":"Bogus","gatewayId":"g"}"#, "unknown event Bogus"),
        (r#"{"what":"Wake"}"#, "gatewayId is missing"),
        (r#"{"what":"Answer","gatewayId":"g","handle":"x","try":0,"durationMs":1,"ending":9}"#, "ending"),
    ] {
        let mut lines = round(ARRIVAL);
        lines.insert(lines.len() - 1, line.into());
        let number = lines.len() - 1;
        let (result, output) = run(&lines);
        let error = result.expect_err(line);
        assert!(error.contains(fault) || line == "{", "{error}");
        assert!(error.starts_with(&format!("line {number}: ")), "{error}");
        assert!(!output.contains("Place"), "a partial reply");
    }
}

#[test]
fn senseless_settings_are_a_plain_error() {
    let mut lines = start();
    lines[3] = lines[3].replace(r#""me":0"#, r#""me":7"#);
    let error = run(&lines).0.expect_err("me is not below the count");
    assert!(error.contains("own number 7"), "{error}");
}

#[test]
fn placement_is_read_and_a_mistyped_one_is_a_plain_error() {
    let bound = |lines: Vec<String>, list: &str| {
        let with = format!(r#""effect":"safe","runsOn":{list}"#);
        lines.iter().map(|l| l.replace(r#""effect":"safe""#, &with)).collect::<Vec<_>>()
    };
    for (list, placed) in [(r#"["m"]"#, true), (r#"["other"]"#, false), ("[]", false), ("null", true)] {
        let (result, output) = run(&bound(round(ARRIVAL), list));
        assert_eq!(result, Ok(()), "{list}");
        assert_eq!(output.contains("Place"), placed, "{list}");
        assert_eq!(output.contains("Reject"), !placed, "{list}");
    }
    let error = run(&bound(round(ARRIVAL), r#""m""#)).0.expect_err("a list is wanted");
    assert!(error.starts_with("line 4: field config.categories[0].runsOn"), "{error}");
}

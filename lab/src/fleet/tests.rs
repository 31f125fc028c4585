use super::*;

fn second(served: u64) -> Second {
    Second { asked: 100, served, ..Second::default() }
}

/// Checks the recovery time: it ends at the first of five consecutive seconds of full service, not at a good
/// second between bad ones.
#[test]
fn full_service_counts_from_the_first_of_five_good_seconds() {
    let fault = Fault { at_s: 3.0, for_s: 1.0, kind: FaultKind::DiscoveryDown {} };
    let run: Vec<Second> = [99, 99, 99, 10, 50, 99, 90, 98, 98, 99, 98, 98].map(second).to_vec();
    assert_eq!(recovery_time(&run, std::slice::from_ref(&fault)), Some(3.0));
    assert_eq!(recovery_time(&run[..11], std::slice::from_ref(&fault)), None, "four are not enough");
    assert_eq!(recovery_time(&run, &[]), None);
}

/// Checks that unknown fields and invalid values in scenario files are rejected with their place.
#[test]
fn a_bad_scenario_names_what_is_wrong() {
    for (text, wrong) in [
        ("processes = 3\nprocesse = 4\n", "line 2"),
        ("processes = 0\n", "processes: 0 is not from 1"),
        ("[[fault]]\nat_s = 1\nkind = \"kill\"\nshare = 3\n", "fault[0].share: 3"),
        ("[[fault]]\nat_s = 1\nkind = \"flood\"\n", "flood"),
    ] {
        let fault = Scenario::parse(text).expect_err(text).to_string();
        assert!(fault.contains(wrong), "{fault:?} for {text:?}");
    }
}

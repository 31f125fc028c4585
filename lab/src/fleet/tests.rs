use super::*;

fn second(served: u64) -> Second {
    Second { asked: 100, served, ..Second::default() }
}

/// Guards the one figure of recovery: it counts from the fault's end to the first second of full service that lasts,
/// not to a good second between bad ones.
#[test]
fn full_service_counts_from_the_first_of_five_good_seconds() {
    let fault = Fault { at_s: 3.0, for_s: 1.0, kind: Kind::DiscoveryDown {} };
    let run: Vec<Second> = [99, 99, 99, 10, 50, 99, 90, 98, 98, 99, 98, 98].map(second).to_vec();
    assert_eq!(back(&run, std::slice::from_ref(&fault)), Some(3.0));
    assert_eq!(back(&run[..11], std::slice::from_ref(&fault)), None, "four are not enough");
    assert_eq!(back(&run, &[]), None);
}

/// Guards scenario files that silently mean something else.
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

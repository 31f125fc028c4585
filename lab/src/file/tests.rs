use super::*;

/// Checks that a swept parameter is set at the field that it names, and that an unknown field or section is
/// rejected by name.
#[test]
fn a_parameter_is_set_where_it_is_named() {
    let text = "[fleet]\nservers = 4\n[[trouble]]\nkind = \"hot_key\"\nat_s = 1\nfor_s = 2\nshare = 0.1\n";
    let parse = |text: String| Scenario::parse(&text).expect("a scenario");
    assert_eq!(parse(with_field(text, "fleet.servers", 7.0).expect("set")).fleet.servers, 7);
    assert_eq!(parse(with_field(text, "load.of_capacity", 0.25).expect("set")).load.of_capacity, 0.25);
    let hot = parse(with_field(text, "trouble[0].share", 0.3).expect("set"));
    assert_eq!(format!("{:?}", hot.troubles[0].kind), "HotKey { share: 0.3, keys: 1 }");
    assert!(with_field(text, "trouble[4].share", 0.3).is_err() && with_field(text, "servers", 1.0).is_err());
    let unknown = with_field(text, "fleet.wheels", 3.0).expect("set");
    assert!(Scenario::parse(&unknown).expect_err("unknown").contains("wheels"));
}

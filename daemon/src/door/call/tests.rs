use super::*;

/// Guards against a call that is guessed at: what is not exactly one is answered with what is wrong.
#[test]
fn only_exact_calls_are_calls() {
    assert_eq!(Call::parse("ready"), Ok(Call::Ready));
    assert_eq!(Call::parse("disable-server s-1"), Ok(Call::Disable("s-1".into())));
    assert_eq!(Call::parse("enable-server ü"), Ok(Call::Enable("ü".into())));
    assert_eq!(Call::parse("book"), Ok(Call::Book));
    assert_eq!((Call::parse("drain"), Call::parse("resume")), (Ok(Call::Drain), Ok(Call::Resume)));
    for (line, why) in [
        ("", "unknown call \"\""),
        (" ready", "unknown call \"\""),
        ("READY", "unknown call \"READY\""),
        ("ready ", "ready has too many arguments"),
        ("drain now", "drain has too many arguments"),
        ("disable-server", "disable-server needs the id of an app server"),
        ("disable-server ", "disable-server needs the id of an app server"),
        ("enable-server a b", "enable-server has too many arguments"),
        ("enable-server  a", "enable-server has too many arguments"),
        ("shut\u{202e}down", "unknown call \"shut\\u{202e}down\""),
    ] {
        assert_eq!(Call::parse(line), Err(why.to_owned()), "{line:?}");
    }
}

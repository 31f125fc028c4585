use super::*;

/// Guards against a command that is guessed at: a line that is not exactly a command is answered with what is wrong.
#[test]
fn only_exact_commands_are_accepted() {
    assert_eq!(AdminCommand::parse("ready"), Ok(AdminCommand::Ready));
    assert_eq!(AdminCommand::parse("disable-server s-1"), Ok(AdminCommand::Disable("s-1".into())));
    assert_eq!(AdminCommand::parse("enable-server ü"), Ok(AdminCommand::Enable("ü".into())));
    assert_eq!(AdminCommand::parse("book"), Ok(AdminCommand::Book));
    assert_eq!(
        (AdminCommand::parse("drain"), AdminCommand::parse("resume")),
        (Ok(AdminCommand::Drain), Ok(AdminCommand::Resume))
    );
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
        assert_eq!(AdminCommand::parse(line), Err(why.to_owned()), "{line:?}");
    }
}

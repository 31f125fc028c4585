use super::*;

fn valid_file() -> String {
    let keeper = |n: u16| format!("[[keeper]]\nname = \"n{n}\"\naddress = \"127.0.0.1:{}\"\n", 7000 + n);
    let keepers: String = (1..=3).map(keeper).collect();
    format!(
        "cluster = \"c\"\ndisk = \"book.redb\"\n{keepers}[[key]]\nid = 1\nsecret = \"{}\"\n",
        "ab".repeat(32)
    )
}

/// Guards operators against an invalid file that is accepted: each error names the place in the file and a remedy.
#[test]
fn each_fault_is_named_with_its_place_and_a_remedy() {
    let file = FleetFile::parse(&valid_file(), "f", "n2").expect("a good file");
    assert_eq!(file.own_keeper.map(|(at, _)| at.port()), Some(7002));
    assert!(FleetFile::parse(&valid_file(), "f", "n9").expect("a good file").own_keeper.is_none());
    let cases = [
        (valid_file().replace("cluster", "clutser"), "f: TOML parse error at line 1"),
        (valid_file().replace("name = \"n3\"", "name = \"n2\""), "f: keeper 3: named twice; give each"),
        (
            valid_file().replace("[[keeper]]\nname = \"n3\"\naddress = \"127.0.0.1:7003\"\n", ""),
            "f: keeper: 2 of them; name 3",
        ),
        (valid_file().replace("abab", "zz"), "f: key 1: the secret is not 64"),
        (valid_file().replace("disk = \"book.redb\"\n", ""), "f: disk: missing, and n2 keeps the book; name"),
        (
            valid_file() + &format!("[[key]]\nid = 1\nsecret = \"{}\"\n", "cd".repeat(32)),
            "f: key 2: number 1 comes twice; give",
        ),
    ];
    for (text, expected) in cases {
        let why = FleetFile::parse(&text, "f", "n2").expect_err("a fault").to_string();
        assert!(why.starts_with(expected), "{why}");
    }
}

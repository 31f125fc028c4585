use super::*;

fn good() -> String {
    let keeper = |n: u16| format!("[[keeper]]\nname = \"n{n}\"\naddress = \"127.0.0.1:{}\"\n", 7000 + n);
    let keepers: String = (1..=3).map(keeper).collect();
    format!(
        "cluster = \"c\"\ndisk = \"book.redb\"\n{keepers}[[key]]\nid = 1\nsecret = \"{}\"\n",
        "ab".repeat(32)
    )
}

/// Guards operators against a file that is guessed at: each fault is named with its place and what to do.
#[test]
fn each_fault_is_named_with_its_place_and_a_remedy() {
    let file = File::parse(&good(), "f", "n2").expect("a good file");
    assert_eq!(file.keeps.map(|(at, _)| at.port()), Some(7002));
    assert!(File::parse(&good(), "f", "n9").expect("a good file").keeps.is_none());
    let cases = [
        (good().replace("cluster", "clutser"), "f: TOML parse error at line 1"),
        (good().replace("name = \"n3\"", "name = \"n2\""), "f: keeper 3: named twice; give each"),
        (
            good().replace("[[keeper]]\nname = \"n3\"\naddress = \"127.0.0.1:7003\"\n", ""),
            "f: keeper: 2 of them; name 3",
        ),
        (good().replace("abab", "zz"), "f: key 1: the secret is not 64"),
        (good().replace("disk = \"book.redb\"\n", ""), "f: disk: missing, and n2 keeps the book; name"),
        (
            good() + &format!("[[key]]\nid = 1\nsecret = \"{}\"\n", "cd".repeat(32)),
            "f: key 2: number 1 comes twice; give",
        ),
    ];
    for (text, says) in cases {
        let why = File::parse(&text, "f", "n2").expect_err("a fault").to_string();
        assert!(why.starts_with(says), "{why}");
    }
}

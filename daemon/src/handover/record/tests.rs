use proptest::prelude::*;

use super::*;

fn process(born: u64, ready: bool, claim: usize) -> Process {
    Process { version: VERSION, born, pid: 1, ready, claim }
}

/// Guards against an id whose file name leaves the directory, and against two ids with the same file name.
#[test]
fn any_id_has_a_file_name_of_its_own() {
    proptest!(gradepaddle_http::testing::deterministic_config(), |(one in "\\PC{0,12}", two in "\\PC{0,12}")| {
        let file = |id: &str| file_name("ban", id).expect("short");
        prop_assert!(file(&one).bytes().all(|b| b.is_ascii_alphanumeric() || b"-_%".contains(&b)));
        prop_assert_eq!(one == two, file(&one) == file(&two));
        let text = serde_json::to_vec(&Ban { version: VERSION, server: one.clone(), made: 7 }).expect("text");
        prop_assert_eq!(parse_ban(&file(&one), &text), Ok((Id::from(one.as_str()), 7)));
        prop_assert_eq!(server_of_ban_file(&file(&one)), Some(Id::from(one.as_str())));
        for cut in 0..text.len() {
            prop_assert!(parse_ban(&file(&one), &text[..cut]).is_err(), "torn");
        }
        prop_assert!(one == two || parse_ban(&file(&two), &text).is_err(), "foreign");
    });
    assert_eq!(file_name("ban", &"x".repeat(300)), None);
    assert!(parse_ban("ban-a", br#"{"version":2,"server":"a","made":7}"#).is_err());
    assert_eq!(
        parse_ban("ban-a", br#"{"version":1,"server":"a"}"#),
        Ok(("a".into(), 0)),
        "written by an older build"
    );
}

/// Guards the limit on descriptors that all processes of a balancer share: whatever each of them holds, and in whichever order
/// they update their claims, the claims never add up to more than the limit.
#[test]
fn claims_never_add_up_to_more_than_there_is() {
    let step = (0..3usize, 0..300usize, any::<bool>());
    proptest!(gradepaddle_http::testing::deterministic_config(), |(steps in prop::collection::vec(step, 1..60))| {
        const ALL: usize = 384;
        let mut live: Vec<(Process, bool)> = Vec::new();
        let mut born = 0;
        for (which, wants, turn) in steps {
            let claimed: usize = live.iter().map(|(p, _)| p.claim).sum();
            if live.is_empty() || (turn && which == 2 && claimed + INITIAL_CLAIM <= ALL) {
                born += 1;
                live.push((process(born, false, INITIAL_CLAIM), false));
            } else if turn && which == 1 && live.len() > 1 {
                live[0].1 = true;
            } else if turn && which == 0 && live[0].1 {
                live.remove(0);
            }
            let at = which % live.len();
            let (me, terminating) = live[at];
            let rest: Vec<_> = live.iter().enumerate().filter(|(i, _)| *i != at).map(|(_, p)| p.0).collect();
            let others = OtherProcesses::of(&me, &rest);
            let held = wants.min(me.claim);
            let claim = others.claim(ALL, held, me.claim, terminating);
            live[at].0 = Process { claim, ready: true, ..me };
            let claimed: usize = live.iter().map(|(p, _)| p.claim).sum();
            prop_assert!(claimed <= ALL, "{live:?}");
            prop_assert!(!terminating || !others.ready_successor || claim <= me.claim);
        }
    });
}

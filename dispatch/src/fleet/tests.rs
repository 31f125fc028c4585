use super::*;

const FORGET: Micros = 100;

fn server(id: &str, state: ServerState) -> Server {
    Server { id: id.into(), zone: 0, kind: 0, cell: 0, state, weight: 1.0, started: None }
}

fn names(changes: &Changes) -> Vec<(&str, bool)> {
    changes.standing.iter().map(|(id, open)| (&**id, *open)).collect()
}

/// Guards the grace against a clock that starts anew: a drain told twice counts from the first time,
/// also where the app server is called gone in between.
#[test]
fn a_drain_counts_from_when_it_was_first_told() {
    let mut fleet = Fleet::new(false);
    fleet.take(1, ListKind::Full, &[server("a", ServerState::Ready)], FORGET);
    assert_eq!(fleet.standing("a"), Some(Standing::Open));
    let told = fleet.take(5, ListKind::Delta, &[server("a", ServerState::Draining)], FORGET);
    assert_eq!(names(&told), [("a", false)]);
    let again = fleet.take(9, ListKind::Full, &[server("a", ServerState::Draining)], FORGET);
    assert_eq!((names(&again).len(), fleet.standing("a")), (0, Some(Standing::Draining(5))));
    fleet.take(11, ListKind::Full, &[], FORGET);
    assert_eq!(fleet.standing("a"), Some(Standing::Draining(5)));
    let back = fleet.take(12, ListKind::Delta, &[server("a", ServerState::Ready)], FORGET);
    assert_eq!((names(&back), fleet.standing("a")), (vec![("a", true)], Some(Standing::Open)));
}

/// Guards against an empty fleet for want of a list, and against one that only grows: gone stays
/// usable where only a drain binds, and is forgotten in time.
#[test]
fn gone_binds_unless_the_settings_say_otherwise_and_is_forgotten() {
    for only in [false, true] {
        let mut fleet = Fleet::new(only);
        fleet.take(
            1,
            ListKind::Cached,
            &[server("a", ServerState::Ready), server("b", ServerState::Draining)],
            FORGET,
        );
        fleet.take(2, ListKind::Failed, &[], FORGET);
        assert_eq!(fleet.standing("a"), Some(Standing::Open));
        let left = fleet.take(3, ListKind::Full, &[], FORGET);
        assert_eq!(names(&left), if only { vec![] } else { vec![("a", false)] });
        let standing = if only { Standing::Open } else { Standing::Gone(3) };
        assert_eq!(fleet.standing("a"), Some(standing));
        assert_eq!(fleet.standing("b"), Some(Standing::Draining(1)));
        assert!(fleet.take(3 + FORGET, ListKind::Delta, &[], FORGET).forgotten.is_empty());
        let gone = fleet.take(4 + FORGET, ListKind::Delta, &[], FORGET);
        assert_eq!((gone.forgotten.len(), fleet.len()), (2, 0));
    }
}

/// Guards a ban against the list: nothing that it says brings the app server back, and at the end of
/// the ban what the list says then holds, cold since that moment or since a start that it has told.
#[test]
fn a_ban_holds_whatever_the_list_says() {
    let mut fleet = Fleet::new(false);
    let ready = server("a", ServerState::Ready);
    fleet.take(1, ListKind::Full, std::slice::from_ref(&ready), FORGET);
    assert!(fleet.knows("a") && !fleet.knows("b"));
    let told = fleet.ban(5, &"a".into()).expect("it was open");
    assert_eq!((told.state, told.weight), (ServerState::Draining, 1.0));
    assert!(fleet.ban(7, &"a".into()).is_none());
    for (kind, list) in [
        (ListKind::Full, vec![ready.clone()]),
        (ListKind::Delta, vec![server("a", ServerState::Gone)]),
        (ListKind::Delta, vec![ready.clone()]),
        (ListKind::Full, vec![]),
        (ListKind::Full, vec![ready.clone()]),
    ] {
        assert!(fleet.take(9, kind, &list, FORGET).standing.iter().all(|(_, open)| !open));
        assert_eq!(fleet.standing("a"), Some(Standing::Banned(5)));
    }
    let back = fleet.lift(20, &"a".into()).expect("it is open");
    assert_eq!((back.state, back.started), (ServerState::Ready, Some(20)));
    assert!(fleet.lift(21, &"a".into()).is_none());
    fleet.ban(30, &"a".into());
    let started = Server { started: Some(33), ..ready };
    fleet.take(34, ListKind::Delta, &[started], FORGET);
    assert_eq!(fleet.lift(40, &"a".into()).expect("open").started, Some(33));
    // A drain told before the ban, and one that lasts beyond it.
    fleet.take(50, ListKind::Delta, &[server("a", ServerState::Draining)], FORGET);
    assert!(fleet.ban(60, &"a".into()).is_none());
    assert_eq!(fleet.standing("a"), Some(Standing::Draining(50)));
    assert!(fleet.lift(70, &"a".into()).is_none());
    assert_eq!(fleet.standing("a"), Some(Standing::Draining(50)));
}

/// Guards an operator who names one that has left long ago, and a ban told before the list is.
#[test]
fn ids_once_listed_stay_known_and_a_ban_may_come_before_the_list() {
    let mut fleet = Fleet::new(false);
    fleet.take(1, ListKind::Full, &[server("a", ServerState::Ready)], FORGET);
    fleet.take(2, ListKind::Full, &[], FORGET);
    fleet.take(3 + FORGET, ListKind::Full, &[], FORGET);
    assert!(fleet.is_empty() && fleet.knows("a") && fleet.standing("a").is_none());
    fleet.ban(200, &"b".into());
    let told = fleet.take(201, ListKind::Full, &[server("b", ServerState::Ready)], FORGET);
    assert_eq!(names(&told), [("b", false)]);
    assert_eq!(fleet.standing("b"), Some(Standing::Banned(200)));
}

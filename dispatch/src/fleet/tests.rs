use super::*;

const RETENTION: Micros = 100;

fn server(id: &str, state: ServerState) -> Server {
    Server { id: id.into(), zone: 0, kind: 0, cell: 0, state, weight: 1.0, started: None }
}

fn names(changes: &Changes) -> Vec<(&str, bool)> {
    changes.availability.iter().map(|(id, open)| (&**id, *open)).collect()
}

/// Guards against a drain grace that restarts: a drain that is reported again counts from the first report, also after
/// the app server was reported gone.
#[test]
fn a_drain_counts_from_its_first_report() {
    let mut fleet = Fleet::new(false);
    fleet.apply_list(1, ListKind::Full, &[server("a", ServerState::Ready)], RETENTION);
    assert_eq!(fleet.availability("a"), Some(Availability::Open));
    let told = fleet.apply_list(5, ListKind::Delta, &[server("a", ServerState::Draining)], RETENTION);
    assert_eq!(names(&told), [("a", false)]);
    let again = fleet.apply_list(9, ListKind::Full, &[server("a", ServerState::Draining)], RETENTION);
    assert_eq!((names(&again).len(), fleet.availability("a")), (0, Some(Availability::Draining(5))));
    fleet.apply_list(11, ListKind::Full, &[], RETENTION);
    assert_eq!(fleet.availability("a"), Some(Availability::Draining(5)));
    let back = fleet.apply_list(12, ListKind::Delta, &[server("a", ServerState::Ready)], RETENTION);
    assert_eq!((names(&back), fleet.availability("a")), (vec![("a", true)], Some(Availability::Open)));
}

/// Guards against an empty fleet after a failed list, and against one that only grows: with `keep_gone_servers` an app
/// server that is gone stays open, and it is removed after the retention time.
#[test]
fn a_gone_server_is_closed_unless_keep_gone_servers_and_is_removed_in_time() {
    for only in [false, true] {
        let mut fleet = Fleet::new(only);
        fleet.apply_list(
            1,
            ListKind::Cached,
            &[server("a", ServerState::Ready), server("b", ServerState::Draining)],
            RETENTION,
        );
        fleet.apply_list(2, ListKind::Failed, &[], RETENTION);
        assert_eq!(fleet.availability("a"), Some(Availability::Open));
        let left = fleet.apply_list(3, ListKind::Full, &[], RETENTION);
        assert_eq!(names(&left), if only { vec![] } else { vec![("a", false)] });
        let availability = if only { Availability::Open } else { Availability::Gone(3) };
        assert_eq!(fleet.availability("a"), Some(availability));
        assert_eq!(fleet.availability("b"), Some(Availability::Draining(1)));
        assert!(fleet.apply_list(3 + RETENTION, ListKind::Delta, &[], RETENTION).removed.is_empty());
        let gone = fleet.apply_list(4 + RETENTION, ListKind::Delta, &[], RETENTION);
        assert_eq!((gone.removed.len(), fleet.len()), (2, 0));
    }
}

/// Guards against a list that lifts a ban. When the ban ends, the current state of the list applies, and the app server
/// counts as started at that moment or at the start that the list has reported.
#[test]
fn a_ban_holds_whatever_the_list_reports() {
    let mut fleet = Fleet::new(false);
    let ready = server("a", ServerState::Ready);
    fleet.apply_list(1, ListKind::Full, std::slice::from_ref(&ready), RETENTION);
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
        assert!(fleet.apply_list(9, kind, &list, RETENTION).availability.iter().all(|(_, open)| !open));
        assert_eq!(fleet.availability("a"), Some(Availability::Banned(5)));
    }
    let back = fleet.lift_ban(20, &"a".into()).expect("it is open");
    assert_eq!((back.state, back.started), (ServerState::Ready, Some(20)));
    assert!(fleet.lift_ban(21, &"a".into()).is_none());
    fleet.ban(30, &"a".into());
    let started = Server { started: Some(33), ..ready };
    fleet.apply_list(34, ListKind::Delta, &[started], RETENTION);
    assert_eq!(fleet.lift_ban(40, &"a".into()).expect("open").started, Some(33));
    // A drain that was reported before the ban and lasts beyond it.
    fleet.apply_list(50, ListKind::Delta, &[server("a", ServerState::Draining)], RETENTION);
    assert!(fleet.ban(60, &"a".into()).is_none());
    assert_eq!(fleet.availability("a"), Some(Availability::Draining(50)));
    assert!(fleet.lift_ban(70, &"a".into()).is_none());
    assert_eq!(fleet.availability("a"), Some(Availability::Draining(50)));
}

/// Guards operators who name an app server that left long ago, and a ban that arrives before the first list.
#[test]
fn removed_ids_stay_known_and_a_ban_may_precede_the_list() {
    let mut fleet = Fleet::new(false);
    fleet.apply_list(1, ListKind::Full, &[server("a", ServerState::Ready)], RETENTION);
    fleet.apply_list(2, ListKind::Full, &[], RETENTION);
    fleet.apply_list(3 + RETENTION, ListKind::Full, &[], RETENTION);
    assert!(fleet.is_empty() && fleet.knows("a") && fleet.availability("a").is_none());
    fleet.ban(200, &"b".into());
    let told = fleet.apply_list(201, ListKind::Full, &[server("b", ServerState::Ready)], RETENTION);
    assert_eq!(names(&told), [("b", false)]);
    assert_eq!(fleet.availability("b"), Some(Availability::Banned(200)));
}

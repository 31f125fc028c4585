use super::*;
use crate::bans::{self, Ban, Bans};

fn write(session: u64, number: u64, change: &bans::Change) -> Write {
    Write { session, number, kind: bans::KIND, body: bans::body(change) }
}

fn ban(server: &str) -> bans::Change {
    bans::Change::Ban { server: server.into(), ban: Ban { since: 5, by: "n1".into() } }
}

/// Guards against a second effect of a write that is retried because its answer was lost, also after a snapshot, and of an
/// index that is applied twice.
#[test]
fn a_write_takes_effect_once_however_often_it_is_retried() {
    let lift = bans::Change::Lift { server: "a".into() };
    let (bans, shown) = Bans::new();
    let mut ledger = Ledger::new(vec![Box::new(bans)]);
    assert_eq!(ledger.apply(3, &write(1, 1, &ban("a"))), Some(Outcome::Changed));
    assert_eq!(ledger.apply(3, &write(2, 1, &lift)), None, "the index is applied");
    assert_eq!(ledger.apply(4, &write(2, 1, &lift)), Some(Outcome::Changed));
    assert_eq!(ledger.apply(5, &write(1, 1, &ban("a"))), Some(Outcome::Changed), "as the first time");
    assert!(shown.borrow().is_empty(), "a second effect");
    let (bans, shown) = Bans::new();
    let mut other = Ledger::new(vec![Box::new(bans)]);
    other.load(&ledger.save()).expect("its own kind");
    assert_eq!(other.apply(6, &write(1, 1, &ban("a"))), Some(Outcome::Changed));
    assert!(shown.borrow().is_empty());
    assert_eq!(other.outcome(2, 1), Some(&Outcome::Changed));
}

/// Guards against content that an older version would drop silently.
#[test]
fn unknown_content_is_refused_with_its_kind() {
    let mut ledger = Ledger::new(vec![Box::new(Bans::new().0)]);
    ledger.apply(1, &write(1, 1, &ban("a")));
    let mut older = Ledger::new(Vec::new());
    assert_eq!(older.load(&ledger.save()), Err(LedgerError::UnknownKind(bans::KIND)));
    assert!(matches!(older.apply(1, &write(1, 1, &ban("a"))), Some(Outcome::Refused(_))));
    assert!(matches!(older.load(b"\xff"), Err(LedgerError::Unreadable(_))));
}

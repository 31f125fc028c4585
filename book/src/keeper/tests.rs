use super::*;
use crate::bans::{Bans, KIND};

/// Guards against a keeper that acknowledges what it can not read: a snapshot with content of a newer version is neither
/// persisted nor acknowledged.
#[test]
fn a_snapshot_with_unknown_content_is_not_acknowledged() {
    let founded = initial_batch(1, "a", vec![Box::new(Bans::new().0)]).snapshot.expect("it founds");
    let membership = Membership { voters: vec![1], learners: vec![2], ..Membership::default() };
    let snapshot = Some(Snapshot { membership, index: 5, ..founded });
    let named = ["a", "b", "c"].map(str::to_owned).to_vec();
    let kept = PersistentState { id: 2, ..PersistentState::default() };
    let older = Keeper::new(named, kept, Vec::new(), Timing::default(), 7);
    let mut older = older.unwrap_or_else(|e| panic!("{e}"));
    let kind = MessageType::MsgSnapshot.value();
    let message = Message { kind, to: 2, from: 1, term: 2, snapshot, ..Message::default() };
    older.receive(&message).expect("it is for it");
    assert_eq!(older.fault(), Some(&LedgerError::UnknownKind(KIND)));
    assert!(older.outputs().is_empty() && older.ledger().index() == 0);
}

//! Every error of the book tells the operator what to do and is listed on the operators' page.

use gradepaddle_book::frame::FrameError;
use gradepaddle_book::store::StoreError;
use gradepaddle_book::{LedgerError, MessageError, Refused};

/// The name under which the page lists the error. A new variant does not compile until it is named here.
fn names(frame: &FrameError) -> &'static str {
    match frame {
        FrameError::Unreadable => "FrameError::Unreadable",
        FrameError::TooLong(_) => "FrameError::TooLong",
        FrameError::Version(_) => "FrameError::Version",
        FrameError::Cluster(_) => "FrameError::Cluster",
        FrameError::UnknownKey(_) => "FrameError::UnknownKey",
        FrameError::Forged => "FrameError::Forged",
        FrameError::Replayed => "FrameError::Replayed",
    }
}

fn of_store(store: &StoreError) -> &'static str {
    match store {
        StoreError::Open(_) => "StoreError::Open",
        StoreError::Rotten(_) => "StoreError::Rotten",
        StoreError::Gap(_) => "StoreError::Gap",
        StoreError::Format(_) => "StoreError::Format",
        StoreError::Write(_) => "StoreError::Write",
    }
}

fn of_refused(refused: &Refused) -> &'static str {
    match refused {
        Refused::NotOpen { .. } => "Refused::NotOpen",
        Refused::TooLong(_) => "Refused::TooLong",
        Refused::UnknownKind(_) => "Refused::UnknownKind",
        Refused::Busy => "Refused::Busy",
    }
}

fn of_message(message: &MessageError) -> &'static str {
    match message {
        MessageError::UnknownKind(_) => "MessageError::UnknownKind",
        MessageError::ForAnother(_) => "MessageError::ForAnother",
        MessageError::OldDisk { .. } => "MessageError::OldDisk",
        MessageError::TurnedDown(_) => "MessageError::TurnedDown",
    }
}

fn of_ledger(ledger: &LedgerError) -> &'static str {
    match ledger {
        LedgerError::Unreadable(_) => "LedgerError::Unreadable",
        LedgerError::UnknownKind(_) => "LedgerError::UnknownKind",
    }
}

/// Guards against errors without a remedy and errors that are missing on the page.
#[test]
fn every_error_has_a_remedy_and_is_on_the_page() {
    let text = || "x".to_owned();
    let frames = [
        FrameError::Unreadable,
        FrameError::TooLong(1),
        FrameError::Version(2),
        FrameError::Cluster(text()),
        FrameError::UnknownKey(3),
        FrameError::Forged,
        FrameError::Replayed,
    ];
    let stores = [
        StoreError::Open(text()),
        StoreError::Rotten(text()),
        StoreError::Gap(1),
        StoreError::Format(2),
        StoreError::Write(text()),
    ];
    let refused = [
        Refused::NotOpen { voters: 1, needed: 2 },
        Refused::TooLong(1),
        Refused::UnknownKind(1),
        Refused::Busy,
    ];
    let messages = [
        MessageError::UnknownKind(1),
        MessageError::ForAnother(1),
        MessageError::OldDisk { here: 1, known: 2 },
        MessageError::TurnedDown(text()),
    ];
    let ledgers = [LedgerError::Unreadable(text()), LedgerError::UnknownKind(1)];
    let all: Vec<(&str, String)> = (frames.iter().map(|e| (names(e), e.to_string())))
        .chain(stores.iter().map(|e| (of_store(e), e.to_string())))
        .chain(refused.iter().map(|e| (of_refused(e), e.to_string())))
        .chain(messages.iter().map(|e| (of_message(e), e.to_string())))
        .chain(ledgers.iter().map(|e| (of_ledger(e), e.to_string())))
        .collect();
    let page = include_str!("../../docs/errors.md");
    for (name, says) in &all {
        let (what, remedy) = says.split_once("; ").unwrap_or_else(|| panic!("{name} has no remedy: {says}"));
        assert!(!what.is_empty() && remedy.len() > 15, "{name}: {says}");
        assert!(page.contains(&format!("| `{name}` |")), "{name} is not in docs/errors.md");
    }
    let documented = page
        .lines()
        .filter(|line| line.starts_with("| `") && line.contains("Error::") || line.starts_with("| `Refused"))
        .count();
    assert!(documented >= all.len(), "{documented} in the page");
}

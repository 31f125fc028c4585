//! Property tests: the events, ids and versions of a stream don't depend on how it is split into reads.

use gradepaddle_dataplane::EventSplitter;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::{Just, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest};
use proptest::test_runner::{Config, RngSeed};

fn fixed() -> Config {
    Config { rng_seed: RngSeed::Fixed(5), failure_persistence: None, cases: 512, ..Config::default() }
}

/// An event, with the id and the model version that it names.
#[derive(Clone, Debug)]
struct Event {
    text: String,
    id: Option<u64>,
    version: Option<u64>,
}

fn event() -> impl Strategy<Value = Event> {
    let line_end = prop_oneof![Just("\n"), Just("\r\n")];
    let versions = option::of(("[vV]ersions", any::<u64>()));
    let space = prop_oneof![Just(""), Just(" ")];
    let lines = vec("(data|event|: |ids|x-id): ?[a-z :\r0-9é]{0,8}", 1..4);
    (line_end, versions, option::of(any::<u64>()), space, lines).prop_map(
        |(end, versions, id, space, lines)| {
            let version = versions.as_ref().map(|(_, version)| *version);
            let version_line = versions.map(|(name, version)| format!("{name}:{space}{version}"));
            let id_line = id.map(|id| format!("id:{space}{id}"));
            // A carriage return at the end of a line would become part of the line end.
            let lines = lines.into_iter().map(|line| line.trim_end_matches('\r').to_owned());
            let lines: Vec<String> = version_line.into_iter().chain(id_line).chain(lines).collect();
            Event { text: lines.join(end) + end + end, id, version }
        },
    )
}

/// What a splitter returns for a stream.
#[derive(Debug, Default, PartialEq)]
struct Output {
    complete: Vec<u8>,
    last_id: Option<u64>,
    version: Option<u64>,
    remainder: Vec<u8>,
}

/// The bytes in pieces of these sizes, used in turn.
fn pieces<'a>(bytes: &'a [u8], sizes: &[usize]) -> Vec<&'a [u8]> {
    let (mut pieces, mut rest, mut sizes) = (Vec::new(), bytes, sizes.iter().cycle());
    while !rest.is_empty() {
        let size = sizes.next().map_or(rest.len(), |size| (*size).min(rest.len()));
        let (piece, left) = rest.split_at(size);
        pieces.push(piece);
        rest = left;
    }
    pieces
}

fn split(pieces: &[&[u8]]) -> Output {
    let mut splitter = EventSplitter::default();
    let mut complete = Vec::new();
    let mut version = None;
    for piece in pieces {
        splitter.push(piece, &mut complete);
        version = splitter.take_version().or(version);
    }
    Output { complete, last_id: splitter.last_id(), version, remainder: splitter.take_remainder() }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn events_ids_and_versions_do_not_depend_on_how_a_stream_is_cut(
        events in vec(event(), 0..6),
        sizes in vec(1..30_usize, 1..10),
        partial in "(data: [a-z]{0,9}(\n)?)?",
    ) {
        let text: String = events.iter().map(|event| &*event.text).collect();
        let bytes = (text.clone() + &partial).into_bytes();
        let expected = Output {
            complete: text.into_bytes(),
            last_id: events.iter().rev().find_map(|event| event.id),
            version: events.iter().rev().find_map(|event| event.version),
            remainder: partial.into_bytes(),
        };
        prop_assert_eq!(&split(&pieces(&bytes, &sizes)), &expected);
        prop_assert_eq!(&split(&[&bytes]), &expected);
        prop_assert_eq!(&split(&pieces(&bytes, &[1])), &expected);
    }

    #[test]
    fn the_output_for_arbitrary_bytes_does_not_depend_on_how_they_are_cut(
        parts in vec(prop_oneof![
            Just("\n".to_owned()), Just("\r".to_owned()), Just("\r\n".to_owned()), Just("id: 7".to_owned()),
            Just("versions:2".to_owned()), "[a-z:]{0,3}",
        ], 0..30),
        sizes in vec(1..6_usize, 1..10),
    ) {
        let bytes = parts.concat().into_bytes();
        let at_once = split(&[&bytes]);
        prop_assert_eq!(&split(&pieces(&bytes, &sizes)), &at_once);
        prop_assert_eq!(&split(&pieces(&bytes, &[1])), &at_once);
        prop_assert_eq!([&at_once.complete[..], &at_once.remainder].concat(), bytes);
    }

    #[test]
    fn only_complete_events_are_output(events in vec(event(), 1..5), sizes in vec(1..20_usize, 1..10)) {
        let text: String = events.iter().map(|event| &*event.text).collect();
        let mut ends = vec![0];
        events.iter().for_each(|event| ends.push(ends[ends.len() - 1] + event.text.len()));
        let (mut splitter, mut complete) = (EventSplitter::default(), Vec::new());
        for piece in pieces(text.as_bytes(), &sizes) {
            splitter.push(piece, &mut complete);
            prop_assert!(ends.contains(&complete.len()), "{} of {ends:?}", complete.len());
            let event_count = ends.iter().position(|end| *end == complete.len()).unwrap_or_default();
            let last = events[..event_count].iter().rev().find_map(|event| event.id);
            prop_assert_eq!(splitter.last_id(), last);
        }
    }

    #[test]
    fn a_resumed_stream_starts_with_the_last_id_before_it(last in option::of(any::<u64>()), event in event()) {
        let (mut splitter, mut complete) = (EventSplitter::after(last), Vec::new());
        splitter.push(b"data: partial\n", &mut complete);
        prop_assert_eq!(splitter.last_id(), last);
        splitter.discard_partial();
        splitter.push(event.text.as_bytes(), &mut complete);
        prop_assert_eq!(splitter.last_id(), event.id.or(last));
        prop_assert_eq!(complete, event.text.into_bytes());
        prop_assert_eq!(splitter.take_remainder(), Vec::<u8>::new());
    }

    /// Guards against a stream that breaks off within an event and passes for a whole one.
    #[test]
    fn a_stream_is_within_an_event_unless_it_ends_behind_an_empty_line(
        lines in vec(vec("(data|event|: |x-id): ?[a-z :0-9é]{0,8}", 1..4), 1..4),
        line_end in prop_oneof![Just("\n"), Just("\r\n"), Just("\r")],
        sizes in vec(1..6_usize, 1..10),
    ) {
        let (mut text, mut ends) = (String::new(), vec![0]);
        for event in &lines {
            text += &(event.join(line_end) + line_end + line_end);
            ends.push(text.len());
        }
        for cut in 0..=text.len() {
            let (mut splitter, mut complete) = (EventSplitter::default(), Vec::new());
            pieces(&text.as_bytes()[..cut], &sizes).iter().for_each(|piece| splitter.push(piece, &mut complete));
            prop_assert_eq!(splitter.is_within_event(), !ends.contains(&cut), "{:?}", &text.as_bytes()[..cut]);
        }
    }
}

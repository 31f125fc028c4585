//! The fleet's book, kept by real processes while they are killed, lose their disks and are partitioned. Each step waits for the
//! status that the processes report.

use std::path::PathBuf;

use gradepaddle_book::frame::{ClusterKeys, Key, Session};
use gradepaddle_standins::council::{Council, SERVER};
use gradepaddle_standins::on_one_thread;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn council(processes: usize, keepers: usize) -> Council {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_gradepaddle"));
    let council = Council::start(program, processes, keepers).await.expect("they start");
    let all: Vec<usize> = (0..keepers).collect();
    council
        .until("all keepers to take part", &all, |view| {
            view["voters"].as_array().map(Vec::len) == Some(keepers)
        })
        .await;
    council
}

fn is_banned(view: &Value, server: &str) -> bool {
    view["out"].as_array().is_some_and(|ids| ids.iter().any(|id| id == server))
}

async fn disable(council: &Council, place: usize) {
    council.succeeds(place, &format!("disable-server {SERVER}")).await;
}

async fn wait_until_banned(council: &Council, places: &[usize]) {
    council.until("the ban", places, |view| is_banned(view, SERVER)).await;
}

/// Guards against a ban that applies at one balancer only: a ban made at a reader applies at all keepers and readers, as their
/// responses to clients show, and so does its end.
#[test]
fn a_ban_and_its_end_apply_at_all_balancers() {
    on_one_thread(async {
        let council = council(5, 3).await;
        assert_eq!(council.asks(0, 1).await.expect("an answer"), 200);
        disable(&council, 4).await;
        wait_until_banned(&council, &[0, 1, 2, 3, 4]).await;
        for place in 0..5 {
            council.answers(place, 503).await;
        }
        assert_eq!(
            council.call(1, &format!("disable-server {SERVER}")).await.expect("an answer"),
            format!("SUCCESS {SERVER} was out already")
        );
        council.succeeds(1, &format!("enable-server {SERVER}")).await;
        council.until("the end of the ban", &[0, 1, 2, 3, 4], |view| !is_banned(view, SERVER)).await;
        for place in 0..5 {
            council.answers(place, 200).await;
        }
    });
}

/// Guards an acknowledged ban against the loss of all original keepers with their disks, one after the other.
#[test]
fn all_machines_are_lost_with_their_disks_one_after_the_other() {
    on_one_thread(async {
        let mut council = council(4, 3).await;
        disable(&council, 3).await;
        for place in 0..3 {
            let others: Vec<usize> = (0..3).filter(|other| *other != place).collect();
            council.kill(place).await.expect("it ends");
            council.empty(place).expect("a disk");
            council.start_places(&[place]).await.expect("it starts");
            // During the membership change the replaced keeper still counts as a voter, so no other one may be lost.
            let back = |view: &Value| {
                let voters = view["voters"].as_array().map(Vec::len);
                let learners = view["learners"].as_array().map(Vec::len);
                voters == Some(3) && learners == Some(0) && view["changing"] == false
            };
            council.until("its place among the voters", &[place], back).await;
            council.until("its place among the voters", &others, back).await;
            wait_until_banned(&council, &[0, 1, 2, 3]).await;
        }
        // The book still accepts writes.
        council.succeeds(0, &format!("enable-server {SERVER}")).await;
        council.until("the end of the ban", &[0, 1, 2, 3], |view| !is_banned(view, SERVER)).await;
    });
}

/// Guards acknowledged writes against the loss of the leader, and against a leader that comes back without them.
#[test]
fn the_leader_is_killed_again_and_again() {
    on_one_thread(async {
        let mut council = council(4, 3).await;
        for round in 0..3 {
            let leader = council.leader(&[0, 1, 2]).await;
            let (verb, holds) = if round % 2 == 0 { ("disable", true) } else { ("enable", false) };
            council.succeeds(3, &format!("{verb}-server {SERVER}")).await;
            council.kill(leader).await.expect("it ends");
            let others: Vec<usize> = (0..3).filter(|other| *other != leader).collect();
            council.leader(&others).await;
            council.until("what was acknowledged", &others, |view| is_banned(view, SERVER) == holds).await;
            council.start_places(&[leader]).await.expect("it starts");
            council
                .until("what was acknowledged", &[leader], |view| {
                    view["revision"].as_u64() > Some(0) && is_banned(view, SERVER) == holds
                })
                .await;
        }
    });
}

/// Guards against a split brain: a leader that is partitioned with a minority confirms nothing, the majority does, and after the
/// partition is healed all agree.
#[test]
fn a_leader_in_the_minority_confirms_nothing() {
    on_one_thread(async {
        let council = council(5, 5).await;
        let leader = council.leader(&[0, 1, 2, 3, 4]).await;
        let minority = [leader, (leader + 1) % 5];
        let majority: Vec<usize> = (0..5).filter(|place| !minority.contains(place)).collect();
        council.part(&minority, &majority);
        council.leader(&majority).await;
        let said = council.call(leader, &format!("disable-server {SERVER}")).await.expect("an answer");
        assert!(said.starts_with(&format!("FAILURE {SERVER} is out at this balancer")), "{said}");
        assert_eq!(
            council.asks(leader, 1).await.expect("an answer"),
            503,
            "the ban applies where it was made"
        );
        let said = council.acknowledged(majority[0], &format!("disable-server {SERVER}")).await;
        // A repeated command may find that its first copy took effect, though its answer came too late.
        match said.attempts {
            1 => assert_eq!(said.answer, format!("SUCCESS {SERVER} is out")),
            _ => assert!(
                [format!("SUCCESS {SERVER} is out"), format!("SUCCESS {SERVER} was out already")]
                    .contains(&said.answer),
                "{said:?}"
            ),
        }
        wait_until_banned(&council, &majority).await;
        assert!(!is_banned(&council.view(minority[1]).await, SERVER), "nothing has crossed the partition");
        council.heal();
        wait_until_banned(&council, &[0, 1, 2, 3, 4]).await;
    });
}

/// Guards an acknowledged ban against the end of all keepers at once; and guards against a split brain with a leader that is
/// paused for longer than the election timeout of the others.
#[test]
fn all_keepers_end_at_once_and_a_paused_leader_follows_when_resumed() {
    on_one_thread(async {
        let mut council = council(4, 3).await;
        disable(&council, 3).await;
        for place in 0..3 {
            council.kill(place).await.expect("it ends");
        }
        assert_eq!(
            council.asks(3, 1).await.expect("an answer"),
            503,
            "a reader without keepers keeps the bans that it knows"
        );
        council.start_places(&[0, 1, 2]).await.expect("they start");
        let leader = council.leader(&[0, 1, 2]).await;
        wait_until_banned(&council, &[0, 1, 2]).await;
        council.process(leader).pause().expect("a process");
        let others: Vec<usize> = (0..3).filter(|other| *other != leader).collect();
        council.leader(&others).await;
        council.succeeds(others[0], &format!("enable-server {SERVER}")).await;
        council.process(leader).resume().expect("a process");
        council.until("the end of the ban", &[0, 1, 2, 3], |view| !is_banned(view, SERVER)).await;
        // The resumed keeper may take itself for the leader until it hears of the other one.
        council.until("a leader that gives way", &[leader], |view| view["leads"] == false).await;
    });
}

/// Guards acknowledged writes against a leader that crashes at any point between proposal, disk and answer: bans are made and
/// lifted while leaders crash there one after the other, and the last acknowledged write applies at all processes.
#[test]
fn leaders_end_at_each_point_between_disk_and_answer() {
    for point in ["before-disk", "after-disk", "before-answer"] {
        on_one_thread(async {
            let program = PathBuf::from(env!("CARGO_BIN_EXE_gradepaddle"));
            // After the founding of the book, which passes the points of the disk some twenty times.
            let count = if point == "before-answer" { 2 } else { 30 };
            let more = [("GRADEPADDLE_CRASH", format!("{point}:{count}"))];
            let mut council = Council::start_with(program, 4, 3, &more).await.expect("they start");
            council.more.clear();
            let (mut ended, mut holds) = (0, false);
            for _ in 0..200 {
                holds = !holds;
                let verb = if holds { "disable" } else { "enable" };
                // Two leaders may crash during one write: they are restarted before the write is repeated.
                let mut confirmed = false;
                while !confirmed {
                    let line = format!("{verb}-server {SERVER}");
                    confirmed = council.call(3, &line).await.expect("an answer").starts_with("SUCCESS");
                    for place in 0..3 {
                        if council.has_ended(place) {
                            ended += 1;
                            council.start_places(&[place]).await.expect("it starts");
                        }
                    }
                }
                if ended > 0 && holds {
                    break;
                }
            }
            assert!(ended > 0, "no leader ended {point}");
            wait_until_banned(&council, &[0, 1, 2, 3]).await;
        });
    }
}

/// Guards the book against a keeper whose disk was replaced by an old copy or by a file that is not a disk. It reports the fault
/// and takes no part, but its balancer serves and reads the book, and it rejoins with an empty disk.
#[test]
fn a_keeper_with_a_disk_that_is_old_or_broken_steps_down_and_reads() {
    on_one_thread(async {
        let mut council = council(4, 3).await;
        let leader = council.leader(&[0, 1, 2]).await;
        let place = (leader + 1) % 3;
        council.kill(place).await.expect("it ends");
        let old = council.copy_of(place).expect("a disk");
        council.start_places(&[place]).await.expect("it starts");
        disable(&council, 3).await;
        council.succeeds(3, &format!("enable-server {SERVER}")).await;
        disable(&council, 3).await;
        wait_until_banned(&council, &[0, 1, 2, 3]).await;
        for (disk, expected) in [(&old[..], "an old copy"), (b"no disk of ours", "can not be opened")] {
            council.kill(place).await.expect("it ends");
            council.put_back(place, disk).expect("a folder");
            council.start_places(&[place]).await.expect("it starts");
            let has_fault =
                |view: &Value| view["fault"].as_str().is_some_and(|fault| fault.contains(expected));
            council.until("its fault", &[place], has_fault).await;
            council
                .until("what others tell", &[place], |view| {
                    view["role"] == "reader" && is_banned(view, SERVER)
                })
                .await;
            council.answers(place, 503).await;
        }
        council.kill(place).await.expect("it ends");
        council.empty(place).expect("a disk");
        council.start_places(&[place]).await.expect("it starts");
        council
            .until("its place", &[place], |view| {
                view["role"] == "keeper" && view["voters"].as_array().map(Vec::len) == Some(3)
            })
            .await;
    });
}

/// Guards keepers against invalid connections: noise, an oversized length, another key, another cluster, a frame of an earlier
/// connection. Each connection is closed without effect, and the book keeps working.
#[test]
fn invalid_connections_are_closed_without_effect() {
    on_one_thread(async {
        let council = council(4, 3).await;
        let seal = |cluster: &str, byte| {
            let keys = vec![Key { id: 1, secret: [byte; 32] }];
            ClusterKeys { cluster: cluster.into(), keys }
        };
        let framed = |bytes: Vec<u8>| {
            let length = u32::try_from(bytes.len()).expect("a short frame").to_be_bytes();
            [&length[..], &bytes].concat()
        };
        let greets = |seal| framed(Session::new(seal, "b1", 7).handshake().expect("a frame"));
        // One that replays frames of another connection that had the key.
        let mut first = Session::new(seal("rig", 0x5a), "b3", 7);
        let greeting = framed(first.handshake().expect("a frame"));
        let again = [&greeting[..], &framed(first.encode(&3u8).expect("a frame"))].concat();
        let invalid_connections = [
            b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            vec![0xff; 64],
            framed(vec![1; 200]),
            greets(seal("rig", 0x11)),
            greets(seal("other", 0x5a)),
            again,
        ];
        for (at, said) in invalid_connections.iter().enumerate() {
            for place in 0..3 {
                let fleet = council.process(place).fleet.expect("a keeper");
                let mut stream = TcpStream::connect(fleet).await.expect("it listens");
                stream.write_all(said).await.expect("it reads");
                let mut received = Vec::new();
                // The keeper sends its greeting, nothing more, and closes the connection.
                let end = stream.read_to_end(&mut received).await;
                assert!(
                    end.is_err() || received.len() < 200,
                    "invalid connection {at} received {} bytes",
                    received.len()
                );
            }
        }
        disable(&council, 3).await;
        wait_until_banned(&council, &[0, 1, 2, 3]).await;
    });
}

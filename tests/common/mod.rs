//! Shared test helpers: a balancer with short methods to feed it events.
#![allow(dead_code)]

use gradepaddle::*;

pub struct Bench {
    pub balancer: Balancer,
    pub out: Vec<Action>,
}

pub fn class(effect: Idempotency) -> Class {
    let base = Settings::default().classes.remove(0);
    Class { latency_target: 300_000, deadline: 1_500_000, idempotency: effect, ..base }
}

pub fn server(id: &str, cell: u32) -> Server {
    let id = id.into();
    Server { id, zone: cell / 2, kind: 0, cell, state: ServerState::Ready, weight: 1.0, started: None }
}

impl Bench {
    pub fn new(settings: Settings) -> Bench {
        Bench { balancer: Balancer::new(settings, 1).expect("settings"), out: Vec::new() }
    }

    /// Servers named a, b, c ..., each in a cell of its own.
    pub fn with_servers(settings: Settings, count: u8) -> Bench {
        let mut bench = Bench::new(settings);
        bench.list(0, ListKind::Full, (0..count).map(|i| server(&name(i), u32::from(i))).collect());
        bench
    }

    pub fn event(&mut self, now: Micros, event: Event<'_>) -> &[Action] {
        self.out.clear();
        self.balancer.handle(now, event, &mut self.out);
        &self.out
    }

    pub fn list(&mut self, now: Micros, kind: ListKind, servers: Vec<Server>) {
        self.event(now, Event::List { kind, servers });
    }

    pub fn arrive(&mut self, now: Micros, id: &str, key: &str, hint: f64) {
        let key = Some(key).filter(|k| !k.is_empty());
        let arrival = Arrival {
            id: id.into(),
            class: 0,
            tenant: None,
            ttl: 1_500_000,
            work_hint: Some(hint),
            key,
            run_once: false,
        };
        self.event(now, Event::Request(arrival));
    }

    pub fn end(&mut self, now: Micros, request: &str, attempt: u32, outcome: Outcome, took: Micros) {
        let closed = outcome == Outcome::Ok;
        self.event(
            now,
            Event::AttemptEnded(AttemptEnd {
                request,
                attempt,
                outcome,
                took,
                request_finished: closed,
                report: None,
            }),
        );
    }

    /// The server of the first [`Action::Send`] among the last actions.
    pub fn sent(&self) -> Option<String> {
        self.out.iter().find_map(|a| match a {
            Action::Send { server, .. } => Some(server.to_string()),
            _ => None,
        })
    }

    pub fn refused(&self) -> bool {
        self.out.iter().any(|a| matches!(a, Action::Reject { .. }))
    }

    pub fn failed(&self) -> bool {
        self.out.iter().any(|a| matches!(a, Action::Fail { .. }))
    }

    /// Serves `count` light requests one by one, so that the estimates have settled.
    pub fn settle(&mut self, from: Micros, count: u64) -> Micros {
        for i in 0..count {
            let (now, id) = (from + i * 20_000, format!("settle{from}-{i}"));
            self.arrive(now, &id, &format!("settle{i}"), 10_000.0);
            if self.sent().is_some() {
                self.end(now + 10_000, &id, 0, Outcome::Ok, 10_000);
            }
        }
        from + count * 20_000
    }
}

pub fn name(i: u8) -> String {
    char::from(b'a' + i).to_string()
}

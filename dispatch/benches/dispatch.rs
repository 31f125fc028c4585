//! The cost of a complete transaction (accepted, sent, ended) while a number of others are open: once with a chooser that
//! always names the first app server, which is the cost of dispatch itself, and once with the production chooser.

// The macros below make functions of their own.
#![allow(missing_docs)]

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use gradepaddle::{Action, Balancer, Class, Event, ListKind, Micros, Server, ServerState, Settings};
use gradepaddle_dispatch::{Cause, Chooser, Dispatch, Extent, Input, Limits, Output, Transaction};

const HOUR: Micros = 3_600_000_000;

/// Sends everything to one app server.
struct First;

impl Chooser for First {
    fn handle(&mut self, _: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        if let Event::Request(arrival) = event {
            out.push(Action::Send { request: arrival.id, server: "s0".into(), deadline: Micros::MAX });
        }
    }
}

struct Bench<C> {
    dispatch: Dispatch<C, u64, u64>,
    out: Vec<Output<u64, u64>>,
    now: Micros,
    ticket: u64,
}

impl<C: Chooser> Bench<C> {
    /// Ten app servers, and deadlines that no benchmark run reaches.
    fn new(chooser: impl Fn(&Settings) -> C) -> Self {
        let class =
            Class { latency_target: HOUR, deadline: 24 * HOUR, ..Settings::default().classes.remove(0) };
        let settings = Settings { classes: vec![class], ..Settings::default() };
        let dispatch = Dispatch::new(chooser(&settings), &settings, "n1", Limits::default());
        let mut bench = Bench { dispatch, out: Vec::new(), now: 1, ticket: 0 };
        let server = |i: u32| Server {
            id: format!("s{i}").into(),
            zone: i % 3,
            kind: 0,
            cell: i,
            state: ServerState::Ready,
            weight: 1.0,
            started: None,
        };
        let servers = (0..10).map(server).collect();
        bench.dispatch.handle(1, Input::ServerList { kind: ListKind::Full, servers }, &mut bench.out);
        // The production chooser throttles a class with many more requests in flight than were ever answered.
        (0..2_000).for_each(|_| bench.whole());
        bench
    }

    fn take(&mut self) -> u64 {
        self.now += 50;
        self.ticket += 1;
        let transaction = Transaction {
            client_request_id: self.ticket.to_be_bytes()[..].into(),
            class: 0,
            tenant: None,
            key: Some(format!("key{}", self.ticket % 500)),
            hint: None,
            once: false,
            arrived: self.now,
            time_left: 24 * HOUR,
            upload_complete: true,
            message: self.ticket,
        };
        self.out.clear();
        self.dispatch.handle(self.now, Input::Accepted { ticket: self.ticket, transaction }, &mut self.out);
        assert!(self.out.iter().any(|output| matches!(output, Output::Start { .. })), "it is sent");
        self.ticket
    }

    /// Opens a transaction that stays open. Others are answered meanwhile, as in production: with many in flight and none
    /// answered, the chooser takes the fleet for overloaded.
    fn open(&mut self) {
        (0..20).for_each(|_| self.whole());
        self.take();
    }

    fn whole(&mut self) {
        let ticket = self.take();
        self.now += 50;
        self.out.clear();
        let (extent, cause, reply) = (Extent::Whole, Cause::Served, Some(ticket));
        let ended = Input::AttemptEnded { ticket, attempt: 0, extent, cause, reply, report: None };
        self.dispatch.handle(self.now, ended, &mut self.out);
        black_box(&self.out);
    }
}

fn transactions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("whole transaction");
    for open in [10, 1_000] {
        group.bench_function(BenchmarkId::new("dispatch alone", open), |b| {
            let mut bench = Bench::new(|_| First);
            (0..open).for_each(|_| bench.open());
            b.iter(|| bench.whole());
        });
        group.bench_function(BenchmarkId::new("with the decisions", open), |b| {
            let fresh = |settings: &Settings| Balancer::new(settings.clone(), 7).expect("settings");
            let mut bench = Bench::new(fresh);
            (0..open).for_each(|_| bench.open());
            b.iter(|| bench.whole());
        });
    }
    group.finish();
}

criterion_group!(benches, transactions);
criterion_main!(benches);

//! An answer on its way to its client: head, body, events; a stream that breaks may go on from another server.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gradepaddle_engine::{AttemptOutcome, Choice, OutdatedBegin, OwnPause};
use gradepaddle_http::buffers::Chain;
use gradepaddle_http::{Connection, Framing, chunk, push_framing, push_headers};
use slog::warn;
use tokio::time::{Instant, sleep_until};

use crate::admission::Admitted;
use crate::attempt::Upstream;
use crate::events::EventSplitter;
use crate::shared::DataPlane;

/// Fields of an answer that the node sets itself.
const OWN_FIELDS: [&str; 1] = ["connection"];

/// Microseconds in a millisecond.
const MILLISECOND: u64 = 1_000;

/// How far an answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Relayed {
    /// It is whole.
    Whole,
    /// Its server broke off, or the time is over.
    Cut,
    /// Its client has gone.
    ClientGone,
}

/// An answer that is being passed on.
pub(crate) struct Relay<'a> {
    plane: &'a Rc<DataPlane>,
    admitted: &'a Admitted,
    /// The answer; none once its connection can take another request.
    upstream: Option<Upstream>,
    choice: Choice,
    deadline: Instant,
    close: bool,
    /// The client knows no chunks.
    old: bool,
    events: Option<EventSplitter>,
    /// How the client's body is framed, once its head has been written.
    framing: Option<Framing>,
    told: bool,
    ended: bool,
    pauses: PauseWatch,
}

/// The pauses between the events of one stream.
#[derive(Default)]
struct PauseWatch {
    last: Option<Instant>,
    longest: Option<Duration>,
}

impl PauseWatch {
    /// Events came.
    fn events_came(&mut self, now: Instant) {
        if let Some(last) = self.last.replace(now) {
            self.longest = self.longest.max(Some(now - last));
        }
    }
}

impl<'a> Relay<'a> {
    /// Of this answer, of which nothing has been written.
    pub fn new(
        plane: &'a Rc<DataPlane>,
        admitted: &'a Admitted,
        upstream: Upstream,
        choice: Choice,
        deadline: Instant,
        (close, old): (bool, bool),
    ) -> Self {
        let streams = admitted.streaming && upstream.status == 200;
        let events = streams.then(|| EventSplitter::after(admitted.last_event));
        Relay {
            plane,
            admitted,
            upstream: Some(upstream),
            choice,
            deadline,
            close,
            old,
            events,
            framing: None,
            told: false,
            ended: false,
            pauses: PauseWatch::default(),
        }
    }

    /// The event behind which another server may go on; none if this answer can't be taken up.
    pub fn resume_from(&self) -> Option<Option<u64>> {
        let events = self.events.as_ref()?;
        let open_ended = matches!(self.framing, None | Some(Framing::Chunked | Framing::UntilClose));
        let resumable = self.admitted.resumable && open_ended && events.is_at_an_id();
        (resumable && Instant::now() < self.deadline).then(|| events.last_id())
    }

    /// Goes on with another server's answer, of which the head is not passed on.
    pub fn go_on(&mut self, upstream: Upstream, choice: Choice) {
        self.upstream = Some(upstream);
        self.choice = choice;
        self.told = false;
        self.ended = false;
        // The way to another server is no pause of a service.
        self.pauses = PauseWatch::default();
        if let Some(events) = &mut self.events {
            events.drop_partial();
        }
    }

    /// Passes on what comes, to its end.
    pub async fn run(&mut self, client: &mut Connection) -> Relayed {
        if self.framing.is_none() {
            let head = self.answer_head();
            if let Err(relayed) = self.write(client, &[&head]).await {
                return self.end(relayed, AttemptOutcome::ClientGone);
            }
        }
        loop {
            let mut bytes = self.plane.pool.chain();
            let most = self.plane.pool.piece();
            let awaits_first_event = self.events.is_some() && !self.told;
            let Some(upstream) = &mut self.upstream else { return Relayed::Whole };
            let read = tokio::select! {
                biased;
                read = upstream.connection.read_piece(&mut upstream.body, &mut bytes, most) => read,
                () = client.left() => return self.end(Relayed::ClientGone, AttemptOutcome::ClientGone),
                () = self.plane.outdated(self.choice.attempt), if awaits_first_event => {
                    self.plane.took_back(&self.choice.server);
                    return self.end(Relayed::Cut, AttemptOutcome::Outdated);
                }
                () = sleep_until(self.deadline) => return self.end(Relayed::Cut, AttemptOutcome::TimedOut),
            };
            // What came before a break is used: a stream goes on behind it.
            let last = matches!(read, Ok(true));
            let out = self.take(bytes, last);
            if (last || !out.is_empty())
                && let Err(relayed) = self.pass_on(client, &out, last).await
            {
                return self.end(relayed, AttemptOutcome::ClientGone);
            }
            if read.is_err() {
                return self.end(Relayed::Cut, AttemptOutcome::Broken);
            }
            if last {
                self.tell(AttemptOutcome::Served);
                self.tell_pause();
                self.park();
                return Relayed::Whole;
            }
        }
    }

    /// The head that the client gets, and with it how the body is framed.
    fn answer_head(&mut self) -> Chain {
        let mut out = self.plane.pool.chain();
        let Some(upstream) = &self.upstream else { return out };
        let head = &upstream.head;
        let framing = match upstream.framing {
            Framing::Chunked | Framing::UntilClose if self.old => Framing::UntilClose,
            Framing::UntilClose => Framing::Chunked,
            framing => framing,
        };
        out.push(b"HTTP/1.1 ");
        out.push(head.status_line().as_bytes());
        out.push(b"\r\n");
        push_headers(&mut out, head, &OWN_FIELDS);
        if !head.is_bare() {
            push_framing(&mut out, framing);
        }
        if self.close {
            out.push(b"Connection: close\r\n");
        }
        out.push(b"\r\n");
        self.framing = Some(framing);
        out
    }

    /// What of these bytes can be passed on now: whole events of a stream.
    fn take(&mut self, bytes: Chain, last: bool) -> Chain {
        if !self.told && !bytes.is_empty() {
            self.told = true;
            let (now, attempt) = (self.plane.now(), self.choice.attempt);
            let told = self.upstream.as_ref().and_then(Upstream::version);
            let mut engine = self.plane.engine.borrow_mut();
            if let Some(outdated) = engine.begun_outdated(now, attempt, told) {
                self.warn_outdated(outdated);
            }
            engine.first_event(now, attempt);
        }
        let Some(events) = &mut self.events else { return bytes };
        let mut whole = Vec::new();
        bytes.slices().for_each(|slice| events.push(slice, &mut whole));
        if last {
            whole.extend_from_slice(&events.rest());
        }
        if let (Some(version), Some(model)) = (events.take_version(), &self.admitted.model) {
            let now = self.plane.now();
            let server: &Arc<str> = &self.choice.server;
            self.plane.engine.borrow_mut().observe_version(now, server, model, version);
        }
        if !whole.is_empty() {
            self.pauses.events_came(Instant::now());
        }
        let mut out = self.plane.pool.chain();
        out.push(&whole);
        out
    }

    /// A stream came whole from one server: its longest pause tells of the service.
    fn tell_pause(&self) {
        if let Some(longest) = self.pauses.longest {
            let longest = longest.as_micros() as u64;
            let pause = OwnPause { service: &self.admitted.service, longest };
            self.plane.engine.borrow_mut().observe_pause(pause);
        }
    }

    fn warn_outdated(&self, begin: OutdatedBegin) {
        warn!(self.plane.log, "request begun on outdated weights"; "server" => &*self.choice.server,
            "version" => begin.version, "binding" => begin.binding, "waited_ms" => begin.waited / MILLISECOND);
    }

    async fn pass_on(&self, client: &Connection, bytes: &Chain, last: bool) -> Result<(), Relayed> {
        match self.framing {
            Some(Framing::Chunked) => {
                let (before, after) = chunk(&self.plane.pool, bytes.len(), last);
                self.write(client, &[&before, bytes, &after]).await
            }
            _ => self.write(client, &[bytes]).await,
        }
    }

    /// Writes to the client, who may take its time and leave meanwhile. Error: how the answer ends instead.
    async fn write(&self, client: &Connection, chains: &[&Chain]) -> Result<(), Relayed> {
        tokio::select! {
            biased;
            written = client.write(chains) => written.map_err(|_| Relayed::ClientGone),
            () = client.left() => Err(Relayed::ClientGone),
            () = sleep_until(self.deadline) => Err(Relayed::Cut),
        }
    }

    /// Tells the engine, and ends the connection of a server that is not to work on.
    fn end(&mut self, relayed: Relayed, outcome: AttemptOutcome) -> Relayed {
        self.tell(outcome);
        if let Some(upstream) = self.upstream.take() {
            upstream.connection.break_off();
        }
        relayed
    }

    fn tell(&mut self, outcome: AttemptOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let Some(upstream) = &self.upstream else { return };
        let failed = upstream.status >= 500 && outcome == AttemptOutcome::Served;
        let outcome = if failed { AttemptOutcome::ServerError } else { outcome };
        let (now, load) = (self.plane.now(), upstream.load());
        let mut engine = self.plane.engine.borrow_mut();
        if let (Some(version), Some(model)) = (upstream.version(), &self.admitted.model) {
            engine.observe_version(now, &self.choice.server, model, version);
        }
        engine.ended(now, self.choice.attempt, outcome, load, None);
    }
}

impl Relay<'_> {
    /// Keeps the server's connection for another request.
    fn park(&mut self) {
        if let Some(Upstream { connection, head, .. }) = self.upstream.take() {
            self.plane.upstreams.park(&self.choice.server, connection, &head);
        }
    }
}

impl Drop for Relay<'_> {
    fn drop(&mut self) {
        self.tell(AttemptOutcome::ClientGone);
    }
}

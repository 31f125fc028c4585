//! An answer on its way to its client: head, body, events; a stream that breaks may go on from another server.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gradepaddle_http::buffers::Chain;
use gradepaddle_http::{Connection, Framing, chunk, push_framing, push_headers};
use gradepaddle_placement::{AttemptOutcome, OutdatedStart, Placement, StreamPause};
use slog::warn;
use tokio::time::{Instant, sleep_until};

use crate::admission::RoutedRequest;
use crate::attempt::UpstreamResponse;
use crate::data_plane::DataPlane;
use crate::event_splitter::EventSplitter;

/// Fields of an answer that the node sets itself.
const OWN_FIELDS: [&str; 1] = ["connection"];

/// Microseconds in a millisecond.
const MILLISECOND: u64 = 1_000;

/// How far an answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForwardingOutcome {
    /// It is whole.
    Complete,
    /// Its server broke off, or the time is over.
    Interrupted,
    /// Its client has gone.
    ClientGone,
}

/// An answer that is being passed on.
pub(crate) struct ResponseForwarding<'a> {
    plane: &'a Rc<DataPlane>,
    admitted: &'a RoutedRequest,
    /// The answer; none once its connection can take another request.
    upstream: Option<UpstreamResponse>,
    choice: Placement,
    deadline: Instant,
    close: bool,
    /// The client knows no chunks.
    old: bool,
    events: Option<EventSplitter>,
    /// How the client's body is framed, once its head has been written.
    framing: Option<Framing>,
    started: bool,
    ended: bool,
    gaps: EventGaps,
}

/// The gaps between the events of one stream.
#[derive(Default)]
struct EventGaps {
    last: Option<Instant>,
    longest: Option<Duration>,
}

impl EventGaps {
    /// Events came.
    fn events_came(&mut self, now: Instant) {
        if let Some(last) = self.last.replace(now) {
            self.longest = self.longest.max(Some(now - last));
        }
    }
}

impl<'a> ResponseForwarding<'a> {
    /// Of this answer, of which nothing has been written.
    pub fn new(
        plane: &'a Rc<DataPlane>,
        admitted: &'a RoutedRequest,
        upstream: UpstreamResponse,
        choice: Placement,
        deadline: Instant,
        (close, old): (bool, bool),
    ) -> Self {
        let streams = admitted.streaming && upstream.status == 200;
        let events = streams.then(|| EventSplitter::after(admitted.last_event_id));
        ResponseForwarding {
            plane,
            admitted,
            upstream: Some(upstream),
            choice,
            deadline,
            close,
            old,
            events,
            framing: None,
            started: false,
            ended: false,
            gaps: EventGaps::default(),
        }
    }

    /// The event behind which another server may go on; none if this answer can't be taken up.
    pub fn resume_from(&self) -> Option<Option<u64>> {
        let events = self.events.as_ref()?;
        let open_ended = matches!(self.framing, None | Some(Framing::Chunked | Framing::UntilClose));
        let resumable = self.admitted.resumable && open_ended && events.last_event_has_id();
        (resumable && Instant::now() < self.deadline).then(|| events.last_id())
    }

    /// Goes on with another server's answer, of which the head is not passed on.
    pub fn resume_with(&mut self, upstream: UpstreamResponse, choice: Placement) {
        self.upstream = Some(upstream);
        self.choice = choice;
        self.started = false;
        self.ended = false;
        // The way to another server is no pause of a service.
        self.gaps = EventGaps::default();
        if let Some(events) = &mut self.events {
            events.discard_partial();
        }
    }

    /// Passes on what comes, to its end.
    pub async fn run(&mut self, client: &mut Connection) -> ForwardingOutcome {
        if self.framing.is_none() {
            let head = self.answer_head();
            if let Err(relayed) = self.write(client, &[&head]).await {
                return self.end(relayed, AttemptOutcome::ClientGone);
            }
        }
        loop {
            let mut bytes = self.plane.pool.chain();
            let most = self.plane.pool.piece();
            let awaits_first_event = self.events.is_some() && !self.started;
            let Some(upstream) = &mut self.upstream else { return ForwardingOutcome::Complete };
            let read = tokio::select! {
                biased;
                read = upstream.connection.read_piece(&mut upstream.body, &mut bytes, most) => read,
                () = client.left() => return self.end(ForwardingOutcome::ClientGone, AttemptOutcome::ClientGone),
                () = self.plane.version_deadline_passed(self.choice.attempt), if awaits_first_event => {
                    self.plane.attempt_withdrawn(&self.choice.server);
                    return self.end(ForwardingOutcome::Interrupted, AttemptOutcome::Outdated);
                }
                () = sleep_until(self.deadline) => return self.end(ForwardingOutcome::Interrupted, AttemptOutcome::TimedOut),
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
                return self.end(ForwardingOutcome::Interrupted, AttemptOutcome::Broken);
            }
            if last {
                self.finish_attempt(AttemptOutcome::Served);
                self.report_longest_gap();
                self.reuse_connection();
                return ForwardingOutcome::Complete;
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
        if !self.started && !bytes.is_empty() {
            self.started = true;
            let (now, attempt) = (self.plane.now(), self.choice.attempt);
            let reported = self.upstream.as_ref().and_then(UpstreamResponse::version);
            let mut placer = self.plane.placer.borrow_mut();
            if let Some(outdated) = placer.outdated_start(now, attempt, reported) {
                self.warn_outdated(outdated);
            }
            placer.record_first_event(now, attempt);
        }
        let Some(events) = &mut self.events else { return bytes };
        let mut whole = Vec::new();
        bytes.slices().for_each(|slice| events.push(slice, &mut whole));
        if last {
            whole.extend_from_slice(&events.take_remainder());
        }
        if let (Some(version), Some(model)) = (events.take_version(), &self.admitted.model) {
            let now = self.plane.now();
            let server: &Arc<str> = &self.choice.server;
            self.plane.placer.borrow_mut().observe_version(now, server, model, version);
        }
        if !whole.is_empty() {
            self.gaps.events_came(Instant::now());
        }
        let mut out = self.plane.pool.chain();
        out.push(&whole);
        out
    }

    /// A stream came whole from one server: its longest pause tells of the service.
    fn report_longest_gap(&self) {
        if let Some(longest) = self.gaps.longest {
            let longest = longest.as_micros() as u64;
            let pause = StreamPause { service: &self.admitted.service, longest };
            self.plane.placer.borrow_mut().observe_stream_pause(pause);
        }
    }

    fn warn_outdated(&self, begin: OutdatedStart) {
        warn!(self.plane.log, "request started on outdated version"; "server" => &*self.choice.server,
            "version" => begin.version, "required_version" => begin.binding, "waited_ms" => begin.waited / MILLISECOND);
    }

    async fn pass_on(&self, client: &Connection, bytes: &Chain, last: bool) -> Result<(), ForwardingOutcome> {
        match self.framing {
            Some(Framing::Chunked) => {
                let (before, after) = chunk(&self.plane.pool, bytes.len(), last);
                self.write(client, &[&before, bytes, &after]).await
            }
            _ => self.write(client, &[bytes]).await,
        }
    }

    /// Writes to the client, who may take its time and leave meanwhile. Error: how the answer ends instead.
    async fn write(&self, client: &Connection, chains: &[&Chain]) -> Result<(), ForwardingOutcome> {
        tokio::select! {
            biased;
            written = client.write(chains) => written.map_err(|_| ForwardingOutcome::ClientGone),
            () = client.left() => Err(ForwardingOutcome::ClientGone),
            () = sleep_until(self.deadline) => Err(ForwardingOutcome::Interrupted),
        }
    }

    /// Tells the engine, and ends the connection of a server that is not to work on.
    fn end(&mut self, relayed: ForwardingOutcome, outcome: AttemptOutcome) -> ForwardingOutcome {
        self.finish_attempt(outcome);
        if let Some(upstream) = self.upstream.take() {
            upstream.connection.break_off();
        }
        relayed
    }

    fn finish_attempt(&mut self, outcome: AttemptOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let Some(upstream) = &self.upstream else { return };
        let failed = upstream.status >= 500 && outcome == AttemptOutcome::Served;
        let outcome = if failed { AttemptOutcome::ServerError } else { outcome };
        let (now, load) = (self.plane.now(), upstream.load());
        let mut placer = self.plane.placer.borrow_mut();
        if let (Some(version), Some(model)) = (upstream.version(), &self.admitted.model) {
            placer.observe_version(now, &self.choice.server, model, version);
        }
        placer.record_end(now, self.choice.attempt, outcome, load, None);
    }
}

impl ResponseForwarding<'_> {
    /// Keeps the server's connection for another request.
    fn reuse_connection(&mut self) {
        if let Some(UpstreamResponse { connection, head, .. }) = self.upstream.take() {
            self.plane.upstreams.release(&self.choice.server, connection, &head);
        }
    }
}

impl Drop for ResponseForwarding<'_> {
    fn drop(&mut self) {
        self.finish_attempt(AttemptOutcome::ClientGone);
    }
}

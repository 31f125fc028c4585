//! Forwards a response to its client: head, body, events. An interrupted stream may be resumed at another server.
//!
//! Only complete events of a stream are forwarded, so that what the client has received always ends at an event boundary.

use std::rc::Rc;

use gradepaddle_http::buffers::Chain;
use gradepaddle_http::{
    Connection, Framing, ReadError, chunk_frame, push_end_to_end_fields, push_framing_field,
};
use gradepaddle_placement::{AttemptOutcome, OutdatedStart, Placement, StreamPause};
use gradepaddle_resources::{ConnectionPermit, WaitKind};
use slog::warn;
use tokio::time::{Instant, sleep_until};

use crate::data_plane::DataPlane;
use crate::event_gaps::EventGaps;
use crate::event_splitter::EventSplitter;
use crate::proxied_request::ProxiedRequest;
use crate::routing::{LastEventId, RoutedRequest};
use crate::upstream_response::UpstreamResponse;

/// Header fields of a response that the node sets itself.
const NODE_FIELDS: [&str; 1] = ["connection"];
/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1_000;

/// How the forwarding of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForwardingOutcome {
    /// The response was forwarded to its end.
    Complete,
    /// The server's connection failed, its response was invalid, or a deadline has passed.
    Interrupted,
    /// The client has closed its connection.
    ClientGone,
}

/// Where a stream may be resumed at another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ResumePoint {
    /// The last event that was forwarded, or that the client had before; none if no event has a number yet.
    pub last_event_id: Option<u64>,
}

/// How far the body of a server's response has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyProgress {
    /// More is to come.
    Incomplete,
    /// Nothing more will come, and the body has not ended.
    Truncated,
    /// The body has ended.
    Complete,
}

/// A response that is being forwarded.
///
/// If it is dropped before the response has ended, the attempt is reported to the placer as ended by the client.
pub(crate) struct ResponseForwarding<'a> {
    plane: &'a Rc<DataPlane>,
    /// The permit of the client's connection.
    permit: &'a ConnectionPermit,
    routed: &'a RoutedRequest,
    /// The response; none once its connection has been released or closed.
    upstream: Option<UpstreamResponse>,
    placement: Placement,
    deadline: Instant,
    /// Whether the client's connection is closed after the response.
    close: bool,
    /// The client speaks HTTP/1.0, which has no chunked coding.
    http_1_0: bool,
    /// Splits a stream into events; none for any other response.
    events: Option<EventSplitter>,
    /// How the body sent to the client is framed; none until the head has been written.
    framing: Option<Framing>,
    /// Whether any bytes of the body have been received from this server.
    started: bool,
    /// Whether the attempt's end has been reported to the placer.
    attempt_ended: bool,
    gaps: EventGaps,
}

impl<'a> ResponseForwarding<'a> {
    /// Creates the forwarding of a response of which nothing has been written to the client.
    pub fn new(
        request: &'a ProxiedRequest<'a>,
        upstream: UpstreamResponse,
        placement: Placement,
        close: bool,
    ) -> Self {
        let routed = &request.routed;
        let is_stream = routed.streaming && upstream.is_event_stream();
        ResponseForwarding {
            plane: request.plane,
            permit: request.permit,
            routed,
            upstream: Some(upstream),
            placement,
            deadline: request.deadline(),
            close,
            http_1_0: request.head.is_http_1_0(),
            events: is_stream.then(|| event_splitter(&routed.last_event_id)),
            framing: None,
            started: false,
            attempt_ended: false,
            gaps: EventGaps::default(),
        }
    }

    /// Where another server may resume the stream; none if this response can't be resumed.
    pub fn resume_point(&self) -> Option<ResumePoint> {
        let events = self.events.as_ref()?;
        let open_ended = matches!(self.framing, None | Some(Framing::Chunked | Framing::UntilClose));
        let resumable = self.routed.resumable && open_ended && events.last_event_has_id();
        (resumable && Instant::now() < self.deadline).then(|| ResumePoint { last_event_id: events.last_id() })
    }

    /// Continues with the response of another server, whose head is not forwarded.
    pub fn resume_with(&mut self, upstream: UpstreamResponse, placement: Placement) {
        self.upstream = Some(upstream);
        self.placement = placement;
        self.started = false;
        self.attempt_ended = false;
        // The time taken to reach another server says nothing about how the service paces its events.
        self.gaps = EventGaps::default();
        if let Some(events) = &mut self.events {
            events.discard_partial();
        }
    }

    /// Forwards the response until it ends or is interrupted.
    pub async fn run(&mut self, client: &mut Connection) -> ForwardingOutcome {
        if self.framing.is_none() {
            let head = self.client_head();
            if let Err(outcome) = self.write(client, &[&head]).await {
                return self.abort(outcome, AttemptOutcome::ClientGone);
            }
        }
        loop {
            let mut bytes = self.plane.pool.chain();
            let max_bytes = self.plane.pool.part_size();
            let awaits_first_event = self.events.is_some() && !self.started;
            let Some(upstream) = &mut self.upstream else { return ForwardingOutcome::Complete };
            // `read_body` is cancellation safe: what it has read is in `bytes`, the rest in the connection's buffer. If
            // another branch completes first, forwarding ends.
            let read = tokio::select! {
                biased;
                read = upstream.connection.read_body(&mut upstream.body, &mut bytes, max_bytes) => read,
                () = client.peer_closed() => {
                    return self.abort(ForwardingOutcome::ClientGone, AttemptOutcome::ClientGone);
                }
                () = self.plane.version_deadline_passed(self.placement.attempt), if awaits_first_event => {
                    self.plane.attempt_withdrawn(&self.placement.server);
                    return self.abort(ForwardingOutcome::Interrupted, AttemptOutcome::Outdated);
                }
                () = sleep_until(self.deadline) => {
                    return self.abort(ForwardingOutcome::Interrupted, AttemptOutcome::TimedOut);
                }
            };
            // What was received before the connection was lost is still forwarded: a stream is resumed after it.
            let mut out = self.complete_part(bytes);
            let progress = self.progress(&read);
            let last = progress == BodyProgress::Complete;
            if last {
                self.append_remainder(&mut out);
            }
            if (last || !out.is_empty())
                && let Err(outcome) = self.write_body(client, &out, last).await
            {
                return self.abort(outcome, AttemptOutcome::ClientGone);
            }
            match progress {
                BodyProgress::Incomplete => {}
                BodyProgress::Truncated => {
                    return self.abort(ForwardingOutcome::Interrupted, AttemptOutcome::ConnectionBroken);
                }
                BodyProgress::Complete => {
                    self.end_attempt(AttemptOutcome::Served);
                    self.report_longest_gap();
                    self.release_connection();
                    return ForwardingOutcome::Complete;
                }
            }
        }
    }

    /// How far the body has been received after this read, whose bytes have been passed to [`Self::complete_part`].
    ///
    /// The end of the connection is not always the end of a body without a length: the connections of a process that
    /// crashes are closed in order too. A stream that ends within an event, or before one that is known to follow, is truncated.
    fn progress(&self, read: &Result<bool, ReadError>) -> BodyProgress {
        match read {
            Ok(false) => BodyProgress::Incomplete,
            Ok(true) if self.is_closed_early() => BodyProgress::Truncated,
            Ok(true) => BodyProgress::Complete,
            Err(_) => BodyProgress::Truncated,
        }
    }

    /// True if the end of the connection is the only sign that a stream of events has ended, and an event is missing.
    fn is_closed_early(&self) -> bool {
        let (Some(upstream), Some(events)) = (&self.upstream, &self.events) else { return false };
        upstream.framing == Framing::UntilClose && !events.may_end()
    }

    /// The head that is sent to the client. Decides how the body is framed.
    fn client_head(&mut self) -> Chain {
        let mut out = self.plane.pool.chain();
        let Some(upstream) = &self.upstream else { return out };
        let head = &upstream.head;
        let framing = match upstream.framing {
            Framing::Chunked | Framing::UntilClose if self.http_1_0 => Framing::UntilClose,
            Framing::UntilClose => Framing::Chunked,
            framing => framing,
        };
        out.push(b"HTTP/1.1 ");
        out.push(head.status_line().as_bytes());
        out.push(b"\r\n");
        push_end_to_end_fields(&mut out, head, &NODE_FIELDS);
        if !head.has_no_body() {
            push_framing_field(&mut out, framing);
        }
        if self.close {
            out.push(b"Connection: close\r\n");
        }
        out.push(b"\r\n");
        self.framing = Some(framing);
        out
    }

    /// What can be forwarded now of these bytes and those still buffered: all of them, or the complete events of a stream.
    fn complete_part(&mut self, bytes: Chain) -> Chain {
        if !self.started && !bytes.is_empty() {
            self.started = true;
            self.report_first_bytes();
        }
        let Some(events) = &mut self.events else { return bytes };
        let mut complete = Vec::new();
        bytes.slices().for_each(|slice| events.push(slice, &mut complete));
        if let (Some(version), Some(model)) = (events.take_version(), &self.routed.model) {
            let now = self.plane.now();
            self.plane.placer.borrow_mut().observe_version(now, &self.placement.server, model, version);
        }
        if !complete.is_empty() {
            self.gaps.record_event(Instant::now());
        }
        let mut out = self.plane.pool.chain();
        out.push(&complete);
        out
    }

    /// Appends what follows the last complete event of a stream that has ended.
    fn append_remainder(&mut self, out: &mut Chain) {
        if let Some(events) = &mut self.events {
            out.push(&events.take_remainder());
        }
    }

    /// Reports to the placer that the server has begun to respond, and on which model version.
    fn report_first_bytes(&self) {
        let (now, attempt) = (self.plane.now(), self.placement.attempt);
        let version = self.upstream.as_ref().and_then(UpstreamResponse::version);
        let mut placer = self.plane.placer.borrow_mut();
        if let Some(outdated) = placer.outdated_start(now, attempt, version) {
            self.warn_outdated(outdated);
        }
        placer.record_first_event(now, attempt);
    }

    /// Reports the longest gap between the events of a complete stream to the placer, as a measure of how the service
    /// performs.
    fn report_longest_gap(&self) {
        if let Some(longest) = self.gaps.longest() {
            let longest = longest.as_micros() as u64;
            let pause = StreamPause { service: &self.routed.service, longest };
            self.plane.placer.borrow_mut().observe_stream_pause(pause);
        }
    }

    /// Logs that a request was started on a model version after a newer one had become binding.
    fn warn_outdated(&self, start: OutdatedStart) {
        warn!(self.plane.log, "request started on outdated version"; "server" => &*self.placement.server,
            "version" => start.version, "required_version" => start.binding, "waited_ms" => start.waited / MICROS_PER_MS);
    }

    /// Writes a part of the body to the client, framed as its head announces.
    async fn write_body(
        &self,
        client: &Connection,
        bytes: &Chain,
        last: bool,
    ) -> Result<(), ForwardingOutcome> {
        match self.framing {
            Some(Framing::Chunked) => {
                let frame = chunk_frame(&self.plane.pool, bytes.len(), last);
                self.write(client, &[&frame.before, bytes, &frame.after]).await
            }
            _ => self.write(client, &[bytes]).await,
        }
    }

    /// Writes to the client, until the deadline, until the client disconnects, or until its connection is needed for another
    /// client that does read.
    ///
    /// # Errors
    ///
    /// How forwarding ends instead. The client may have received a part of the bytes, so nothing else may be written after
    /// an error: `write` is not cancellation safe.
    async fn write(&self, client: &Connection, chains: &[&Chain]) -> Result<(), ForwardingOutcome> {
        tokio::select! {
            biased;
            written = client.write(chains) => written.map_err(|_| ForwardingOutcome::ClientGone),
            () = client.peer_closed() => Err(ForwardingOutcome::ClientGone),
            () = sleep_until(self.deadline) => Err(ForwardingOutcome::Interrupted),
            () = self.permit.evicted_while(WaitKind::UnreadResponse) => {
                // The client must see a reset: an end could pass for the end of the response.
                client.reset_on_drop();
                Err(ForwardingOutcome::ClientGone)
            }
        }
    }

    /// Reports the attempt's end to the placer and resets the server's connection, so that the server stops working on the
    /// request.
    fn abort(&mut self, forwarding: ForwardingOutcome, attempt: AttemptOutcome) -> ForwardingOutcome {
        self.end_attempt(attempt);
        if let Some(upstream) = self.upstream.take() {
            upstream.connection.reset_on_drop();
        }
        forwarding
    }

    /// Reports the attempt's end to the placer, once.
    fn end_attempt(&mut self, outcome: AttemptOutcome) {
        if std::mem::replace(&mut self.attempt_ended, true) {
            return;
        }
        let Some(upstream) = &self.upstream else { return };
        let failed = upstream.status >= 500 && outcome == AttemptOutcome::Served;
        let outcome = if failed { AttemptOutcome::ServerError } else { outcome };
        let (now, load) = (self.plane.now(), upstream.load());
        let mut placer = self.plane.placer.borrow_mut();
        if let (Some(version), Some(model)) = (upstream.version(), &self.routed.model) {
            placer.observe_version(now, &self.placement.server, model, version);
        }
        placer.record_end(now, self.placement.attempt, outcome, load, None);
    }

    /// Releases the server's connection to the pool, unless the end of the connection was the end of the response.
    fn release_connection(&mut self) {
        let Some(UpstreamResponse { connection, head, framing, .. }) = self.upstream.take() else { return };
        if framing != Framing::UntilClose {
            self.plane.upstreams.release(&self.placement.server, connection, &head);
        }
    }
}

/// The splitter for the stream of a client that has this event last.
fn event_splitter(last: &LastEventId) -> EventSplitter {
    match last {
        LastEventId::None => EventSplitter::after(None),
        LastEventId::Number(id) => EventSplitter::after(Some(*id)),
        LastEventId::Opaque(_) => EventSplitter::after_opaque_id(),
    }
}

impl Drop for ResponseForwarding<'_> {
    fn drop(&mut self) {
        self.end_attempt(AttemptOutcome::ClientGone);
    }
}

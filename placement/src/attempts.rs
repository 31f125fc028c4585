//! The life of an attempt: it counts as in flight from its choice to its end, and what it shows is learnt.

use crate::api::*;
use crate::choice::Selection;
use crate::engine::Placer;
use crate::fleet::STORES;
use crate::load::{RequestWork, ms};
use crate::moves::{TransferSource, read_ms};
use crate::prompt::shared;
use crate::sightings::PrefillReport;

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub server: u32,
    pub life: u32,
    pub service: u32,
    pub sent: Micros,
    pub work: RequestWork,
    /// What the first event was expected to take, if nothing stood before it.
    pub predicted_ms: Option<f64>,
    pub first_at: Option<Micros>,
    pub model: Option<u32>,
    /// The version that its server was believed to have.
    pub version: Option<u64>,
    pub key: u64,
    pub salt: u64,
    pub parts: Box<[PromptChunk]>,
}

impl Placer {
    #[expect(clippy::too_many_arguments, reason = "the parts of one attempt")]
    pub(crate) fn begin(
        &mut self,
        now: Micros,
        service: usize,
        server: u32,
        request: &PlacementRequest<'_>,
        pick: &Selection,
        reads: u32,
        source: Option<TransferSource>,
        (key, salt): (u64, u64),
    ) -> AttemptId {
        let own = request.tokens_in.saturating_sub(shared(request).iter().map(|part| part.tokens).sum());
        let row = &self.fleet.services[service].rows[pick.row];
        let (load, alone) = (f64::from(row.load), row.running < 1.0);
        let chosen = &mut self.fleet.servers[server as usize];
        let read = read_ms(own + reads) * chosen.speed(now);
        let tokens = u64::from(request.tokens_in) + u64::from(request.tokens_out);
        let work = RequestWork { read_ms: read, tokens };
        let moving = source.map_or(0.0, |source| source.takes_ms);
        // A first event tells of the server's speed only where no move and no other request stood before it.
        let clean = alone && source.is_none();
        chosen.load.sent(now, work, load + read + moving);
        chosen.seen = true;
        let attempt = Attempt {
            server,
            life: chosen.life,
            service: service as u32,
            sent: now,
            work,
            predicted_ms: clean.then_some(read),
            first_at: None,
            model: request.model.and_then(|m| self.fleet.models.find(m)),
            version: pick.version,
            key,
            salt,
            parts: if pick.version.is_some() { request.parts.into() } else { Box::default() },
        };
        self.fleet.seat(now, server);
        self.made += 1;
        let id = self.made;
        self.attempts.insert(id, attempt);
        AttemptId(id)
    }

    /// Whether an attempt whose first event comes now began on an older version than the one that binds. `told` is the
    /// version that its answer bears, if any.
    pub fn outdated_start(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        told: Option<u64>,
    ) -> Option<OutdatedStart> {
        let attempt = self.attempts.get(&attempt.0)?;
        let version = told.or(attempt.version)?;
        let binding = self.versions.binding(now, &self.fleet.models.name(attempt.model?));
        let waited = now.saturating_sub(attempt.sent);
        let outdated = (version < binding).then_some(OutdatedStart { version, binding, waited });
        self.counters.outdated_start += u64::from(outdated.is_some());
        outdated
    }

    /// The first event of an attempt came: its prompt is read, and its parts are kept there.
    pub fn record_first_event(&mut self, now: Micros, attempt: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&attempt.0).filter(|a| a.first_at.is_none()) else {
            return;
        };
        attempt.first_at = Some(now);
        let Some(server) = self.fleet.at(attempt.server, attempt.life) else { return };
        server.load.read(now, attempt.work, true);
        server.closings = 0;
        server.trust(attempt.sent);
        if let Some(predicted) = attempt.predicted_ms {
            server.load.learn_speed(ms(now.saturating_sub(attempt.sent)), predicted);
        }
        for part in &attempt.parts {
            self.kept.set(now, attempt.server + STORES, attempt.salt, part.id, part.tokens);
        }
        if let Some(version) = attempt.version.filter(|_| !attempt.parts.is_empty()) {
            self.sightings.add(PrefillReport {
                server: server.hash,
                key: attempt.key,
                version,
                salt: attempt.salt,
                parts: attempt.parts.to_vec(),
            });
        }
        let at = attempt.server;
        self.fleet.seat(now, at);
    }

    /// An attempt ended; `load` and `versions` are what its answer said, unless that was told before. The load is
    /// taken to be as old as the first event.
    pub fn record_end(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        load: Option<ServerLoadReport>,
        versions: Option<&[ModelVersion]>,
    ) {
        let Some(attempt) = self.attempts.remove(&attempt.0) else { return };
        let Some(server) = self.fleet.at(attempt.server, attempt.life) else { return };
        if attempt.first_at.is_none() {
            server.load.read(now, attempt.work, outcome == AttemptOutcome::Served);
        }
        server.load.ended(attempt.work);
        match outcome {
            AttemptOutcome::Served => server.trust(attempt.sent),
            AttemptOutcome::NotRun => {
                server.trust(attempt.sent);
                server.close(now, self.config.seed);
            }
            AttemptOutcome::Misdirected => server.misdirected(now),
            AttemptOutcome::ConnectFailed
            | AttemptOutcome::Broken
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ServerError => server.suspect(now, attempt.sent),
            AttemptOutcome::VersionMismatch | AttemptOutcome::Outdated | AttemptOutcome::ClientGone => {}
        }
        if let Some(report) = load {
            server.load.report(attempt.first_at.unwrap_or(now), report);
        }
        if outcome == AttemptOutcome::VersionMismatch
            && let Some((model, version)) = attempt.model.zip(attempt.version)
        {
            self.fleet.deny(attempt.server, model, version);
        }
        for told in versions.unwrap_or_default() {
            let model = self.fleet.models.number(&told.model);
            self.fleet.observe(attempt.server, model, told.version);
        }
        if outcome == AttemptOutcome::Served {
            self.fleet.services[attempt.service as usize].learn_hold(ms(now.saturating_sub(attempt.sent)));
        }
        self.fleet.seat(now, attempt.server);
    }

    /// What `X-Server-Load` of a server said, as soon as the head is there.
    pub fn observe_server_load(&mut self, now: Micros, server: &str, load: ServerLoadReport) {
        let Some(at) = self.fleet.find(server) else { return };
        let server = &mut self.fleet.servers[at as usize];
        server.seen = true;
        server.load.report(now, load);
        self.fleet.seat(now, at);
    }

    /// A server said which version it has.
    pub fn observe_version(&mut self, now: Micros, server: &str, model: &str, version: u64) {
        let Some(at) = self.fleet.find(server) else { return };
        let model = self.fleet.models.number(model);
        self.fleet.observe(at, model, version);
        self.fleet.seat(now, at);
    }

    /// A server failed outside of any attempt: it is left out for a short, growing time.
    pub fn record_server_failure(&mut self, now: Micros, server: &str) {
        let Some(at) = self.fleet.find(server) else { return };
        self.fleet.servers[at as usize].suspect(now, now);
        self.fleet.seat(now, at);
    }
}

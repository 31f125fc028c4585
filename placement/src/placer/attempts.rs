//! The lifecycle of an attempt: it counts as in flight from its placement to its end. Its first event and its outcome update
//! the load, the health and the cached chunks of its server.

use super::{NewAttempt, Placer};
use crate::attempt::Attempt;
use crate::cache_holder::CacheHolder;
use crate::endpoint::ModelVersion;
use crate::kv_transfer::prefill_ms;
use crate::outcome::{AttemptId, AttemptOutcome, OutdatedStart, ServerLoadReport};
use crate::prefill_report::PrefillReport;
use crate::server::Server;
use crate::server_load::RequestWork;
use crate::time::{Micros, to_ms};

impl Placer {
    /// Registers an attempt that is about to be sent.
    pub(super) fn begin_attempt(&mut self, now: Micros, new: &NewAttempt<'_>) -> AttemptId {
        let request = new.request;
        let candidate = &self.fleet.services[new.service].candidates[new.selection.candidate];
        let server = candidate.server;
        let load_ms = f64::from(candidate.load_ms);
        let is_alone = candidate.running < 1.0;
        let selected = &mut self.fleet.servers[server as usize];
        let prefill = prefill_ms(new.plan.own_tokens + new.plan.computed_tokens) * selected.slowness(now);
        let tokens = u64::from(request.prompt_tokens) + u64::from(request.max_output_tokens);
        let work = RequestWork { prefill_ms: prefill, tokens };
        selected.load.record_sent(now, work, load_ms + prefill + new.transfer_ms.unwrap_or(0.0));
        selected.has_load_data = true;
        // The time to the first event measures the server's speed only if no transfer and no other request delays it.
        let is_undisturbed = is_alone && new.transfer_ms.is_none();
        let version = new.selection.version;
        let attempt = Attempt {
            server: self.fleet.server_ref(server),
            service: new.service as u32,
            sent_at: now,
            work,
            predicted_ms: is_undisturbed.then_some(prefill),
            first_event_at: None,
            model: request.model.and_then(|model| self.fleet.models.find(model)),
            version,
            key: new.key,
            salt_hash: new.salt_hash,
            chunks: if version.is_some() { request.chunks.into() } else { Box::default() },
        };
        self.fleet.refresh_candidate(now, server);
        self.attempt_count += 1;
        self.attempts.insert(self.attempt_count, attempt);
        AttemptId(self.attempt_count)
    }

    /// Checks whether an attempt whose first event arrives now started on an older version than the binding one. `reported`
    /// is the version that its response states, if any.
    pub fn outdated_start(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        reported: Option<u64>,
    ) -> Option<OutdatedStart> {
        let attempt = self.attempts.get(&attempt.0)?;
        let version = reported.or(attempt.version)?;
        let binding = self.versions.binding(now, &self.fleet.models.name(attempt.model?));
        let waited = now.saturating_sub(attempt.sent_at);
        let outdated = (version < binding).then_some(OutdatedStart { version, binding, waited });
        self.counters.outdated_starts += u64::from(outdated.is_some());
        outdated
    }

    /// Records the first event of an attempt: its prefill is complete, and its chunks are cached at its server.
    pub fn record_first_event(&mut self, now: Micros, attempt: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&attempt.0) else { return };
        if attempt.first_event_at.is_some() {
            return;
        }
        attempt.first_event_at = Some(now);
        let Some(server) = self.fleet.server_mut(attempt.server) else { return };
        server.load.record_prefill_end(now, attempt.work, true);
        server.ejection.record_start();
        server.ejection.record_answer(attempt.sent_at);
        if let Some(predicted_ms) = attempt.predicted_ms {
            server.load.learn_slowness(to_ms(now.saturating_sub(attempt.sent_at)), predicted_ms);
        }
        let holder = CacheHolder::server(attempt.server.index);
        for chunk in &attempt.chunks {
            self.prefix_index.set(now, holder, attempt.salt_hash, chunk.id, chunk.tokens);
        }
        if let Some(version) = attempt.version.filter(|_| !attempt.chunks.is_empty()) {
            self.prefill_reports.push(PrefillReport {
                server: server.hash,
                key: attempt.key,
                version,
                salt: attempt.salt_hash,
                chunks: attempt.chunks.to_vec(),
            });
        }
        let index = attempt.server.index;
        self.fleet.refresh_candidate(now, index);
    }

    /// Records the end of an attempt. `load` and `versions` are what its response stated, unless that was recorded before;
    /// the load is assumed to be as old as the first event.
    pub fn record_end(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        load: Option<ServerLoadReport>,
        versions: Option<&[ModelVersion]>,
    ) {
        let Some(attempt) = self.attempts.remove(&attempt.0) else { return };
        let node_seed = self.config.seed;
        let Some(server) = self.fleet.server_mut(attempt.server) else { return };
        if attempt.first_event_at.is_none() {
            server.load.record_prefill_end(now, attempt.work, outcome == AttemptOutcome::Served);
        }
        server.load.record_end(attempt.work);
        record_outcome(server, now, attempt.sent_at, outcome, node_seed);
        if let Some(report) = load {
            server.load.record_report(attempt.first_event_at.unwrap_or(now), report);
        }
        let index = attempt.server.index;
        if outcome == AttemptOutcome::VersionMismatch
            && let Some((model, version)) = attempt.model.zip(attempt.version)
        {
            self.fleet.record_version_denial(index, model, version);
        }
        for reported in versions.unwrap_or_default() {
            let model = self.fleet.models.intern(&reported.model);
            self.fleet.record_version(index, model, reported.version);
        }
        if outcome == AttemptOutcome::Served {
            let occupancy_ms = to_ms(now.saturating_sub(attempt.sent_at));
            self.fleet.services[attempt.service as usize].learn_occupancy(occupancy_ms);
        }
        self.fleet.refresh_candidate(now, index);
    }

    /// Records the `X-Server-Load` of a server, as soon as the head of its response has arrived.
    pub fn observe_server_load(&mut self, now: Micros, server: &str, load: ServerLoadReport) {
        let Some(index) = self.fleet.server_index(server) else { return };
        let server = &mut self.fleet.servers[index as usize];
        server.has_load_data = true;
        server.load.record_report(now, load);
        self.fleet.refresh_candidate(now, index);
    }

    /// Records a failure of a server outside of any attempt: it is ejected for a time that grows with each failure.
    pub fn record_server_failure(&mut self, now: Micros, server: &str) {
        let Some(index) = self.fleet.server_index(server) else { return };
        self.fleet.servers[index as usize].ejection.record_failure(now, now);
        self.fleet.refresh_candidate(now, index);
    }
}

/// Updates the health of a server after an attempt.
fn record_outcome(
    server: &mut Server,
    now: Micros,
    sent_at: Micros,
    outcome: AttemptOutcome,
    node_seed: u64,
) {
    match outcome {
        AttemptOutcome::Served => server.ejection.record_answer(sent_at),
        AttemptOutcome::NotProcessed => {
            server.ejection.record_answer(sent_at);
            server.record_rejection(now, node_seed);
        }
        AttemptOutcome::Misdirected => server.ejection.record_misdirection(now),
        AttemptOutcome::ConnectFailed
        | AttemptOutcome::ConnectionBroken
        | AttemptOutcome::TimedOut
        | AttemptOutcome::ServerError => server.ejection.record_failure(now, sent_at),
        AttemptOutcome::VersionMismatch | AttemptOutcome::Outdated | AttemptOutcome::ClientGone => {}
    }
}

//! An admitted request, as its attempts see it.

use std::rc::Rc;
use std::sync::Arc;

use gradepaddle_http::Head;
use gradepaddle_http::buffers::Chain;
use gradepaddle_placement::{Placement, PlacementRequest, Rejection};
use tokio::time::Instant;

use crate::data_plane::DataPlane;
use crate::routing::RoutedRequest;

/// A request that was read to its end and admitted.
pub(crate) struct ProxiedRequest<'a> {
    pub plane: &'a Rc<DataPlane>,
    pub head: &'a Head,
    pub body: &'a Chain,
    pub routed: RoutedRequest,
    /// When its last byte had been read.
    pub arrived: Instant,
}

impl ProxiedRequest<'_> {
    /// The time by which its response has to be complete.
    pub fn deadline(&self) -> Instant {
        self.arrived + self.routed.timeout
    }

    /// Has the placer select a server that is none of `tried_servers`. `last_event` is the last event that the client
    /// has. The attempt counts as in flight until the placer is notified of its end.
    ///
    /// # Errors
    ///
    /// Why no server can be selected.
    pub fn select_server(
        &self,
        last_event: Option<u64>,
        tried_servers: &[Arc<str>],
    ) -> Result<Placement, Rejection> {
        let now = self.plane.now();
        self.plane.placer.borrow_mut().place(now, &self.placement_request(last_event), tried_servers)
    }

    fn placement_request(&self, resumed_from: Option<u64>) -> PlacementRequest<'_> {
        let routed = &self.routed;
        PlacementRequest {
            service: &routed.service,
            model: routed.model.as_deref(),
            chunks: &routed.prompt,
            prompt_tokens: routed.prompt_tokens,
            max_output_tokens: routed.max_output_tokens,
            priority: routed.priority,
            latency_target: routed.latency_target.as_micros() as u64,
            event_gap_target: routed.event_gap_target.map_or(0, |gap| gap.as_micros() as u64),
            time_left: self.deadline().saturating_duration_since(Instant::now()).as_micros() as u64,
            isolation: routed.isolation.clone(),
            resumed_from,
        }
    }
}

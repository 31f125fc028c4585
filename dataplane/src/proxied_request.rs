//! An admitted request: what its attempts need to know of it.

use std::rc::Rc;
use std::sync::Arc;

use gradepaddle_http::Head;
use gradepaddle_http::buffers::Chain;
use gradepaddle_placement::{Placement, PlacementRequest, Rejection};
use gradepaddle_resources::ConnectionPermit;
use tokio::time::Instant;

use crate::data_plane::DataPlane;
use crate::routing::RoutedRequest;

/// A completely read and admitted request.
pub(crate) struct ProxiedRequest<'a> {
    pub plane: &'a Rc<DataPlane>,
    /// The permit of the client's connection.
    pub permit: &'a ConnectionPermit,
    pub head: &'a Head,
    pub body: &'a Chain,
    pub routed: RoutedRequest,
    /// When its last byte was read.
    pub arrived: Instant,
}

impl ProxiedRequest<'_> {
    /// The time by which its response has to be complete.
    pub fn deadline(&self) -> Instant {
        self.arrived + self.routed.timeout
    }

    /// Has the placer select a server that is not among `tried_servers`. `last_event_id` is the id of the last event that
    /// the client has. The placer counts the attempt as in flight until its end is reported.
    ///
    /// # Errors
    ///
    /// The placer's reason for not selecting a server.
    pub fn select_server(
        &self,
        last_event_id: Option<u64>,
        tried_servers: &[Arc<str>],
    ) -> Result<Placement, Rejection> {
        let now = self.plane.now();
        self.plane.placer.borrow_mut().place(now, &self.placement_request(last_event_id), tried_servers)
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

//! Converts the services of a configuration to the placer's service specifications.

use gradepaddle_config::{Configuration, Service, ServiceKind};
use gradepaddle_placement::{CacheStoreService, ModelService, ServiceSpec};

/// The placer's specifications of all services of a configuration.
pub(crate) fn service_specs(configuration: &Configuration) -> Vec<ServiceSpec> {
    configuration.services.iter().map(service_spec).collect()
}

fn service_spec(service: &Service) -> ServiceSpec {
    match &service.kind {
        ServiceKind::Servers { max_connections, engine, .. } => {
            let spec = ModelService::builder().name(service.name.clone());
            let spec = spec.max_connections(max_connections.unwrap_or(0));
            ServiceSpec::Model(match engine {
                Some(engine) => spec
                    .slots(engine.slots)
                    .cache_tokens(engine.cache_tokens)
                    .token_bytes(engine.token_bytes)
                    .link_mbps(engine.link_mbps)
                    .models(engine.models.clone())
                    .build(),
                None => spec.build(),
            })
        }
        ServiceKind::Store { address, zone, cache_tokens, link_mbps, .. } => ServiceSpec::Store(
            CacheStoreService::builder()
                .name(service.name.clone())
                .address(*address)
                .zone(zone.clone())
                .cache_tokens(*cache_tokens)
                .link_mbps(*link_mbps)
                .build(),
        ),
    }
}

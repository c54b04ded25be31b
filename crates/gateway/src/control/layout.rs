//! Target replicas of a domain.
//!
//! Replicas lose a member every few seconds. Part of the domain stays free as
//! spares, because a replica with a staged spare serves again in seconds, while
//! one without waits for a whole weight load. The rest is filled with the models
//! that have the least capacity for their share of the work.

use citrongw_state::id::ModelId;

use crate::gateway_config::ModelSpec;

/// Share of a domain's instances that stay free as spares: about one in nine. A
/// small domain has one spare for each of two models, and a large one does not
/// leave enough instances idle for another replica.
const SPARE_SHARE: f64 = 0.11;

/// Models of the replicas that a domain with `instances` instances forms. The
/// number of spares is the nearest to their share that whole replicas leave, and
/// at least one for each model if the share is as large.
pub fn layout(models: &[ModelSpec], instances: usize) -> Vec<ModelId> {
    let spares = instances as f64 * SPARE_SHARE;
    let min_spares = (spares.ceil() as usize).min(models.len());
    let mut free = instances;
    let mut counts = vec![0_usize; models.len()];
    loop {
        let distance = |free: usize| (free as f64 - spares).abs();
        let fitting = (0..models.len()).filter(|idx| {
            let size = models[*idx].size;
            0 < size && min_spares + size <= free && distance(free - size) < distance(free)
        });
        // Every model has one replica before any has more.
        let neediest = fitting.min_by(|a, b| {
            let has_one = |idx: usize| counts[idx] != 0;
            let covered = |idx: usize| coverage(&models[idx], counts[idx] + 1);
            has_one(*a).cmp(&has_one(*b)).then(covered(*a).total_cmp(&covered(*b)))
        });
        let Some(idx) = neediest else { break };
        counts[idx] += 1;
        free -= models[idx].size;
    }
    let of_model = |(spec, count): (&ModelSpec, &usize)| vec![spec.model.clone(); *count];
    models.iter().zip(&counts).flat_map(of_model).collect()
}

/// Capacity of `replicas` replicas relative to the model's share of the work.
fn coverage(spec: &ModelSpec, replicas: usize) -> f64 {
    let capacity = replicas as f64 / spec.pace.max(f64::MIN_POSITIVE);
    capacity / spec.share.max(f64::MIN_POSITIVE)
}

#[cfg(test)]
mod tests;

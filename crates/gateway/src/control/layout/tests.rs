use super::*;
use crate::testing::model;

fn counts(models: &[ModelSpec], instances: usize) -> Vec<usize> {
    let layout = layout(models, instances);
    models.iter().map(|it| layout.iter().filter(|model| **model == it.model).count()).collect()
}

#[test]
fn domain_is_filled_except_for_its_spares() {
    let models = [model("large", 6, 1.0, 0.67), model("small", 3, 0.6, 0.33)];
    assert_eq!(counts(&models, 11), [1, 1]);
    assert_eq!(counts(&models, 27), [3, 2]);
    let models = [model("large", 12, 1.0, 0.5), model("small", 6, 0.6, 0.5)];
    assert_eq!(counts(&models, 27), [1, 2], "three spares, and none idle beside them");
    assert_eq!(counts(&models, 2), [0, 0]);
    assert_eq!(counts(&models, 0), [0, 0]);
}

#[test]
fn model_with_the_least_capacity_for_its_share_is_served_first() {
    let models = [model("calm", 2, 1.0, 0.1), model("busy", 2, 1.0, 0.9)];
    assert_eq!(counts(&models, 3), [0, 1]);
    assert_eq!(counts(&models, 5), [1, 1], "each model has one before any has more");
    assert_eq!(counts(&models, 8), [1, 2]);
}

#[test]
fn model_of_size_zero_is_not_placed() {
    assert_eq!(counts(&[model("empty", 0, 1.0, 1.0)], 10), [0]);
}

#[test]
fn large_domain_does_not_leave_a_whole_replica_idle_beside_its_spares() {
    let models = [model("large", 16, 1.0, 0.5), model("small", 4, 0.6, 0.5)];
    assert_eq!(counts(&models, 35), [1, 4], "three spares");
    let models = [model("large", 8, 1.0, 0.5), model("small", 2, 0.6, 0.5)];
    assert_eq!(counts(&models, 18), [1, 4], "two spares");
}

#[test]
fn small_domain_keeps_a_spare_for_each_model_as_it_shrinks_and_grows() {
    let models = [model("large", 6, 1.0, 0.67), model("small", 3, 0.6, 0.33)];
    for (instances, expected) in [(10, [1, 0]), (11, [1, 1]), (13, [1, 1]), (14, [1, 2])] {
        assert_eq!(counts(&models, instances), expected, "{instances} instances");
    }
}

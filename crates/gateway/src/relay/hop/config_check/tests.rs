use super::*;

const KNOWN: KnownConfig = KnownConfig {
    version: 7,
    in_force_for: Duration::from_secs(15),
    is_confirmed: true,
    is_list_current: true,
};

#[test]
fn request_is_served_by_its_sender_s_version_or_a_newer_one() {
    let unconfirmed = KnownConfig { is_confirmed: false, ..KNOWN };
    for (known, stated, may_serve) in [
        (KNOWN, Some(6), true),
        (KNOWN, Some(7), true),
        (KNOWN, Some(8), false),
        (unconfirmed, Some(7), true),
        (unconfirmed, Some(8), false),
        (KNOWN, None, true),
        (unconfirmed, None, false),
    ] {
        assert_eq!(known.may_serve(stated), may_serve, "{known:?} {stated:?}");
    }
}

/// Guards against a request that a gateway of a former build serves by a configuration
/// which its sender knows to be outdated.
#[test]
fn former_build_has_a_configuration_once_all_listed_leases_were_renewed_under_it() {
    assert!(KNOWN.is_shared());
    for known in [
        KnownConfig { in_force_for: Duration::from_millis(14_999), ..KNOWN },
        KnownConfig { is_confirmed: false, ..KNOWN },
        KnownConfig { is_list_current: false, ..KNOWN },
    ] {
        assert!(!known.is_shared(), "{known:?}");
    }
}

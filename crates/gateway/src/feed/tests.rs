use citrongw_state::id::StoreEra;
use quickcheck::{Arbitrary, Gen, QuickCheck};

use super::*;
use crate::testing;

/// What happens to the key-value service and its readers, in random order.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// The operators write the next version.
    Change,
    /// The service is restored from a backup of some versions ago.
    Restore(u8),
    /// The operators write the newest version again.
    Rewrite,
    /// Other writes advance the counter.
    Advance(u8),
    /// The gateway reads the configuration.
    Read,
    /// The response to an earlier read arrives late.
    LateRead(u8),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u8::arbitrary(g) % 40;
        match u8::arbitrary(g) % 10 {
            0..3 => Self::Change,
            3 => Self::Restore(number % 4),
            4 => Self::Rewrite,
            5 => Self::Advance(number),
            6..9 => Self::Read,
            _ => Self::LateRead(number % 4),
        }
    }
}

/// Configuration as stored: its version and revision.
type Stored = (u64, Revision);

#[derive(Debug, Default)]
struct ConfigHistory {
    era: u64,
    counter: u64,
    newest_version: u64,
    /// States in the order of their writes, over all eras.
    states: Vec<Stored>,
}

impl ConfigHistory {
    fn write(&mut self, version: u64) {
        self.counter += 1;
        self.states.push((version, Revision::of_era(StoreEra(self.era), self.counter)));
    }

    fn past(&self, age: u8) -> Option<Stored> {
        self.states.iter().rev().nth(age.into()).copied()
    }

    fn restore(&mut self, age: u8) {
        let Some((version, revision)) = self.past(age) else { return };
        self.era += 1;
        self.counter = revision.number;
        self.states.push((version, Revision { era: StoreEra(self.era), ..revision }));
    }
}

fn read(routing: &RoutingState, stored: Option<Stored>) {
    if let Some((version, revision)) = stored {
        let config = testing::gateway_config(testing::engine(Vec::new()));
        routing.set_config(GatewayConfig { version, revision, ..config });
    }
}

/// Change of the list as a reader sends it that has this configuration.
fn change_of(config: Stored) -> ListChange {
    ListChange {
        revision: config.1,
        config_revision: config.1,
        cluster_digest: 0,
        digest: 0,
        changed: Vec::new(),
        removed: Vec::new(),
        config_version: config.0,
    }
}

fn active_version(routing: &RoutingState) -> u64 {
    routing.active_config.load().as_ref().map_or(0, |it| it.version)
}

fn configuration_only_advances(events: Vec<Event>) -> bool {
    let routing = open();
    let mut history = ConfigHistory::default();
    for event in events {
        let before = active_version(&routing);
        match event {
            Event::Change => {
                history.newest_version += 3;
                history.write(history.newest_version);
            }
            Event::Restore(age) => history.restore(age),
            Event::Rewrite => history.write(history.newest_version),
            Event::Advance(count) => history.counter += u64::from(count),
            Event::Read => read(&routing, history.past(0)),
            Event::LateRead(age) => read(&routing, history.past(age)),
        }
        if active_version(&routing) < before {
            return false;
        }
    }
    history.write(history.newest_version);
    read(&routing, history.past(0));
    active_version(&routing) == history.newest_version
}

#[test]
fn configuration_never_goes_back_and_the_newest_is_in_force_once_it_is_read() {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(60, 1)).tests(2_000);
    check.quickcheck(configuration_only_advances as fn(Vec<Event>) -> bool);
}

#[test]
fn configuration_of_a_backup_is_not_used_if_the_list_reader_has_a_newer_one() {
    let later = |number| Revision::of_era(StoreEra(1), number);
    let cases = [
        // The gateway started after the restore, and the reader did before it.
        ((7, later(150)), (9, Revision::new(260)), 0),
        ((7, later(150)), (9, later(150)), 0),
        // The gateway has not read the change yet.
        ((7, later(150)), (9, later(151)), 7),
        ((7, Revision::new(150)), (9, Revision::new(151)), 7),
        // The gateway has read a change before the reader.
        ((9, later(151)), (7, later(150)), 9),
    ];
    for (own, of_reader, version) in cases {
        let routing = open();
        read(&routing, Some(own));
        routing.queue_change(NodeId(1), change_of(of_reader), Time::START);
        assert_eq!(active_version(&routing), version, "{own:?} {of_reader:?}");
        read(&routing, Some(own));
        assert_eq!(active_version(&routing), version, "{own:?} {of_reader:?}");
        read(&routing, Some((9, later(160))));
        assert_eq!(active_version(&routing), 9);
    }
}

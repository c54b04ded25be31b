//! Calls of the nodes to the service and to the engines, with what may happen
//! to each on its way.

use std::{sync::Arc, time::Duration};

use citrongw_coordination::control::domain::{
    Action, Event, ForeignReadPurpose, OrderCall, RecordWrite, WriteOutcome,
};
use citrongw_protocol::engine::{Order, OrderReply};
use citrongw_state::id::{Epoch, FabricDomainId, Revision};
use rand::Rng;

use super::{
    CALL_MOST_MS, CALL_TIMEOUT, Happening, World,
    variant::{self, Variant},
};

impl World {
    pub(super) fn act(&mut self, idx: usize, actions: Vec<(FabricDomainId, Action)>) {
        for (domain, action) in actions {
            match action {
                Action::Read => self.read(idx, domain),
                Action::Write(write) => self.send_write(idx, domain, write),
                Action::ReadForeign(other, why) => self.read_other(idx, domain, &other, why),
                Action::WriteForeign(replica, write) => {
                    let at = self.now + self.call_time(idx);
                    let reaches = !self.nodes[idx].cut_from_store;
                    if reaches {
                        self.queue.push(at, Happening::Claim(idx, domain, replica, write));
                    } else {
                        self.tell_later(idx, domain, Event::ForeignWritten(replica));
                    }
                }
                Action::Order(call) => self.send_order(idx, domain, call),
                Action::Publish(_) | Action::LogDecision(_) => {}
            }
        }
    }

    fn read(&mut self, idx: usize, domain: FabricDomainId) {
        self.store.reads += 1;
        let lost = self.nodes[idx].cut_from_store || self.store.is_down() || self.reply_lost();
        let event = if lost { Event::ReadFailed } else { Event::Read(self.store.get(&domain)) };
        self.answer(idx, domain, event, lost);
    }

    fn read_other(
        &mut self,
        idx: usize,
        domain: FabricDomainId,
        other: &FabricDomainId,
        why: ForeignReadPurpose,
    ) {
        self.store.reads += 1;
        if self.nodes[idx].cut_from_store || self.store.is_down() || self.reply_lost() {
            return;
        }
        let mut found = self.store.get(other);
        if self.settings.variant == Variant::ClaimsUnchecked
            && let ForeignReadPurpose::Claim(replica) = &why
            && let Some((record, _)) = &mut found
        {
            let members = self.nodes[idx].pending_members(&domain, *replica);
            *record = Arc::new(variant::grant_all(record, *replica, &domain, members));
        }
        self.answer(idx, domain, Event::ForeignRead(why, found), false);
    }

    fn send_write(&mut self, idx: usize, domain: FabricDomainId, write: RecordWrite) {
        let reply_lost = self.reply_lost();
        if self.nodes[idx].cut_from_store {
            let lost = Event::Written(write.record.attempt, WriteOutcome::Uncertain);
            self.answer(idx, domain, lost, true);
            return;
        }
        let mut at = self.now + self.call_time(idx);
        if reply_lost && self.rng.random_bool(0.3) {
            // The write lands long after its sender gave it up.
            at = at + Duration::from_millis(self.rng.random_range(1_000..8_000));
            let lost = Event::Written(write.record.attempt, WriteOutcome::Uncertain);
            self.answer(idx, domain.clone(), lost, true);
        }
        self.queue.push(at, Happening::Write(idx, domain, write, reply_lost));
    }

    pub(super) fn write(
        &mut self,
        idx: usize,
        domain: FabricDomainId,
        write: &RecordWrite,
        lost: bool,
    ) {
        let attempt = write.record.attempt;
        if self.store.is_down() {
            self.answer(idx, domain, Event::Written(attempt, WriteOutcome::Uncertain), true);
            return;
        }
        let outcome = match self.commit(write) {
            Some(revision) => WriteOutcome::Committed(revision),
            None => WriteOutcome::Conflict(self.store.get(&domain)),
        };
        let outcome = if lost { WriteOutcome::Uncertain } else { outcome };
        self.answer(idx, domain, Event::Written(attempt, outcome), lost);
    }

    pub(super) fn commit(&mut self, write: &RecordWrite) -> Option<Revision> {
        let blind = self.settings.variant == Variant::BlindWrites;
        let revision = self.store.compare_and_swap(write, blind)?;
        if self.settings.checked {
            self.checker.commit(&self.store, self.now);
        }
        for idx in 0..self.nodes.len() {
            let delay = Duration::from_millis(self.rng.random_range(1..CALL_MOST_MS));
            let learned = Happening::Record(idx, write.domain.clone(), revision);
            self.queue.push(self.now + delay, learned);
        }
        Some(revision)
    }

    fn send_order(&mut self, idx: usize, domain: FabricDomainId, call: OrderCall) {
        let truth = call.order.epoch;
        if self.nodes[idx].cut_from_engines {
            return;
        }
        let mut at = self.now + Duration::from_millis(self.rng.random_range(1..CALL_MOST_MS));
        if 0.0 < self.settings.late_orders && self.rng.random_bool(self.settings.late_orders) {
            at = at + Duration::from_millis(self.rng.random_range(1_000..30_000));
        }
        self.queue.push(at, Happening::Order(idx, domain, call, truth));
    }

    pub(super) fn order(
        &mut self,
        idx: usize,
        domain: FabricDomainId,
        call: &OrderCall,
        truth: Epoch,
    ) {
        let Some(place) = self.engines.iter().position(|it| it.listed.id == call.instance) else {
            return;
        };
        if !self.engines[place].answers() {
            return;
        }
        let mut order = call.order.clone();
        let mut reply = self.carry_out(place, &order, truth);
        if self.settings.variant == Variant::RaisesRefusedEpoch
            && let OrderReply::OldEpoch { seen } = reply
        {
            order.epoch = seen;
            reply = self.carry_out(place, &order, truth);
        }
        self.tell_later(idx, domain, Event::OrderReplied(call.instance.clone(), reply));
    }

    fn carry_out(&mut self, place: usize, order: &Order, truth: Epoch) -> OrderReply {
        let engine = &mut self.engines[place];
        engine.touch(self.now);
        let reply = engine.orders.execute(order);
        if reply == OrderReply::Taken {
            self.checker.carried_out(engine, truth, self.now);
            self.renew_load(place);
        }
        reply
    }

    fn answer(&mut self, idx: usize, domain: FabricDomainId, event: Event, lost: bool) {
        let delay = if lost { CALL_TIMEOUT } else { self.call_time(idx) };
        self.queue.push(self.now + delay, Happening::Told(idx, domain, event));
    }

    pub(super) fn tell_later(&mut self, idx: usize, domain: FabricDomainId, event: Event) {
        let delay = self.call_time(idx);
        self.queue.push(self.now + delay, Happening::Told(idx, domain, event));
    }

    fn call_time(&mut self, _idx: usize) -> Duration {
        let slow = if self.store.slow { 50 } else { 1 };
        Duration::from_millis(self.rng.random_range(1..CALL_MOST_MS) * slow)
    }

    fn reply_lost(&mut self) -> bool {
        0.0 < self.store.lost_replies && self.rng.random_bool(self.store.lost_replies)
    }
}

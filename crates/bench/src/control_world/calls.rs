//! Calls from the nodes to the store and to the engines, with the faults that
//! can affect each call in transit.

use std::{sync::Arc, time::Duration};

use citrongw_coordination::control::domain::{
    Action, Event, ForeignReadPurpose, OrderCall, RecordWrite, WriteOutcome,
};
use citrongw_protocol::engine::{Order, OrderReply};
use citrongw_state::id::{Epoch, FabricDomainId, Revision};
use rand::Rng;

use super::{
    CALL_TIMEOUT, MAX_CALL_MS, World, WorldEvent,
    variant::{self, Variant},
};

impl World {
    pub(super) fn act(&mut self, idx: usize, actions: Vec<(FabricDomainId, Action)>) {
        for (domain, action) in actions {
            match action {
                Action::Read => self.read(idx, domain),
                Action::Write(write) => self.send_write(idx, domain, write),
                Action::ReadForeign(other, why) => self.read_foreign(idx, domain, &other, why),
                Action::WriteForeign(replica, write) => {
                    let at = self.now + self.call_time(idx);
                    let reaches = !self.nodes[idx].cut_from_store;
                    if reaches {
                        self.queue.push(at, WorldEvent::Claim(idx, domain, replica, write));
                    } else {
                        self.deliver_later(idx, domain, Event::ForeignWritten(replica));
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
        self.reply(idx, domain, event, lost);
    }

    fn read_foreign(
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
        self.reply(idx, domain, Event::ForeignRead(why, found), false);
    }

    fn send_write(&mut self, idx: usize, domain: FabricDomainId, write: RecordWrite) {
        let reply_lost = self.reply_lost();
        if self.nodes[idx].cut_from_store {
            let uncertain = Event::Written(write.record.attempt, WriteOutcome::Uncertain);
            self.reply(idx, domain, uncertain, true);
            return;
        }
        let mut at = self.now + self.call_time(idx);
        if reply_lost && self.rng.random_bool(0.3) {
            // The write is applied long after its sender timed out.
            at = at + Duration::from_millis(self.rng.random_range(1_000..8_000));
            let uncertain = Event::Written(write.record.attempt, WriteOutcome::Uncertain);
            self.reply(idx, domain.clone(), uncertain, true);
        }
        self.queue.push(at, WorldEvent::Write(idx, domain, write, reply_lost));
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
            self.reply(idx, domain, Event::Written(attempt, WriteOutcome::Uncertain), true);
            return;
        }
        let outcome = match self.commit(write) {
            Some(revision) => WriteOutcome::Committed(revision),
            None => WriteOutcome::Conflict(self.store.get(&domain)),
        };
        let outcome = if lost { WriteOutcome::Uncertain } else { outcome };
        self.reply(idx, domain, Event::Written(attempt, outcome), lost);
    }

    pub(super) fn commit(&mut self, write: &RecordWrite) -> Option<Revision> {
        let blind = self.settings.variant == Variant::BlindWrites;
        let revision = self.store.compare_and_swap(write, blind)?;
        if self.settings.checked {
            self.checker.check_records(&self.store, self.now);
        }
        for idx in 0..self.nodes.len() {
            let delay = Duration::from_millis(self.rng.random_range(1..MAX_CALL_MS));
            let learned = WorldEvent::Record(idx, write.domain.clone(), revision);
            self.queue.push(self.now + delay, learned);
        }
        Some(revision)
    }

    fn send_order(&mut self, idx: usize, domain: FabricDomainId, call: OrderCall) {
        let record_epoch = call.order.epoch;
        if self.nodes[idx].cut_from_engines {
            return;
        }
        let mut at = self.now + Duration::from_millis(self.rng.random_range(1..MAX_CALL_MS));
        if 0.0 < self.settings.late_orders && self.rng.random_bool(self.settings.late_orders) {
            at = at + Duration::from_millis(self.rng.random_range(1_000..30_000));
        }
        self.queue.push(at, WorldEvent::Order(idx, domain, call, record_epoch));
    }

    pub(super) fn order(
        &mut self,
        idx: usize,
        domain: FabricDomainId,
        call: &OrderCall,
        record_epoch: Epoch,
    ) {
        let Some(place) = self.engines.iter().position(|it| it.listed.id == call.instance) else {
            return;
        };
        if !self.engines[place].is_responsive() {
            return;
        }
        let mut order = call.order.clone();
        let mut reply = self.carry_out(place, &order, record_epoch);
        if self.settings.variant == Variant::RaisesRefusedEpoch
            && let OrderReply::OldEpoch { seen } = reply
        {
            order.epoch = seen;
            reply = self.carry_out(place, &order, record_epoch);
        }
        self.deliver_later(idx, domain, Event::OrderReplied(call.instance.clone(), reply));
    }

    fn carry_out(&mut self, place: usize, order: &Order, record_epoch: Epoch) -> OrderReply {
        let engine = &mut self.engines[place];
        engine.touch(self.now);
        let reply = engine.orders.execute(order);
        if reply == OrderReply::Taken {
            self.checker.record_order(engine, record_epoch, self.now);
            self.update_load(place);
        }
        reply
    }

    fn reply(&mut self, idx: usize, domain: FabricDomainId, event: Event, lost: bool) {
        let delay = if lost { CALL_TIMEOUT } else { self.call_time(idx) };
        self.queue.push(self.now + delay, WorldEvent::ControlEvent(idx, domain, event));
    }

    pub(super) fn deliver_later(&mut self, idx: usize, domain: FabricDomainId, event: Event) {
        let delay = self.call_time(idx);
        self.queue.push(self.now + delay, WorldEvent::ControlEvent(idx, domain, event));
    }

    fn call_time(&mut self, _idx: usize) -> Duration {
        let slow = if self.store.slow { 50 } else { 1 };
        Duration::from_millis(self.rng.random_range(1..MAX_CALL_MS) * slow)
    }

    fn reply_lost(&mut self) -> bool {
        0.0 < self.store.lost_replies && self.rng.random_bool(self.store.lost_replies)
    }
}

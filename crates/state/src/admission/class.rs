//! Priority class with start-time fair queueing between organisations.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::Arrival;
use crate::id::OrganisationId;

/// Virtual time of one unit of cost at weight one.
const VIRTUAL_PER_COST: u64 = 1024;

/// Queued requests of one class.
#[derive(Debug)]
pub(super) struct Class<T> {
    /// Virtual time: the start tag of the request served last.
    virtual_now: u64,
    lanes: BTreeMap<OrganisationId, Lane<T>>,
    /// Lanes with requests, ordered by the start tag of their first request.
    order: BTreeSet<(u64, OrganisationId)>,
    len: usize,
    cost: u64,
    bytes: u64,
}

/// Queued requests of one organisation.
#[derive(Debug)]
struct Lane<T> {
    weight: u64,
    /// Finish tag of the last request.
    finish: u64,
    entries: VecDeque<Entry<T>>,
    cost: u64,
}

#[derive(Debug)]
struct Entry<T> {
    number: u64,
    start: u64,
    arrival: Arrival,
    item: T,
}

impl<T> Default for Class<T> {
    fn default() -> Self {
        Self {
            virtual_now: 0,
            lanes: BTreeMap::new(),
            order: BTreeSet::new(),
            len: 0,
            cost: 0,
            bytes: 0,
        }
    }
}

impl<T> Class<T> {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn cost(&self) -> u64 {
        self.cost
    }

    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(super) fn add(&mut self, number: u64, arrival: Arrival, item: T) {
        let virtual_now = self.virtual_now;
        let id = arrival.organisation.clone();
        let lane = self.lane(&arrival);
        let start = lane.finish.max(virtual_now);
        lane.finish = start + virtual_cost(&arrival, lane.weight);
        let is_first = lane.entries.is_empty();
        self.count_in(&arrival);
        let lane = self.lane(&arrival);
        lane.entries.push_back(Entry { number, start, arrival, item });
        if is_first {
            self.order.insert((start, id));
        }
    }

    /// Adds a request at the head of its organisation's lane, with the start
    /// tag of the request served last, so that it is served next.
    pub(super) fn put_back(&mut self, number: u64, arrival: Arrival, item: T) {
        let start = self.virtual_now;
        let id = arrival.organisation.clone();
        self.count_in(&arrival);
        let lane = self.lane(&arrival);
        let old = lane.entries.front().map(|it| it.start);
        lane.finish = lane.finish.max(start + virtual_cost(&arrival, lane.weight));
        lane.entries.push_front(Entry { number, start, arrival, item });
        if let Some(old) = old {
            self.order.remove(&(old, id.clone()));
        }
        self.order.insert((start, id));
    }

    pub(super) fn take(&mut self) -> Option<(Arrival, T)> {
        let (start, id) = self.order.pop_first()?;
        self.virtual_now = self.virtual_now.max(start);
        let lane = self.lanes.get_mut(&id)?;
        let entry = lane.entries.pop_front()?;
        if let Some(next) = lane.entries.front() {
            self.order.insert((next.start, id));
        }
        self.count_out(&entry.arrival);
        self.drop_idle_lane(&entry.arrival.organisation);
        Some((entry.arrival, entry.item))
    }

    pub(super) fn remove(&mut self, id: &OrganisationId, number: u64) -> Option<T> {
        let lane = self.lanes.get_mut(id)?;
        let place = lane.entries.iter().position(|it| it.number == number)?;
        let entry = lane.entries.remove(place)?;
        if place == 0 {
            self.order.remove(&(entry.start, id.clone()));
            if let Some(next) = lane.entries.front() {
                self.order.insert((next.start, id.clone()));
            }
        }
        self.count_out(&entry.arrival);
        self.drop_idle_lane(id);
        Some(entry.item)
    }

    /// Cost served before a new request of the arrival's organisation.
    pub(super) fn cost_ahead(&self, arrival: &Arrival) -> u64 {
        let own_weight = u64::from(arrival.weight.max(1));
        let own = self.lanes.get(&arrival.organisation).map_or(0, |it| it.cost);
        let through_own = own + arrival.cost.0;
        let ahead =
            |lane: &Lane<T>| lane.cost.min(through_own.saturating_mul(lane.weight) / own_weight);
        // The organisation's own queued cost is always ahead.
        let of_own = self.lanes.get(&arrival.organisation).map_or(0, ahead);
        let of_all: u64 = self.lanes.values().map(ahead).sum();
        of_all - of_own + own
    }

    /// Removes the newest request of the lane with the highest cost per weight.
    pub(super) fn displace_any(&mut self) -> Option<T> {
        let id = self.largest_lane()?;
        self.drop_newest(&id)
    }

    /// Removes the newest request of the lane with the highest cost per weight,
    /// if that exceeds the cost per weight of the arrival's lane including the
    /// arrival.
    pub(super) fn displace_for(&mut self, arrival: &Arrival) -> Option<T> {
        let id = self.largest_lane()?;
        let own = self.lanes.get(&arrival.organisation).map_or(0, |it| it.cost);
        let own = (own + arrival.cost.0).saturating_mul(VIRTUAL_PER_COST)
            / u64::from(arrival.weight.max(1));
        let largest = self.lanes.get(&id).map_or(0, cost_per_weight);
        if id == arrival.organisation || largest <= own {
            return None;
        }
        self.drop_newest(&id)
    }

    fn largest_lane(&self) -> Option<OrganisationId> {
        let busy = self.order.iter().filter_map(|(_, id)| Some((id, self.lanes.get(id)?)));
        busy.max_by_key(|(_, lane)| cost_per_weight(lane)).map(|(id, _)| id.clone())
    }

    fn drop_newest(&mut self, id: &OrganisationId) -> Option<T> {
        let lane = self.lanes.get_mut(id)?;
        let entry = lane.entries.pop_back()?;
        lane.finish = entry.start;
        if lane.entries.is_empty() {
            self.order.remove(&(entry.start, id.clone()));
        }
        self.count_out(&entry.arrival);
        self.drop_idle_lane(id);
        Some(entry.item)
    }

    fn lane(&mut self, arrival: &Arrival) -> &mut Lane<T> {
        let weight = u64::from(arrival.weight.max(1));
        let lane = self.lanes.entry(arrival.organisation.clone()).or_insert_with(|| Lane {
            weight,
            finish: 0,
            entries: VecDeque::new(),
            cost: 0,
        });
        lane.weight = weight;
        lane
    }

    /// Removes the lane of an organisation that has no requests and whose
    /// finish tag has been reached.
    fn drop_idle_lane(&mut self, id: &OrganisationId) {
        let virtual_now = self.virtual_now;
        let is_idle = |lane: &Lane<T>| lane.entries.is_empty() && lane.finish <= virtual_now;
        if self.lanes.get(id).is_some_and(is_idle) {
            self.lanes.remove(id);
        }
        if self.len == 0 {
            self.lanes.clear();
            self.virtual_now = 0;
        }
    }

    fn count_in(&mut self, arrival: &Arrival) {
        self.len += 1;
        self.cost += arrival.cost.0;
        self.bytes += arrival.size.0;
        self.lane(arrival).cost += arrival.cost.0;
    }

    fn count_out(&mut self, arrival: &Arrival) {
        self.len -= 1;
        self.cost -= arrival.cost.0;
        self.bytes -= arrival.size.0;
        if let Some(lane) = self.lanes.get_mut(&arrival.organisation) {
            lane.cost -= arrival.cost.0;
        }
    }
}

/// Virtual time that a request consumes.
fn virtual_cost(arrival: &Arrival, weight: u64) -> u64 {
    arrival.cost.0.max(1).saturating_mul(VIRTUAL_PER_COST) / weight
}

/// Queued cost of a lane per weight, in virtual time.
fn cost_per_weight<T>(lane: &Lane<T>) -> u64 {
    lane.cost.saturating_mul(VIRTUAL_PER_COST) / lane.weight
}

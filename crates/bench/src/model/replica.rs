//! A replica that batches continuously and caches prompt prefixes.
//!
//! Requests wait for a place in the batch, then for the prefill, which takes
//! one prompt at a time; then all streams of the batch advance together, the
//! slower the more there are. Streams are not stepped token by token: the
//! model keeps how many tokens each stream of the batch has been given so far.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
};

/// Speed and size of a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaSettings {
    /// Streams in the batch, at most.
    pub batch: usize,
    /// Time between tokens of a single stream.
    pub between_tokens_ms: f64,
    /// Time added by each further stream.
    pub per_stream_ms: f64,
    /// Prompt tokens prefilled a second.
    pub prefill_tokens_per_s: f64,
    /// Prefixes kept in the cache.
    pub cached_prefixes: usize,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            batch: 128,
            between_tokens_ms: 14.0,
            per_stream_ms: 0.2,
            prefill_tokens_per_s: 40_000.0,
            cached_prefixes: 150,
        }
    }
}

impl ReplicaSettings {
    /// Requests a second of a full batch, at so many tokens each.
    pub fn capacity_per_s(&self, mean_tokens: f64) -> f64 {
        let between_tokens_s = self.between_tokens_s(self.batch);
        self.batch as f64 / (mean_tokens * between_tokens_s)
    }

    fn between_tokens_s(&self, streams: usize) -> f64 {
        (self.between_tokens_ms + self.per_stream_ms * streams as f64) / 1000.0
    }
}

/// Request on a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// Number of the request.
    pub id: u64,
    /// Its prefix.
    pub prefix: u64,
    /// Prompt tokens of the prefix.
    pub prefix_tokens: u32,
    /// Prompt tokens after it.
    pub prompt_tokens: u32,
    /// Tokens to generate.
    pub tokens: u32,
}

/// What happened to a request on a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Happened {
    /// Its first token came.
    FirstToken {
        /// The request.
        id: u64,
        /// When, in seconds.
        at_s: f64,
        /// Whether its prefix was cached.
        hit: bool,
    },
    /// Its last token came.
    Finished {
        /// The request.
        id: u64,
        /// When, in seconds.
        at_s: f64,
    },
}

/// Stream in the batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Stream {
    /// Tokens given to the batch when this one ends, in millionths.
    ends_at: u64,
    id: u64,
}

#[derive(Debug, Clone, Copy)]
struct Prefill {
    job: Job,
    ends_at_s: f64,
    hit: bool,
}

/// Tokens given at one speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Time between tokens.
    pub between_tokens_s: f64,
    /// Tokens of all streams.
    pub tokens: f64,
}

/// Steps of a token.
const MICRO: f64 = 1_000_000.0;
/// Error of times that were added up.
const ROUNDING_S: f64 = 1e-6;

/// One replica.
#[derive(Debug)]
pub struct ReplicaModel {
    settings: ReplicaSettings,
    /// How many times slower than it should be.
    slowness: f64,
    waiting: VecDeque<Job>,
    prefills: VecDeque<Prefill>,
    prefill_free_at_s: f64,
    streams: BinaryHeap<Reverse<Stream>>,
    cancelled: BTreeSet<u64>,
    given: f64,
    given_at_s: f64,
    cache: BTreeMap<u64, u64>,
    uses: u64,
    paces: Vec<Pace>,
}

/// Makes an idle replica.
pub fn open(settings: ReplicaSettings) -> ReplicaModel {
    ReplicaModel {
        settings,
        slowness: 1.0,
        waiting: VecDeque::new(),
        prefills: VecDeque::new(),
        prefill_free_at_s: 0.0,
        streams: BinaryHeap::new(),
        cancelled: BTreeSet::new(),
        given: 0.0,
        given_at_s: 0.0,
        cache: BTreeMap::new(),
        uses: 0,
        paces: Vec::new(),
    }
}

impl ReplicaModel {
    /// Makes it slower or as fast as it should be.
    pub fn set_slowness(&mut self, slowness: f64, at_s: f64) {
        self.give(at_s);
        self.slowness = slowness;
    }

    /// Requests in the batch.
    pub fn running(&self) -> usize {
        self.prefills.len() + self.streams.len() - self.cancelled.len()
    }

    /// Requests that wait for the batch.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Time between tokens at present.
    pub fn between_tokens_s(&self) -> f64 {
        self.settings.between_tokens_s(self.running()) * self.slowness
    }

    /// Speeds at which tokens were given since the last call.
    pub fn take_paces(&mut self) -> Vec<Pace> {
        std::mem::take(&mut self.paces)
    }

    /// Takes a request.
    pub fn enter(&mut self, job: Job, at_s: f64) {
        self.give(at_s);
        self.waiting.push_back(job);
        self.fill_batch(at_s);
    }

    /// Drops a request that nobody wants any more.
    pub fn cancel(&mut self, id: u64, at_s: f64) {
        self.give(at_s);
        if let Some(place) = self.waiting.iter().position(|it| it.id == id) {
            self.waiting.remove(place);
            return;
        }
        if let Some(place) = self.prefills.iter().position(|it| it.job.id == id) {
            self.prefills.remove(place);
        } else if self.streams.iter().any(|it| it.0.id == id) {
            self.cancelled.insert(id);
        }
        self.fill_batch(at_s);
    }

    /// Loses everything; gives the requests that were on it.
    pub fn crash(&mut self, at_s: f64) -> Vec<u64> {
        let waiting = self.waiting.drain(..).map(|it| it.id);
        let prefills = self.prefills.drain(..).map(|it| it.job.id);
        let streams = self.streams.drain().map(|it| it.0.id);
        let mut lost: Vec<u64> = waiting.chain(prefills).chain(streams).collect();
        lost.retain(|id| !self.cancelled.contains(id));
        lost.sort_unstable();
        self.cancelled.clear();
        self.cache.clear();
        self.prefill_free_at_s = at_s;
        lost
    }

    /// When to let time pass next, unless a request enters before. Never
    /// before what happens then, however the caller rounds.
    pub fn wake_at_s(&self) -> Option<f64> {
        self.next_at_s().map(|it| it + ROUNDING_S)
    }

    fn next_at_s(&self) -> Option<f64> {
        let prefill = self.prefills.front().map(|it| it.ends_at_s);
        let stream = self.streams.peek().map(|it| self.stream_ends_at_s(it.0));
        match (prefill, stream) {
            (Some(prefill), Some(stream)) => Some(prefill.min(stream)),
            (only, None) | (None, only) => only,
        }
    }

    /// Lets time pass; adds what happened to `happened`.
    pub fn advance(&mut self, to_s: f64, happened: &mut Vec<Happened>) {
        while let Some(at_s) = self.next_at_s().filter(|it| *it <= to_s) {
            self.give(at_s);
            self.end_prefill(at_s, happened);
            self.end_stream(at_s, happened);
            self.fill_batch(at_s);
        }
        self.give(to_s);
    }

    fn end_prefill(&mut self, at_s: f64, happened: &mut Vec<Happened>) {
        let is_done = self.prefills.front().is_some_and(|it| it.ends_at_s <= at_s);
        if !is_done {
            return;
        }
        let Some(prefill) = self.prefills.pop_front() else { return };
        let id = prefill.job.id;
        happened.push(Happened::FirstToken { id, at_s, hit: prefill.hit });
        let ends_at = ((self.given + f64::from(prefill.job.tokens)) * MICRO) as u64;
        self.streams.push(Reverse(Stream { ends_at, id }));
    }

    fn end_stream(&mut self, at_s: f64, happened: &mut Vec<Happened>) {
        let Some(Reverse(first)) = self.streams.peek().copied() else { return };
        if at_s + ROUNDING_S < self.stream_ends_at_s(first) {
            return;
        }
        self.streams.pop();
        if !self.cancelled.remove(&first.id) {
            happened.push(Happened::Finished { id: first.id, at_s });
        }
    }

    fn stream_ends_at_s(&self, stream: Stream) -> f64 {
        let left = (stream.ends_at as f64 / MICRO - self.given).max(0.0);
        self.given_at_s + left * self.between_tokens_s()
    }

    /// Gives the batch the tokens of the time since the last call.
    fn give(&mut self, at_s: f64) {
        let passed_s = at_s - self.given_at_s;
        if passed_s <= 0.0 {
            return;
        }
        let between_tokens_s = self.between_tokens_s();
        let given = passed_s / between_tokens_s;
        let streams = self.streams.len() - self.cancelled.len();
        if 0 < streams {
            self.paces.push(Pace { between_tokens_s, tokens: given * streams as f64 });
        }
        self.given += given;
        self.given_at_s = at_s;
    }

    fn fill_batch(&mut self, at_s: f64) {
        while self.running() < self.settings.batch {
            let Some(job) = self.waiting.pop_front() else { return };
            let hit = self.use_cache(job.prefix);
            let tokens = job.prompt_tokens + if hit { 0 } else { job.prefix_tokens };
            let took_s = f64::from(tokens) / self.settings.prefill_tokens_per_s * self.slowness;
            let ends_at_s = self.prefill_free_at_s.max(at_s) + took_s;
            self.prefill_free_at_s = ends_at_s;
            self.prefills.push_back(Prefill { job, ends_at_s, hit });
        }
    }

    /// Notes the use of a prefix; the one unused for longest gives way.
    fn use_cache(&mut self, prefix: u64) -> bool {
        self.uses += 1;
        let hit = self.cache.insert(prefix, self.uses).is_some();
        if self.settings.cached_prefixes < self.cache.len() {
            let oldest = self.cache.iter().min_by_key(|(_, used)| **used).map(|(id, _)| *id);
            oldest.map(|id| self.cache.remove(&id));
        }
        hit
    }
}

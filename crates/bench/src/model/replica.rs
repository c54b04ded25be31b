//! Model of a replica with continuous batching and a prompt prefix cache.
//!
//! Requests wait for a slot in the batch, then for prefill, which processes one
//! prompt at a time. After that all streams of the batch decode together, and
//! decoding slows down as streams are added. The model doesn't step streams
//! token by token: it counts the tokens generated per stream so far and derives
//! completion times from that count.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
};

/// Speed and capacity of a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaSettings {
    /// Maximum number of streams in the batch.
    pub batch: usize,
    /// Base time between tokens, in milliseconds.
    pub between_tokens_ms: f64,
    /// Time added per stream in the batch, in milliseconds.
    pub per_stream_ms: f64,
    /// Prefill throughput in prompt tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Number of prefixes that the cache holds.
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
    /// Requests per second of a full batch, at `mean_tokens` per response.
    pub fn capacity_per_s(&self, mean_tokens: f64) -> f64 {
        let between_tokens_s = self.between_tokens_s(self.batch);
        self.batch as f64 / (mean_tokens * between_tokens_s)
    }

    fn between_tokens_s(&self, streams: usize) -> f64 {
        (self.between_tokens_ms + self.per_stream_ms * streams as f64) / 1000.0
    }
}

/// Request submitted to a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// Request number, unique within a run.
    pub id: u64,
    /// Index of the prompt prefix.
    pub prefix: u64,
    /// Prompt tokens in the prefix.
    pub prefix_tokens: u32,
    /// Prompt tokens after the prefix.
    pub prompt_tokens: u32,
    /// Number of tokens to generate.
    pub tokens: u32,
}

/// Progress of a request on a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ReplicaEvent {
    /// The first token was generated.
    FirstToken {
        /// Request number.
        id: u64,
        /// Simulated time in seconds.
        at_s: f64,
        /// Whether the prefix was cached.
        hit: bool,
    },
    /// The last token was generated.
    Finished {
        /// Request number.
        id: u64,
        /// Simulated time in seconds.
        at_s: f64,
    },
}

/// Decoding stream in the batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Stream {
    /// Value of the generated-token counter at which this stream ends, in
    /// millionths of a token.
    ends_at: u64,
    id: u64,
}

#[derive(Debug, Clone, Copy)]
struct Prefill {
    job: Job,
    ends_at_s: f64,
    hit: bool,
}

/// Tokens generated at one decoding speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenInterval {
    /// Time between tokens in seconds.
    pub between_tokens_s: f64,
    /// Tokens generated, summed over all streams.
    pub tokens: f64,
}

const MICROTOKENS_PER_TOKEN: f64 = 1_000_000.0;
/// Tolerance for accumulated rounding errors, in seconds.
const ROUNDING_S: f64 = 1e-6;

/// Simulated replica.
#[derive(Debug)]
pub struct ReplicaModel {
    settings: ReplicaSettings,
    /// Factor by which the replica is slower than normal.
    slowness: f64,
    waiting: VecDeque<Job>,
    prefills: VecDeque<Prefill>,
    prefill_free_at_s: f64,
    streams: BinaryHeap<Reverse<Stream>>,
    cancelled: BTreeSet<u64>,
    generated: f64,
    generated_until_s: f64,
    cache: BTreeMap<u64, u64>,
    uses: u64,
    token_intervals: Vec<TokenInterval>,
}

/// Creates an idle replica.
pub fn open(settings: ReplicaSettings) -> ReplicaModel {
    ReplicaModel {
        settings,
        slowness: 1.0,
        waiting: VecDeque::new(),
        prefills: VecDeque::new(),
        prefill_free_at_s: 0.0,
        streams: BinaryHeap::new(),
        cancelled: BTreeSet::new(),
        generated: 0.0,
        generated_until_s: 0.0,
        cache: BTreeMap::new(),
        uses: 0,
        token_intervals: Vec::new(),
    }
}

impl ReplicaModel {
    /// Sets the slowdown factor; 1.0 is normal speed.
    pub fn set_slowness(&mut self, slowness: f64, at_s: f64) {
        self.advance_tokens(at_s);
        self.slowness = slowness;
    }

    /// Number of requests in the batch.
    pub fn running(&self) -> usize {
        self.prefills.len() + self.streams.len() - self.cancelled.len()
    }

    /// Number of requests waiting for a slot in the batch.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Current time between tokens, in seconds.
    pub fn between_tokens_s(&self) -> f64 {
        self.settings.between_tokens_s(self.running()) * self.slowness
    }

    /// Returns the decoding speeds since the previous call, with the tokens
    /// generated at each.
    pub fn take_token_intervals(&mut self) -> Vec<TokenInterval> {
        std::mem::take(&mut self.token_intervals)
    }

    /// Adds a request to the queue.
    pub fn submit(&mut self, job: Job, at_s: f64) {
        self.advance_tokens(at_s);
        self.waiting.push_back(job);
        self.fill_batch(at_s);
    }

    /// Removes a cancelled request.
    pub fn cancel(&mut self, id: u64, at_s: f64) {
        self.advance_tokens(at_s);
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

    /// Clears all state as a crash does, and returns the requests that were
    /// lost.
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

    /// Time at which to call `advance` next, unless a request is submitted
    /// earlier. The result is never before the next event, whatever rounding
    /// the caller applies.
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

    /// Advances simulated time to `to_s` and appends the resulting events to `events`.
    pub fn advance(&mut self, to_s: f64, events: &mut Vec<ReplicaEvent>) {
        while let Some(at_s) = self.next_at_s().filter(|it| *it <= to_s) {
            self.advance_tokens(at_s);
            self.end_prefill(at_s, events);
            self.end_stream(at_s, events);
            self.fill_batch(at_s);
        }
        self.advance_tokens(to_s);
    }

    fn end_prefill(&mut self, at_s: f64, events: &mut Vec<ReplicaEvent>) {
        let is_done = self.prefills.front().is_some_and(|it| it.ends_at_s <= at_s);
        if !is_done {
            return;
        }
        let Some(prefill) = self.prefills.pop_front() else { return };
        let id = prefill.job.id;
        events.push(ReplicaEvent::FirstToken { id, at_s, hit: prefill.hit });
        let ends_at =
            ((self.generated + f64::from(prefill.job.tokens)) * MICROTOKENS_PER_TOKEN) as u64;
        self.streams.push(Reverse(Stream { ends_at, id }));
    }

    fn end_stream(&mut self, at_s: f64, events: &mut Vec<ReplicaEvent>) {
        let Some(Reverse(first)) = self.streams.peek().copied() else { return };
        if at_s + ROUNDING_S < self.stream_ends_at_s(first) {
            return;
        }
        self.streams.pop();
        if !self.cancelled.remove(&first.id) {
            events.push(ReplicaEvent::Finished { id: first.id, at_s });
        }
    }

    fn stream_ends_at_s(&self, stream: Stream) -> f64 {
        let left = (stream.ends_at as f64 / MICROTOKENS_PER_TOKEN - self.generated).max(0.0);
        self.generated_until_s + left * self.between_tokens_s()
    }

    /// Generates the tokens for the time since the previous call.
    fn advance_tokens(&mut self, at_s: f64) {
        let elapsed_s = at_s - self.generated_until_s;
        if elapsed_s <= 0.0 {
            return;
        }
        let between_tokens_s = self.between_tokens_s();
        let generated = elapsed_s / between_tokens_s;
        let streams = self.streams.len() - self.cancelled.len();
        if 0 < streams {
            self.token_intervals
                .push(TokenInterval { between_tokens_s, tokens: generated * streams as f64 });
        }
        self.generated += generated;
        self.generated_until_s = at_s;
    }

    fn fill_batch(&mut self, at_s: f64) {
        while self.running() < self.settings.batch {
            let Some(job) = self.waiting.pop_front() else { return };
            let hit = self.touch_cache(job.prefix);
            let tokens = job.prompt_tokens + if hit { 0 } else { job.prefix_tokens };
            let took_s = f64::from(tokens) / self.settings.prefill_tokens_per_s * self.slowness;
            let ends_at_s = self.prefill_free_at_s.max(at_s) + took_s;
            self.prefill_free_at_s = ends_at_s;
            self.prefills.push_back(Prefill { job, ends_at_s, hit });
        }
    }

    /// Records the use of a prefix, evicting the least recently used one, and
    /// returns whether it was cached.
    fn touch_cache(&mut self, prefix: u64) -> bool {
        self.uses += 1;
        let hit = self.cache.insert(prefix, self.uses).is_some();
        if self.settings.cached_prefixes < self.cache.len() {
            let oldest = self.cache.iter().min_by_key(|(_, used)| **used).map(|(id, _)| *id);
            oldest.map(|id| self.cache.remove(&id));
        }
        hit
    }
}

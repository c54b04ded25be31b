//! Stand-in of a model replica that joins groups by orders.

use std::{
    collections::BTreeMap,
    io,
    net::Ipv4Addr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message, Reply, Server},
    json::{self, Json, table},
    kv::Kv,
    record::Record,
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time of a join that loads the model before the first request: a tenth of `load_s`.
const FIRST_LOAD: Duration = Duration::from_millis(1_200);
/// Time of a join whose model is staged.
const WARM: Duration = Duration::from_millis(300);
/// `form_ms` of the configuration.
const FORM: Duration = Duration::from_millis(100);

/// Membership in a group.
#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    pub name: String,
    pub epoch: u64,
    pub members: Vec<String>,
    pub rank: usize,
    pub state: &'static str,
}

/// What all replicas have, and the joins that break the rule.
#[derive(Clone, Default)]
pub struct Fleet(Arc<Mutex<(BTreeMap<String, Group>, Vec<String>)>>);

impl Fleet {
    fn lock(&self) -> MutexGuard<'_, (BTreeMap<String, Group>, Vec<String>)> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, id: &str, group: Option<&Group>) {
        let groups = &mut self.lock().0;
        match group {
            Some(group) => drop(groups.insert(id.to_owned(), group.clone())),
            None => drop(groups.remove(id)),
        }
    }

    /// Whether the head of a group is open or closing.
    fn is_open(&self, group: &Group) -> bool {
        let groups = &self.lock().0;
        let head = group.members.first().and_then(|it| groups.get(it));
        head.is_some_and(|it| {
            (&it.name, it.epoch, it.rank) == (&group.name, group.epoch, 0)
                && ["open", "closing"].contains(&it.state)
        })
    }

    /// Joins of another group that a replica took while the head of its own was open.
    pub fn breaches(&self) -> Vec<String> {
        self.lock().1.clone()
    }
}

#[derive(Default)]
struct State {
    group: Option<Group>,
    highest_epoch: u64,
    model: Option<String>,
    is_staged: bool,
    orders: u64,
}

struct Shared {
    id: String,
    born: u64,
    kv: Kv,
    record: Record,
    fleet: Fleet,
    state: Mutex<State>,
    beats: AtomicU64,
    has_ended: AtomicBool,
    /// Whether the next order to join gets no answer and is carried out late.
    delays_join: AtomicBool,
    delayed: Mutex<Vec<Json>>,
    addr: Mutex<String>,
}

/// Running replica.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
    server: Server,
}

/// Starts a replica that registers itself. A host keeps what was staged there before.
pub fn open(
    ip: Ipv4Addr,
    id: &str,
    is_staged: bool,
    kv: &Kv,
    fleet: &Fleet,
    record: &Record,
) -> io::Result<Engine> {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let shared = Arc::new(Shared {
        id: id.to_owned(),
        born: born.as_millis() as u64,
        kv: kv.clone(),
        record: record.clone(),
        fleet: fleet.clone(),
        state: Mutex::new(State { is_staged, ..State::default() }),
        beats: AtomicU64::new(0),
        has_ended: AtomicBool::new(false),
        delays_join: AtomicBool::new(false),
        delayed: Mutex::default(),
        addr: Mutex::default(),
    });
    let served = Arc::clone(&shared);
    let server = http::serve(ip, Arc::new(move |request| served.handle(&request)))?;
    *shared.addr.lock().unwrap_or_else(PoisonError::into_inner) = server.addr.to_string();
    shared.register();
    let beating = Arc::clone(&shared);
    thread::spawn(move || {
        loop {
            thread::sleep(HEARTBEAT);
            if beating.has_ended.load(Ordering::SeqCst) {
                return;
            }
            beating.register();
        }
    });
    Ok(Engine { shared, server })
}

impl Engine {
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Group as the replica has it.
    pub fn group(&self) -> Option<Group> {
        self.shared.lock().group.clone()
    }

    /// From now on, orders to join get no answer, until they are carried out.
    pub fn delay_joins(&self, delays: bool) {
        self.shared.delays_join.store(delays, Ordering::SeqCst);
    }

    /// Orders to join that wait to be carried out.
    pub fn delayed(&self) -> Vec<Json> {
        self.shared.delayed.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Carries out an order late. Returns its status.
    pub fn carry_out(&self, order: &Json) -> u16 {
        self.shared.order(order)
    }

    /// Ends as a process that crashed.
    pub fn end(&self) {
        self.shared.has_ended.store(true, Ordering::SeqCst);
        self.server.end();
        self.shared.fleet.set(&self.shared.id, None);
    }

    /// Removes its entry, as the platform does after three heartbeats of silence.
    pub fn expire(&self) {
        self.shared.kv.remove(&format!("servers/{}", self.shared.id));
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(self: &Arc<Self>, request: &Message) -> Option<Reply> {
        match (request.method(), request.path()) {
            ("GET", "/v1/report") => Some(Reply::new(200, self.report().to_string())),
            ("POST", "/v1/order") => {
                let order = json::parse(&request.text()).unwrap_or(Json::Null);
                let is_join = order.get("operation").text() == "join";
                if is_join && self.delays_join.load(Ordering::SeqCst) {
                    self.record.add(&format!("{} leaves unanswered {order}", self.id));
                    self.delayed.lock().unwrap_or_else(PoisonError::into_inner).push(order);
                    // Longer than any caller waits.
                    thread::sleep(Duration::from_secs(10));
                    return None;
                }
                Some(Reply::new(self.order(&order), "{}"))
            }
            _ => Some(Reply::new(421, "").with("X-Not-Executed", "1")),
        }
    }

    /// What the replica says of itself in its entry and its reports.
    fn fields(&self) -> Vec<(&'static str, Json)> {
        let state = self.lock();
        let models = state.model.iter().map(|it| {
            table([
                ("name", it.as_str().into()),
                ("version", 1.into()),
                ("adapters", Vec::new().into()),
            ])
        });
        let mut fields = vec![
            ("born", self.born.into()),
            ("domain", "d0".into()),
            (
                "staged",
                state.is_staged.then(|| "m".into()).into_iter().collect::<Vec<Json>>().into(),
            ),
            ("models", models.collect::<Vec<Json>>().into()),
        ];
        if let Some(group) = &state.group {
            let group = table([
                ("name", group.name.as_str().into()),
                ("epoch", group.epoch.into()),
                ("rank", (group.rank as u64).into()),
                ("state", group.state.into()),
            ]);
            fields.push(("group", group));
        }
        fields
    }

    fn is_joining(&self) -> bool {
        self.lock().group.as_ref().is_some_and(|it| it.state == "joining")
    }

    fn report(&self) -> Json {
        let mut fields = self.fields();
        fields.extend([("stage", "both".into()), ("busy", self.is_joining().into())]);
        fields.push(("sequence", self.lock().orders.into()));
        Json::Table(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
    }

    fn register(&self) {
        if self.has_ended.load(Ordering::SeqCst) {
            return;
        }
        let mut fields = self.fields();
        let addr = self.addr.lock().unwrap_or_else(PoisonError::into_inner).clone();
        fields.extend([
            ("service", "llm".into()),
            ("address", addr.as_str().into()),
            ("zone", "cantabria-a".into()),
            ("version", "v1".into()),
            ("slots", 26.into()),
            ("state", "ready".into()),
            ("cold_left_ms", 0.into()),
            ("sequence", self.beats.fetch_add(1, Ordering::SeqCst).into()),
        ]);
        let fields = fields.into_iter().map(|(name, value)| (name.to_owned(), value));
        self.kv.put(&format!("servers/{}", self.id), &Json::Table(fields.collect()).to_string());
    }

    /// Carries out an order. Returns its status.
    fn order(self: &Arc<Self>, order: &Json) -> u16 {
        let status = self.apply(order);
        self.record.add(&format!("{} answers {status} to {order}", self.id));
        self.register();
        status
    }

    fn apply(self: &Arc<Self>, order: &Json) -> u16 {
        let (name, epoch) = (order.get("group").text(), order.get("epoch").number());
        let mut state = self.lock();
        let is_of_group =
            state.group.as_ref().is_some_and(|it| it.name == name && it.epoch == epoch);
        match order.get("operation").text() {
            "stage" => 200,
            "join" => {
                let members = order.get("members").list();
                let members: Vec<String> = members.iter().map(|it| it.text().to_owned()).collect();
                let Some(rank) = members.iter().position(|it| *it == self.id) else { return 409 };
                let has_other_members =
                    is_of_group && state.group.as_ref().is_some_and(|it| it.members != members);
                if epoch < state.highest_epoch || has_other_members {
                    return 412;
                }
                if is_of_group {
                    return 200;
                }
                let left = state.group.take().filter(|it| it.name != name);
                if let Some(left) = left.filter(|it| self.fleet.is_open(it)) {
                    let breach = format!(
                        "{} takes a join of {name} while the head of its group {} is open",
                        self.id, left.name
                    );
                    self.record.add(&breach);
                    self.fleet.lock().1.push(breach);
                }
                let group = Group { name: name.to_owned(), epoch, members, rank, state: "joining" };
                self.fleet.set(&self.id, Some(&group));
                state.highest_epoch = epoch;
                state.model = Some(order.get("model").text().to_owned());
                state.orders += 1;
                state.group = Some(group.clone());
                let join_time = if state.is_staged { WARM } else { FIRST_LOAD };
                drop(state);
                self.change_later(join_time, group, "ready");
                202
            }
            "open" if is_of_group => {
                let Some(group) = state.group.clone() else { return 409 };
                match (group.state, group.rank) {
                    ("open", _) => 200,
                    ("ready", 0) => {
                        state.orders += 1;
                        drop(state);
                        self.change_later(FORM, group, "open");
                        202
                    }
                    _ => 409,
                }
            }
            "close" if is_of_group => {
                if let Some(group) = &mut state.group {
                    group.state = "ready";
                    self.fleet.set(&self.id, Some(group));
                }
                state.orders += 1;
                200
            }
            "leave" if is_of_group => {
                state.group = None;
                self.fleet.set(&self.id, None);
                state.model = None;
                state.orders += 1;
                200
            }
            _ => 409,
        }
    }

    /// Changes the state of a membership that is still the same after a while.
    fn change_later(self: &Arc<Self>, after: Duration, group: Group, to: &'static str) {
        let shared = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(after);
            let mut state = shared.lock();
            if state.group.as_ref() == Some(&group) {
                let changed = Group { state: to, ..group };
                shared.fleet.set(&shared.id, Some(&changed));
                state.is_staged = true;
                state.group = Some(changed);
                drop(state);
                shared.record.add(&format!("{} is {to}", shared.id));
                shared.register();
            }
        });
    }
}

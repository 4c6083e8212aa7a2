//! What the decisions are told and what they may order: ids, time, the rows handed over at start-up,
//! and the `Actions` trait. No wire, no input or output, no decision.

/// Whole microseconds; a point on the instance's clock or a length of time.
pub type Micros = u64;

/// Identity of a name: a fixed 64-bit digest, the same in every instance.
fn digest(name: &str) -> u64 {
    let fnv = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, fnv)
}

/// What of the second of two ids goes into their mix.
pub(crate) fn digest_second(b: u64) -> u64 {
    b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Mixes two ids into a place in a function's order; the same at every router.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    mix_digest(a, digest_second(b))
}

/// The same for a second id of which the digest is known.
#[inline]
pub(crate) fn mix_digest(a: u64, digest: u64) -> u64 {
    let mut x = a ^ digest;
    for _ in 0..2 {
        x = (x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb);
    }
    x ^ (x >> 32)
}

/// Evenly spread bits as a number from 0 to 1.
pub(crate) fn part_of_one(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);

impl WorkerId {
    pub fn named(name: &str) -> Self {
        WorkerId(digest(name))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FunctionId(pub u64);

impl FunctionId {
    pub fn named(name: &str) -> Self {
        FunctionId(digest(name))
    }
}

/// A job's id as the client side gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub [u8; 36]);

/// A timer's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerToken(pub u64);

/// Position of a workload among the start-up rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkloadId(pub usize);

/// Position of a customer among the start-up rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CustomerId(pub usize);

/// A place where machines stand, by its position in the start-up list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub usize);

/// A small set of model servers that know each other's idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RackId(pub i64);

impl RackId {
    /// The one of a server of which none was told: it shares with nobody what it has seen.
    pub fn alone(server: WorkerId) -> Self {
        RackId(!((server.0 >> 1) as i64))
    }
}

/// Where a repeat of a keyed job is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    Everywhere,
    Zone,
    Rack,
}

/// What a second attempt of a job would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    Idempotent,
    Keyed { within: IdempotencyScope, window: Micros },
    AtMostOnce,
}

/// One row a workload.
#[derive(Clone, Debug)]
pub struct WorkloadConfig {
    pub effect: RetrySafety,
    pub start_target: Micros,
    pub importance: f64,
    /// What is left of the importance once the start target has passed.
    pub late_part: f64,
}

/// One row a customer.
#[derive(Clone, Debug)]
pub struct CustomerConfig {
    pub jobs_per_s: f64,
}

/// What a deployment allows.
#[derive(Clone, Debug)]
pub struct AttemptPolicy {
    pub attempts: usize,
    pub cancel: bool,
    pub second_copies: bool,
    pub come_back: bool,
    pub come_back_max: Micros,
}

/// Figures of the rules on drains, cold model servers and orders to load.
#[derive(Clone, Debug)]
pub struct SlowStartRules {
    pub cold_share: f64,
    pub warm_within: Micros,
    pub fall_multiple: f64,
    pub fall_span: Micros,
}

/// All that an instance is told when it starts.
#[derive(Clone, Debug)]
pub struct StartupConfig {
    pub seed: u64,
    pub me: u64,
    pub routers: u64,
    pub workloads: Vec<WorkloadConfig>,
    pub customers: Vec<CustomerConfig>,
    pub permits: AttemptPolicy,
    pub rules: SlowStartRules,
    pub over_share: f64,
    pub keep: Micros,
    /// Answers tell how many jobs of the same function the model server held.
    pub tells_company: bool,
    /// The weights in the list are the same for every router and do not follow the load.
    pub weights_shared: bool,
    /// Clients give every first try of a workload the same time; less left means that it was spent elsewhere.
    pub limits_shared: bool,
    /// The list of model servers comes only to those that ask.
    pub list_by_asking: bool,
}

impl StartupConfig {
    /// µs, over the workloads; 0 without any.
    pub fn mean_target(&self) -> f64 {
        let targets = self.workloads.iter().map(|w| w.start_target as f64);
        targets.sum::<f64>() / self.workloads.len().max(1) as f64
    }
}

/// What a router has learned of one life of a model server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerHistory {
    /// Jobs that it had room for; 0 where that is not known.
    pub room: f64,
    /// How much of a start target its answers took, and the part of them that were errors.
    pub lag: f64,
    pub errors: f64,
    /// It was set aside, or on trial after that.
    pub aside: bool,
}

impl WorkerHistory {
    /// Room, lag and errors; whether it was in doubt.
    pub fn of([room, lag, errors]: [f64; 3], aside: bool) -> Self {
        WorkerHistory { room, lag, errors, aside }
    }
}

/// How complete a list of model servers is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    Changes,
    Full,
    Saved,
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    Ready,
    Draining,
    Gone,
}

/// One model server as the list names it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub server: WorkerId,
    pub standing: WorkerStatus,
    pub up_since: Micros,
    pub zone: Option<ZoneId>,
    pub rack: RackId,
    pub weight: f64,
}

/// A job as it comes in.
#[derive(Clone, Debug)]
pub struct RequestArrival {
    pub job: RequestId,
    pub function: FunctionId,
    pub workload: WorkloadId,
    pub customer: Option<CustomerId>,
    pub left: Micros,
    pub lanes: u32,
    /// The client has tried before, where clients say so.
    pub retry: bool,
    pub load_time: Option<Micros>,
    /// Times its workload's importance: 1, or more where work before it has been paid for.
    pub paid: f64,
}

/// How one attempt closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Finished,
    Missing,
    Error,
    Full,
    TimedOut,
    NoConnection,
    Broken,
    Cancelled,
    Moot,
}

/// What an answer says of the function's copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadState {
    Unsaid,
    Stood,
    Begun,
    Awaited,
    LoadFailed,
}

/// The result of one attempt, whole.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    pub outcome: Outcome,
    /// The job is over, by this answer or earlier.
    pub closed: bool,
    pub elapsed: Micros,
    pub copy: LoadState,
    /// Jobs of the function that the model server held when this one came, where told.
    pub company: u32,
    /// Jobs of all functions that it holds, where reported.
    pub held: Option<f64>,
    /// Loads under way or waiting there, where reported.
    pub loads: Option<f64>,
}

/// What the decisions may order. All take effect at the time of the call.
pub trait Actions {
    /// `begin`: the time from which on nothing of it may leave any more, as a repeat would not be known then.
    fn send(&mut self, job: RequestId, server: WorkerId, patience: Micros, begin: Micros);
    fn cancel(&mut self, job: RequestId, attempt: usize);
    fn push_back(&mut self, job: RequestId, come_back: Option<Micros>);
    fn kill(&mut self, job: RequestId);
    fn wake_after(&mut self, delay: Micros, token: TimerToken);
    fn note(&mut self, text: &str);
    /// Ask for the list of model servers and its changes.
    fn watch(&mut self);
}

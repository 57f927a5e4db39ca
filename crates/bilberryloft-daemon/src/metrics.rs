//! Metrics of a daemon in the Prometheus text format.

use bilberryloft_coordination::loss_tolerance::LossTolerance;
use bilberryloft_state::refusal::Reason;
use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::logging::dropped_lines;

/// Upper bounds of the time-to-first-byte buckets, in seconds.
const FIRST_BYTE_BUCKETS_S: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.43, 1.0, 3.0, 10.0];

/// Value of a gauge that only the leader knows, on other hosts.
const UNKNOWN: i64 = -1;

/// All metrics of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests received from callers.
    pub requests: IntCounter,
    /// Requests whose answer was sent completely.
    pub answers: IntCounter,
    /// Retries: attempts of a request after its first.
    pub retries: IntCounter,
    /// Retries that were not made because the retry budget was used up.
    pub retries_denied: IntCounter,
    /// Requests from callers that are in flight.
    pub open_requests: IntGauge,
    /// Pieces of streamed answers forwarded to callers.
    pub pieces: IntCounter,
    /// Time from a request's arrival to the first byte of its answer, in seconds.
    pub first_byte_s: Histogram,
    /// Attempts that were sent to the target.
    pub attempts_started: IntCounter,
    /// Attempts that were cancelled because no caller waits for them any more.
    pub attempts_cancelled: IntCounter,
    /// Crashes of the target.
    pub target_crashes: IntCounter,
    /// Answers in which a target turned a request away and asked for rest.
    pub target_rests: IntCounter,
    /// Targets that name a limit on their requests.
    pub targets_limited: IntGauge,
    /// Requests that leave the data centre.
    pub remote: RemoteMetrics,
    /// Requests sent to targets with a limit.
    pub limited_requests: IntCounter,
    /// Requests refused because all targets had reached their limits.
    pub limit_refusals: IntCounter,
    /// Evacuations of data centres.
    pub evacuations: EvacuationMetrics,
    /// Cold targets and the memory of targets.
    pub cold: ColdMetrics,
    /// Configuration version in force.
    pub configuration_version: IntGauge,
    /// Admission to lock-step groups by priority.
    pub admission: AdmissionMetrics,
    /// Memory and connections that clients make the process hold.
    pub memory: MemoryMetrics,
    quorum: QuorumGauges,
    refusals: RefusalCounters,
    log_lines_dropped: IntCounter,
}

/// What the leader of the quorum knows of its members.
#[derive(Debug)]
struct QuorumGauges {
    losses_tolerated: IntGauge,
    losses_wanted: IntGauge,
}

/// Metrics of cold targets and of the memory of targets.
#[derive(Debug)]
pub struct ColdMetrics {
    /// Targets that count as cold.
    pub targets: IntGauge,
    /// Requests refused because all targets were cold.
    pub refusals: IntCounter,
    /// Requests refused because they have more tokens than a target can hold.
    pub memory_refusals: IntCounter,
}

impl ColdMetrics {
    fn register(new: &Registrar) -> prometheus::Result<ColdMetrics> {
        Ok(ColdMetrics {
            targets: new.gauge("bilberryloft_targets_cold", "Targets that count as cold.")?,
            refusals: new.counter(
                "bilberryloft_cold_refusals_total",
                "Requests refused as all targets were cold.",
            )?,
            memory_refusals: new.counter(
                "bilberryloft_memory_refusals_total",
                "Requests refused as larger than the memory of a target.",
            )?,
        })
    }
}

impl QuorumGauges {
    fn register(new: &Registrar) -> prometheus::Result<QuorumGauges> {
        Ok(QuorumGauges {
            losses_tolerated: new.gauge(
                "bilberryloft_quorum_losses_tolerated",
                "Voters that may be lost now, at the leader; -1 elsewhere.",
            )?,
            losses_wanted: new.gauge(
                "bilberryloft_quorum_losses_wanted",
                "Voters that the quorum is meant to lose, at the leader; -1 elsewhere.",
            )?,
        })
    }
}

/// Evacuations of data centres.
#[derive(Debug)]
pub struct EvacuationMetrics {
    /// Evacuated data centres to whose targets this entry sends nothing.
    pub data_centers: IntGauge,
    /// Requests refused because all targets were in evacuated data centres.
    pub refusals: IntCounter,
}

impl EvacuationMetrics {
    fn register(new: &Registrar) -> prometheus::Result<EvacuationMetrics> {
        Ok(EvacuationMetrics {
            data_centers: new
                .gauge("bilberryloft_evacuated_data_centers", "Data centres that are evacuated.")?,
            refusals: new.counter(
                "bilberryloft_evacuation_refusals_total",
                "Requests refused as all targets were in evacuated data centres.",
            )?,
        })
    }
}

/// Requests that leave their data centre.
#[derive(Debug)]
pub struct RemoteMetrics {
    /// Requests sent to targets in other data centres.
    pub requests: IntCounter,
    shares: IntGaugeVec,
}

impl RemoteMetrics {
    fn register(new: &Registrar) -> prometheus::Result<RemoteMetrics> {
        Ok(RemoteMetrics {
            requests: new.counter(
                "bilberryloft_remote_requests_total",
                "Requests sent to targets in other data centres.",
            )?,
            shares: new.gauges(
                "bilberryloft_remote_share_percent",
                "Requests that may be sent to far data centres.",
                &["service"],
            )?,
        })
    }

    /// Sets the share of a service's requests that may be sent to far data centres.
    pub fn set_share(&self, service: &str, share: f64) {
        let percent = (100.0 * share).round() as i64;
        self.shares.with_label_values(&[service]).set(percent);
    }
}

/// Requests of this entry to lock-step groups, by service and priority, and the bounds by service.
#[derive(Debug)]
pub struct AdmissionMetrics {
    /// Requests that run.
    pub running: IntGaugeVec,
    /// Requests that wait for room.
    pub waiting: IntGaugeVec,
    /// Requests that were rejected.
    pub rejected: IntCounterVec,
    /// Bound on the running requests of all entries.
    pub bound: IntGaugeVec,
}

impl AdmissionMetrics {
    fn register(new: &Registrar) -> prometheus::Result<AdmissionMetrics> {
        let labels = ["service", "priority"];
        Ok(AdmissionMetrics {
            running: new.gauges("bilberryloft_admission_running", "Requests that run.", &labels)?,
            waiting: new.gauges(
                "bilberryloft_admission_waiting",
                "Requests that wait.",
                &labels,
            )?,
            rejected: new.counters(
                "bilberryloft_admission_rejected_total",
                "Requests rejected as their group had no room.",
                &labels,
            )?,
            bound: new.gauges(
                "bilberryloft_admission_bound",
                "Bound on the running requests of all entries.",
                &labels[..1],
            )?,
        })
    }
}

/// Refusals by their reasons.
#[derive(Debug)]
struct RefusalCounters {
    by_entry: IntCounterVec,
    by_agent: IntCounterVec,
}

impl RefusalCounters {
    fn register(new: &Registrar) -> prometheus::Result<RefusalCounters> {
        Ok(RefusalCounters {
            by_entry: new.counters_by_reason(
                "bilberryloft_refusals_total",
                "Requests refused to callers.",
            )?,
            by_agent: new.counters_by_reason(
                "bilberryloft_agent_refusals_total",
                "Dispatches refused to entries.",
            )?,
        })
    }
}

/// Memory and connections that clients make the process hold.
#[derive(Debug)]
pub struct MemoryMetrics {
    total_bytes: IntGauge,
    held_bytes: IntGaugeVec,
    connections: IntGaugeVec,
    refused: IntGaugeVec,
    closed: IntGaugeVec,
    cut: IntGaugeVec,
}

impl MemoryMetrics {
    fn register(new: &Registrar) -> prometheus::Result<MemoryMetrics> {
        Ok(MemoryMetrics {
            total_bytes: new
                .gauge("bilberryloft_memory_bytes", "Memory that clients may make it hold.")?,
            held_bytes: new.gauges(
                "bilberryloft_memory_held_bytes",
                "Memory that is held for clients.",
                &["purpose"],
            )?,
            connections: new.gauges(
                "bilberryloft_connections",
                "Connections that clients have open.",
                &["listener"],
            )?,
            refused: new.gauges(
                "bilberryloft_bodies_refused",
                "Bodies refused since the start.",
                &["cause"],
            )?,
            closed: new.gauges(
                "bilberryloft_connections_closed",
                "Connections of clients closed since the start.",
                &["cause"],
            )?,
            cut: new.gauges(
                "bilberryloft_requests_cut",
                "Requests cut off by this process since the start.",
                &["cause", "progress"],
            )?,
        })
    }

    /// Sets the memory that clients may make the process hold.
    pub fn set_total(&self, bytes: u64) {
        self.total_bytes.set(bytes.cast_signed());
    }

    /// Sets the memory that is held for a purpose.
    pub fn set_held(&self, purpose: &str, bytes: u64) {
        self.held_bytes.with_label_values(&[purpose]).set(bytes.cast_signed());
    }

    /// Sets the connections of a listener.
    pub fn set_connections(&self, listener: &str, connections: usize) {
        self.connections.with_label_values(&[listener]).set(gauge_value(connections));
    }

    /// Sets the number of bodies refused for a cause.
    pub fn set_refused(&self, cause: &str, bodies: u64) {
        self.refused.with_label_values(&[cause]).set(bodies.cast_signed());
    }

    /// Sets the number of connections closed for a cause.
    pub fn set_closed(&self, cause: &str, connections: u64) {
        self.closed.with_label_values(&[cause]).set(connections.cast_signed());
    }

    /// Sets the number of requests whose connection was ended for a cause before their answer was complete.
    pub fn set_cut(&self, cause: &str, progress: &str, requests: u64) {
        self.cut.with_label_values(&[cause, progress]).set(requests.cast_signed());
    }
}

/// Creates metrics and registers them; each call fails only if two have the same name.
#[derive(Debug, Default)]
struct Registrar {
    registry: Registry,
}

impl Registrar {
    fn counter(&self, name: &str, help: &str) -> prometheus::Result<IntCounter> {
        let counter = IntCounter::new(name, help)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    fn gauge(&self, name: &str, help: &str) -> prometheus::Result<IntGauge> {
        let gauge = IntGauge::new(name, help)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntGaugeVec> {
        let gauges = IntGaugeVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(gauges.clone()))?;
        Ok(gauges)
    }

    fn counters_by_reason(&self, name: &str, help: &str) -> prometheus::Result<IntCounterVec> {
        self.counters(name, help, &["reason"])
    }

    fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::Result<IntCounterVec> {
        let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    fn histogram(&self, name: &str, help: &str, buckets: &[f64]) -> prometheus::Result<Histogram> {
        let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        let histogram = Histogram::with_opts(options)?;
        self.registry.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }
}

impl Metrics {
    /// Creates and registers all metrics; fails only if two have the same name.
    pub fn new() -> prometheus::Result<Metrics> {
        let new = Registrar::default();
        Ok(Metrics {
            requests: new.counter("bilberryloft_requests_total", "Requests taken from callers.")?,
            answers: new.counter("bilberryloft_answers_total", "Requests answered whole.")?,
            retries: new.counter("bilberryloft_retries_total", "Attempts after the first.")?,
            retries_denied: new.counter(
                "bilberryloft_retries_denied_total",
                "Retries that the budget did not allow.",
            )?,
            open_requests: new
                .gauge("bilberryloft_open_requests", "Requests that callers have open.")?,
            pieces: new.counter("bilberryloft_pieces_total", "Pieces of streams passed on.")?,
            first_byte_s: new.histogram(
                "bilberryloft_first_byte_seconds",
                "Time to the first byte.",
                &FIRST_BYTE_BUCKETS_S,
            )?,
            attempts_started: new
                .counter("bilberryloft_attempts_started_total", "Attempts sent to the target.")?,
            attempts_cancelled: new
                .counter("bilberryloft_attempts_cancelled_total", "Attempts that were stopped.")?,
            target_crashes: new
                .counter("bilberryloft_target_crashes_total", "Crashes of the target.")?,
            target_rests: new.counter("bilberryloft_target_rests_total", "Requests for rest.")?,
            targets_limited: new
                .gauge("bilberryloft_targets_limited", "Targets that name a limit.")?,
            remote: RemoteMetrics::register(&new)?,
            limited_requests: new
                .counter("bilberryloft_limited_requests_total", "Requests sent within limits.")?,
            limit_refusals: new.counter(
                "bilberryloft_limit_refusals_total",
                "Requests refused as all targets had reached their limits.",
            )?,
            evacuations: EvacuationMetrics::register(&new)?,
            cold: ColdMetrics::register(&new)?,
            configuration_version: new
                .gauge("bilberryloft_configuration_version", "Configuration in force.")?,
            admission: AdmissionMetrics::register(&new)?,
            memory: MemoryMetrics::register(&new)?,
            quorum: QuorumGauges::register(&new)?,
            refusals: RefusalCounters::register(&new)?,
            log_lines_dropped: new.counter(
                "bilberryloft_log_lines_dropped_total",
                "Log lines dropped because the queue was full.",
            )?,
            registry: new.registry,
        })
    }

    /// Counts a request that an entry refused to a caller.
    pub fn count_refusal(&self, reason: Reason) {
        self.refusals.by_entry.with_label_values(&[&reason.name()]).inc();
    }

    /// Counts a dispatch that the agent refused to an entry.
    pub fn count_agent_refusal(&self, reason: Reason) {
        self.refusals.by_agent.with_label_values(&[&reason.name()]).inc();
    }

    /// Sets the losses that the quorum tolerates; only its leader knows them.
    pub fn set_loss_tolerance(&self, known: Option<&LossTolerance>) {
        self.quorum.losses_tolerated.set(known.map_or(UNKNOWN, |it| gauge_value(it.tolerated)));
        self.quorum.losses_wanted.set(known.map_or(UNKNOWN, |it| gauge_value(it.wanted)));
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.log_lines_dropped.reset();
        self.log_lines_dropped.inc_by(dropped_lines());
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).to_string(),
            Err(error) => format!("# {error}\n"),
        }
    }
}

/// Returns the value of a gauge for a count.
pub fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

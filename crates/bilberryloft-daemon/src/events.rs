//! Numbered log events; `docs/EVENTS.md` is their catalogue.

/// An event with its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u16)]
pub enum Event {
    /// The daemon has started.
    DaemonStarted = 100,
    /// The daemon was asked to stop.
    ShutdownBegan = 101,
    /// The daemon has finished its work and stops.
    ShutdownEnded = 102,
    /// Work in flight was left behind when the longest wait ended.
    ShutdownCutOff = 103,
    /// The configuration reached a newer version.
    ConfigurationApplied = 110,
    /// No control host has confirmed the configuration within the lease.
    ConfigurationUnconfirmed = 111,
    /// A control host confirms the configuration again.
    ConfigurationConfirmed = 112,
    /// A change could not be applied in order, and a snapshot is asked for.
    ConfigurationGap = 113,
    /// A newer document of routes and services was learnt.
    DocumentApplied = 114,
    /// The settings were read again.
    SettingsReloaded = 115,
    /// The member became the leader.
    LeaderElected = 200,
    /// The member no longer leads.
    LeaderSteppedDown = 201,
    /// The data folder had a torn tail that was cut off.
    TornTailCut = 202,
    /// A write or sync failed; the member acknowledges nothing any more.
    DiskFailed = 203,
    /// A snapshot was written.
    SnapshotWritten = 204,
    /// A snapshot from the leader replaced the member's state.
    SnapshotInstalled = 205,
    /// A snapshot could not be written; the log goes on.
    SnapshotFailed = 206,
    /// Targets lost their leases.
    TargetsLost = 210,
    /// A target was recorded.
    TargetRegistered = 211,
    /// The members of the quorum changed.
    MembersChanged = 212,
    /// The member reads its folder again after its disk had failed.
    DiskReopened = 213,
    /// A member was added, promoted or removed to keep the quorum whole.
    MembersPlanned = 214,
    /// No process listens any more where a member was.
    MemberEnded = 215,
    /// The target announced itself.
    TargetAnnounced = 300,
    /// The target stopped announcing itself.
    TargetSilent = 301,
    /// The target failed with requests in flight.
    TargetCrashed = 302,
    /// The target gets no new work.
    TargetDraining = 303,
    /// The target gets new work again.
    TargetResumed = 304,
    /// A switch of the expert map was decided.
    ExpertMapDecided = 305,
    /// A request was refused.
    RequestRefused = 400,
    /// A request goes to another target.
    RequestRetried = 401,
    /// Contact was lost and the attempt was joined again.
    AttemptRejoined = 402,
    /// The caller went away and the attempt was cancelled.
    AttemptCancelled = 403,
    /// The relay takes requests.
    RelayStarted = 500,
    /// The relay was asked to stop.
    RelayStopping = 501,
    /// The relay has ended its work.
    RelayStopped = 502,
    /// The relay answers the balancer that it is ready, or no longer.
    ReadinessChanged = 503,
    /// A document is in force.
    RoutesInForce = 504,
    /// A document in force could not be read.
    RoutesUnreadable = 505,
    /// An entry was heard, or has fallen silent.
    EntriesChanged = 507,
    /// A request was sent to a target.
    AttemptSent = 510,
    /// An attempt ended.
    AttemptEnded = 511,
    /// A request got its answer.
    RequestAnswered = 512,
    /// The caller left before its answer was whole.
    CallerLeft = 514,
    /// A stream goes on at another target.
    StreamResumed = 515,
    /// A stream was broken off.
    StreamBroken = 516,
    /// A stream came to its true end.
    StreamEnded = 517,
    /// An operator's document was accepted or refused.
    DocumentDecided = 520,
    /// A target's announcement was refused.
    AnnouncementRefused = 521,
    /// A target announced that it leaves.
    TargetLeaves = 522,
    /// A better expert map is being copied.
    ExpertMapPlanned = 530,
    /// All ranks change to a map at one pass.
    ExpertMapSwitched = 531,
    /// A change of map was given up; all ranks keep the one they have.
    ExpertMapAbandoned = 532,
    /// A change that another planner began was found and ended.
    ExpertMapResumed = 533,
    /// Other ranks than before are slow, or by another factor.
    SlowRanksChanged = 534,
}

impl Event {
    /// Number of the event.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// All events in the order of their numbers.
pub const EVENTS: [Event; 55] = [
    Event::DaemonStarted,
    Event::ShutdownBegan,
    Event::ShutdownEnded,
    Event::ShutdownCutOff,
    Event::ConfigurationApplied,
    Event::ConfigurationUnconfirmed,
    Event::ConfigurationConfirmed,
    Event::ConfigurationGap,
    Event::DocumentApplied,
    Event::SettingsReloaded,
    Event::LeaderElected,
    Event::LeaderSteppedDown,
    Event::TornTailCut,
    Event::DiskFailed,
    Event::SnapshotWritten,
    Event::SnapshotInstalled,
    Event::SnapshotFailed,
    Event::TargetsLost,
    Event::TargetRegistered,
    Event::MembersChanged,
    Event::DiskReopened,
    Event::MembersPlanned,
    Event::MemberEnded,
    Event::TargetAnnounced,
    Event::TargetSilent,
    Event::TargetCrashed,
    Event::TargetDraining,
    Event::TargetResumed,
    Event::ExpertMapDecided,
    Event::RequestRefused,
    Event::RequestRetried,
    Event::AttemptRejoined,
    Event::AttemptCancelled,
    Event::RelayStarted,
    Event::RelayStopping,
    Event::RelayStopped,
    Event::ReadinessChanged,
    Event::RoutesInForce,
    Event::RoutesUnreadable,
    Event::EntriesChanged,
    Event::AttemptSent,
    Event::AttemptEnded,
    Event::RequestAnswered,
    Event::CallerLeft,
    Event::StreamResumed,
    Event::StreamBroken,
    Event::StreamEnded,
    Event::DocumentDecided,
    Event::AnnouncementRefused,
    Event::TargetLeaves,
    Event::ExpertMapPlanned,
    Event::ExpertMapSwitched,
    Event::ExpertMapAbandoned,
    Event::ExpertMapResumed,
    Event::SlowRanksChanged,
];

/// Logs an event at the given level with its number and fields.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:expr, $($fields:tt)*) => {{
        let event: $crate::events::Event = $event;
        tracing::$level!(event = event.number(), name = ?event, $($fields)*)
    }};
}

//! Numbered log events; `docs/EVENTS.md` lists them all.

/// A log event; its value is its number in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u16)]
pub enum Event {
    /// The daemon has started.
    DaemonStarted = 100,
    /// The daemon was asked to stop.
    ShutdownBegan = 101,
    /// The daemon has finished its work and stops.
    ShutdownEnded = 102,
    /// The shutdown deadline passed and work in flight was abandoned.
    ShutdownCutOff = 103,
    /// The configuration reached a newer version.
    ConfigurationApplied = 110,
    /// No control host confirmed the configuration within its lease.
    ConfigurationUnconfirmed = 111,
    /// A control host confirms the configuration again.
    ConfigurationConfirmed = 112,
    /// A configuration change did not follow the local version; a snapshot is requested.
    ConfigurationGap = 113,
    /// A newer document of routes and services was received.
    DocumentApplied = 114,
    /// The settings were reloaded.
    SettingsReloaded = 115,
    /// A control host sent a document of routes and services to a daemon.
    DocumentSent = 116,
    /// A control host gave no usable answer to a watch.
    WatchFailed = 117,
    /// A patch of the document was damaged or didn't fit the version held.
    DocumentDamaged = 118,
    /// A control host did not send the next part of the document.
    DocumentReadFailed = 119,
    /// The daemon follows a nearer control host.
    ControlHostChosen = 120,
    /// The member became the leader.
    LeaderElected = 200,
    /// The member is no longer the leader.
    LeaderSteppedDown = 201,
    /// The log in the data folder had a torn tail, which was truncated.
    TornTailCut = 202,
    /// A write or sync failed; the member acknowledges nothing until it has recovered.
    DiskFailed = 203,
    /// A snapshot was written.
    SnapshotWritten = 204,
    /// A snapshot from the leader replaced the member's state.
    SnapshotInstalled = 205,
    /// A snapshot could not be written; the log is kept.
    SnapshotFailed = 206,
    /// The member has read its data folder and takes part from there.
    MemberRecovered = 207,
    /// The member may vote again after the loss of its disk.
    VoteRegained = 208,
    /// Targets lost their leases.
    TargetsLost = 210,
    /// A target was registered.
    TargetRegistered = 211,
    /// The members of the quorum changed.
    MembersChanged = 212,
    /// The member recovered from its data folder after a disk failure.
    DiskReopened = 213,
    /// The leader proposed to add, promote or remove a member to maintain the quorum.
    MembersPlanned = 214,
    /// The process of a member has ended: its host refuses connections.
    MemberEnded = 215,
    /// A host that can be a member said that its process is stopping.
    MemberLeaving = 216,
    /// A stopping host has waited until another one votes in its place.
    QuorumLeft = 217,
    /// The number of voters that may be lost at this moment changed, as the leader knows it.
    LossToleranceChanged = 218,
    /// The leader has committed a document or an evacuation, which is acknowledged from now on.
    ChangeCommitted = 219,
    /// The member was told at its first start to found a quorum, and has recorded that durably.
    FoundingRecorded = 220,
    /// The leader refuses the first document and first orders until the quorum has its voters.
    FirstDocumentHeld = 221,
    /// The target announced itself.
    TargetAnnounced = 300,
    /// The target stopped announcing itself.
    TargetSilent = 301,
    /// The target crashed with requests in flight.
    TargetCrashed = 302,
    /// The target gets no new work.
    TargetDraining = 303,
    /// The target gets new work again.
    TargetResumed = 304,
    /// A switch of the expert map was committed or aborted.
    ExpertMapDecided = 305,
    /// A request was refused.
    RequestRefused = 400,
    /// A request is retried at another target.
    RequestRetried = 401,
    /// The connection to an attempt was lost and the entry has attached to it again.
    AttemptRejoined = 402,
    /// The caller disconnected and the attempt was cancelled.
    AttemptCancelled = 403,
    /// The relay accepts requests.
    RelayStarted = 500,
    /// The relay was asked to stop.
    RelayStopping = 501,
    /// The relay has stopped.
    RelayStopped = 502,
    /// The relay became ready, or is no longer ready.
    ReadinessChanged = 503,
    /// The routes of a newer document are in force.
    RoutesInForce = 504,
    /// A newer document could not be decoded; the routes in force stay.
    RoutesUnreadable = 505,
    /// The stopping relay takes no more requests.
    RelayClosed = 506,
    /// The number of active entries changed.
    EntriesChanged = 507,
    /// A request was sent to a target.
    AttemptSent = 510,
    /// An attempt ended.
    AttemptEnded = 511,
    /// A request was answered.
    RequestAnswered = 512,
    /// This process ended the connection of a request before its answer was complete.
    RequestCut = 513,
    /// The caller disconnected before its answer was complete.
    CallerLeft = 514,
    /// A stream is resumed at another target.
    StreamResumed = 515,
    /// A stream was aborted before its end.
    StreamBroken = 516,
    /// A stream ended normally.
    StreamEnded = 517,
    /// A retry was taken out of the retry budget, or denied.
    RetryDecided = 518,
    /// A target sent events that don't follow those forwarded before; they were not forwarded.
    EventsRejected = 519,
    /// A document from an operator was accepted or refused.
    DocumentDecided = 520,
    /// A target's announcement was refused.
    AnnouncementRefused = 521,
    /// A target announced that it is leaving.
    TargetLeaves = 522,
    /// It was decided which start of a target a call means that ends its membership, and whether it is accepted.
    LeaveDecided = 523,
    /// A request was not sent, as a header that its target must be told can't have the value.
    HeaderUnsendable = 524,
    /// A better expert map is being copied.
    ExpertMapPlanned = 530,
    /// All ranks switch to a new expert map at the same pass.
    ExpertMapSwitched = 531,
    /// A switch of the expert map was abandoned; all ranks keep their current map.
    ExpertMapAbandoned = 532,
    /// An unfinished switch that another planner had begun was found and is completed or cancelled.
    ExpertMapResumed = 533,
    /// The set of slow ranks or their slowness changed.
    SlowRanksChanged = 534,
    /// A held group was released by a planner that had not just armed all of its ranks.
    ExpertMapReleased = 535,
    /// A planner goes on with the change of another one, which the quorum's log schedules.
    ExpertMapCompleted = 536,
    /// The target of a run that broke off or was silent was probed.
    TargetEndChecked = 540,
    /// A suspect was refused or needs a trial.
    SuspectDecided = 541,
    /// Runs whose targets ended or survived a suspect were reported to the quorum.
    RunsReported = 542,
    /// A target named a limit on its requests, changed it, or no longer names one.
    TargetLimitChanged = 543,
    /// A request was sent to a target with a limit, or refused because all targets have reached theirs.
    LimitDecided = 544,
    /// A target ended while it ran a request.
    RunLost = 545,
    /// A target said in an answer that it wants rest or is leaving.
    TargetNoticed = 546,
    /// An operator's order to evacuate a data centre, or to end an evacuation, was decided.
    EvacuationOrdered = 550,
    /// The entry sends nothing more to the targets of a data centre.
    EvacuationBegan = 551,
    /// The entry may send to the targets of a data centre again.
    EvacuationEnded = 552,
    /// An order was proposed for an older state of the data centre and changed nothing.
    EvacuationConflict = 553,
    /// Targets became cold, as far as this entry knows.
    TargetsCold = 555,
    /// A request was refused because all targets are cold.
    ColdRefused = 556,
    /// This entry's share of the bound of cold targets, or its contact with the quorum, changed.
    ColdShareChanged = 557,
    /// The bound on the running requests of a group changed.
    AdmissionBoundChanged = 560,
    /// A request was rejected because its group has no room for its priority.
    AdmissionDecided = 561,
    /// Requests of a priority begin to be rejected, or are served again.
    PriorityOverloaded = 562,
    /// A body was dropped or refused because memory is short.
    MemoryShort = 570,
    /// A body did not end by its deadline.
    BodyLate = 571,
    /// A client's connection was closed because it was slow, unread or needed by another client.
    ConnectionClosed = 572,
    /// A client was rejected because all connections were in use.
    ConnectionsFull = 573,
    /// A connection to a target was dropped because memory is short and the target's unread answers hold the most of it.
    TargetReadDropped = 574,
    /// Requests of a service begin to be sent to far data centres.
    AwayBegan = 580,
    /// Requests of a service are no longer sent to far data centres.
    AwayEnded = 581,
}

impl Event {
    /// Returns the number of the event.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// All events, ordered by number.
pub const EVENTS: [Event; 100] = [
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
    Event::DocumentSent,
    Event::WatchFailed,
    Event::DocumentDamaged,
    Event::DocumentReadFailed,
    Event::ControlHostChosen,
    Event::LeaderElected,
    Event::LeaderSteppedDown,
    Event::TornTailCut,
    Event::DiskFailed,
    Event::SnapshotWritten,
    Event::SnapshotInstalled,
    Event::SnapshotFailed,
    Event::MemberRecovered,
    Event::VoteRegained,
    Event::TargetsLost,
    Event::TargetRegistered,
    Event::MembersChanged,
    Event::DiskReopened,
    Event::MembersPlanned,
    Event::MemberEnded,
    Event::MemberLeaving,
    Event::QuorumLeft,
    Event::LossToleranceChanged,
    Event::ChangeCommitted,
    Event::FoundingRecorded,
    Event::FirstDocumentHeld,
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
    Event::RelayClosed,
    Event::EntriesChanged,
    Event::AttemptSent,
    Event::AttemptEnded,
    Event::RequestAnswered,
    Event::RequestCut,
    Event::CallerLeft,
    Event::StreamResumed,
    Event::StreamBroken,
    Event::StreamEnded,
    Event::RetryDecided,
    Event::EventsRejected,
    Event::DocumentDecided,
    Event::AnnouncementRefused,
    Event::TargetLeaves,
    Event::LeaveDecided,
    Event::HeaderUnsendable,
    Event::ExpertMapPlanned,
    Event::ExpertMapSwitched,
    Event::ExpertMapAbandoned,
    Event::ExpertMapResumed,
    Event::SlowRanksChanged,
    Event::ExpertMapReleased,
    Event::ExpertMapCompleted,
    Event::TargetEndChecked,
    Event::SuspectDecided,
    Event::RunsReported,
    Event::TargetLimitChanged,
    Event::LimitDecided,
    Event::RunLost,
    Event::TargetNoticed,
    Event::EvacuationOrdered,
    Event::EvacuationBegan,
    Event::EvacuationEnded,
    Event::EvacuationConflict,
    Event::TargetsCold,
    Event::ColdRefused,
    Event::ColdShareChanged,
    Event::AdmissionBoundChanged,
    Event::AdmissionDecided,
    Event::PriorityOverloaded,
    Event::MemoryShort,
    Event::BodyLate,
    Event::ConnectionClosed,
    Event::ConnectionsFull,
    Event::TargetReadDropped,
    Event::AwayBegan,
    Event::AwayEnded,
];

/// Logs an event at the given level with its number and fields.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:expr, $($fields:tt)*) => {{
        let event: $crate::events::Event = $event;
        tracing::$level!(event = event.number(), name = ?event, $($fields)*)
    }};
}

//! Numbered log events of the relay; `docs/EVENTS.md` is their catalogue.

/// An event with its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u16)]
pub enum RelayEvent {
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
    /// A target was added or has changed.
    TargetChanged = 506,
    /// An entry was heard, or has fallen silent.
    EntriesChanged = 507,
    /// A request was sent to a target.
    AttemptSent = 510,
    /// An attempt ended.
    AttemptEnded = 511,
    /// A request got its answer.
    RequestAnswered = 512,
    /// The relay answered a request itself.
    RequestRefused = 513,
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
}

impl RelayEvent {
    /// Number of the event.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// All events in the order of their numbers.
pub const RELAY_EVENTS: [RelayEvent; 23] = [
    RelayEvent::RelayStarted,
    RelayEvent::RelayStopping,
    RelayEvent::RelayStopped,
    RelayEvent::ReadinessChanged,
    RelayEvent::RoutesInForce,
    RelayEvent::RoutesUnreadable,
    RelayEvent::TargetChanged,
    RelayEvent::EntriesChanged,
    RelayEvent::AttemptSent,
    RelayEvent::AttemptEnded,
    RelayEvent::RequestAnswered,
    RelayEvent::RequestRefused,
    RelayEvent::CallerLeft,
    RelayEvent::StreamResumed,
    RelayEvent::StreamBroken,
    RelayEvent::StreamEnded,
    RelayEvent::DocumentDecided,
    RelayEvent::AnnouncementRefused,
    RelayEvent::TargetLeaves,
    RelayEvent::ExpertMapPlanned,
    RelayEvent::ExpertMapSwitched,
    RelayEvent::ExpertMapAbandoned,
    RelayEvent::ExpertMapResumed,
];

/// Logs an event at the given level with its number and fields.
#[macro_export]
macro_rules! log_relay {
    ($level:ident, $event:ident, $($fields:tt)*) => {{
        let event = $crate::log::RelayEvent::$event;
        tracing::$level!(event = event.number(), name = ?event, $($fields)*)
    }};
}

//! Ranks of a stand-in engine: they run steps in lock-step, count tokens for each expert and switch expert maps.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::routing::post;
use bilberryloft_coordination::expert_map::Placement;
use bilberryloft_coordination::expert_map::RankMessage;
use bilberryloft_coordination::expert_map::RankSwitch;
use bilberryloft_coordination::expert_map::Shape;
use bilberryloft_protocol::ranks::GroupStatus;
use bilberryloft_protocol::ranks::RankRequest;
use bilberryloft_protocol::ranks::RankResponse;
use bilberryloft_protocol::ranks::SettleRequest;
use bilberryloft_protocol::ranks::SettleResponse;
use bilberryloft_transport::http::HttpClient;
use bytes::Bytes;
use http_body_util::Full;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use serde::Deserialize;
use serde::Serialize;

/// Duration of one step.
const STEP_DURATION: Duration = Duration::from_millis(4);
/// Time to load one expert's weights.
const EXPERT_LOAD_DURATION: Duration = Duration::from_millis(2);
/// Number of steps after which other experts become the popular ones.
const POPULARITY_SHIFT_STEPS: u64 = 250;
/// Number of tokens that one step routes to the most popular expert.
const TOP_EXPERT_TOKENS: f64 = 2_000.0;
/// Pause before a restarted rank repeats its request to the agent.
const SETTLE_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Size of a lock-step group.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RankSettings {
    /// Number of ranks.
    pub ranks: usize,
    /// Number of experts.
    pub experts: usize,
    /// Number of expert slots of each rank.
    pub slots: usize,
}

/// Counts of the steps that a group has run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepCounts {
    /// Number of steps.
    pub steps: u64,
    /// Number of steps in which two ranks used different maps.
    pub mixed: u64,
    /// Number of steps for each version of the map.
    pub by_version: BTreeMap<u64, u64>,
    /// Number of completed restarts of ranks.
    pub restarts: u64,
}

#[derive(Debug)]
struct Inner {
    switches: Vec<RankSwitch>,
    is_down: Vec<bool>,
    incarnations: Vec<u64>,
    maps: BTreeMap<u64, Vec<u16>>,
    tokens: Vec<u64>,
    counts: StepCounts,
}

/// A group of ranks that run each step together.
#[derive(Debug)]
pub struct RankGroup {
    settings: RankSettings,
    incarnation: u64,
    announce_address: String,
    http: HttpClient,
    inner: Mutex<Inner>,
}

impl RankGroup {
    /// Starts a group and the task that runs its steps on the current runtime.
    pub fn spawn(
        settings: RankSettings,
        incarnation: u64,
        announce_address: &str,
    ) -> Arc<RankGroup> {
        let shape =
            Shape { experts: settings.experts, ranks: settings.ranks, slots: settings.slots };
        let first = Placement::in_order(shape);
        let map: Vec<u16> = (0..settings.ranks).flat_map(|it| first.rank(it).to_vec()).collect();
        let inner = Inner {
            switches: (0..settings.ranks).map(|_| RankSwitch::new()).collect(),
            is_down: vec![false; settings.ranks],
            incarnations: vec![1; settings.ranks],
            maps: BTreeMap::from([(0, map)]),
            tokens: vec![0; settings.experts],
            counts: StepCounts::default(),
        };
        let group = Arc::new(RankGroup {
            settings,
            incarnation,
            announce_address: announce_address.to_string(),
            http: HttpClient::new(),
            inner: Mutex::new(inner),
        });
        let stepper = group.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(STEP_DURATION).await;
                stepper.step();
            }
        });
        group
    }

    /// Returns the HTTP routes of the group and its ranks.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/expert_map", get(status))
            .route("/expert_map/steps", get(steps))
            .route("/ranks/{rank}/expert_map", post(handle_rank_request))
            .route("/ranks/{rank}/restart", post(restart))
            .with_state(self.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock()
    }

    /// Runs one step on all ranks, or on none if any rank is down or waits for the decision on a map switch.
    fn step(&self) {
        let mut inner = self.lock();
        let versions: Vec<Option<u64>> =
            inner.switches.iter().map(RankSwitch::version_for_next_step).collect();
        let Some(first) = versions[0] else { return };
        if inner.is_down.contains(&true) || versions.contains(&None) {
            return;
        }
        let is_mixed = versions.iter().any(|it| *it != Some(first));
        inner.counts.steps += 1;
        inner.counts.mixed += u64::from(is_mixed);
        *inner.counts.by_version.entry(first).or_default() += 1;
        let shift = inner.counts.steps / POPULARITY_SHIFT_STEPS;
        let experts = self.settings.experts;
        for place in 0..experts {
            let expert = (place * 7 + shift as usize * 13) % experts;
            inner.tokens[expert] += (TOP_EXPERT_TOKENS / (place + 1) as f64) as u64;
        }
        inner.switches.iter_mut().for_each(RankSwitch::do_step);
    }
}

async fn status(State(group): State<Arc<RankGroup>>) -> Json<GroupStatus> {
    let mut inner = group.lock();
    let tokens = std::mem::replace(&mut inner.tokens, vec![0; group.settings.experts]);
    let version = inner.switches.iter().find_map(RankSwitch::version_for_next_step).unwrap_or(0);
    Json(GroupStatus {
        incarnation: group.incarnation,
        ranks: group.settings.ranks,
        experts: group.settings.experts,
        slots: group.settings.slots,
        map: inner.maps.get(&version).cloned().unwrap_or_default(),
        next_step: inner.switches[0].next_step(),
        tokens,
        undecided: inner.switches.iter().find_map(|it| it.undecided().map(|it| it.0)),
    })
}

async fn steps(State(group): State<Arc<RankGroup>>) -> Json<StepCounts> {
    Json(group.lock().counts.clone())
}

async fn handle_rank_request(
    State(group): State<Arc<RankGroup>>,
    Path(rank): Path<usize>,
    Json(request): Json<RankRequest>,
) -> Result<Json<RankResponse>, StatusCode> {
    if let (RankMessage::Stage { version, .. }, Some(map)) = (request.message, request.map) {
        tokio::time::sleep(EXPERT_LOAD_DURATION * group.settings.slots as u32).await;
        group.lock().maps.insert(version, map);
    }
    let mut inner = group.lock();
    if rank >= group.settings.ranks || inner.is_down[rank] {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let reply = inner.switches[rank].receive(request.message);
    Ok(Json(RankResponse { reply }))
}

/// Stops a rank, and with it the group, and restarts it once the agent has settled any switch that it was armed for.
async fn restart(State(group): State<Arc<RankGroup>>, Path(rank): Path<usize>) -> StatusCode {
    let next_step = {
        let mut inner = group.lock();
        if rank >= group.settings.ranks || inner.is_down[rank] {
            return StatusCode::CONFLICT;
        }
        inner.is_down[rank] = true;
        inner.incarnations[rank] += 1;
        inner.switches[rank].next_step()
    };
    tokio::spawn(async move {
        let response = group.settle(next_step).await;
        let mut inner = group.lock();
        let incarnation = inner.incarnations[rank];
        inner.switches[rank] = RankSwitch::restart(incarnation, next_step, response.settled);
        inner.is_down[rank] = false;
        inner.counts.restarts += 1;
    });
    StatusCode::ACCEPTED
}

impl RankGroup {
    async fn settle(&self, next_step: u64) -> SettleResponse {
        let settle_request = SettleRequest { incarnation: self.incarnation, next_step };
        let body = Bytes::from(serde_json::to_vec(&settle_request).unwrap_or_default());
        loop {
            let request =
                hyper::Request::post(format!("http://{}/ranks/settle", self.announce_address))
                    .header("content-type", "application/json")
                    .body(Full::new(body.clone()));
            if let Ok(request) = request
                && let Ok((200, body)) = self.http.fetch(request).await
                && let Ok(response) = serde_json::from_slice(&body)
            {
                return response;
            }
            tokio::time::sleep(SETTLE_RETRY_PAUSE).await;
        }
    }
}

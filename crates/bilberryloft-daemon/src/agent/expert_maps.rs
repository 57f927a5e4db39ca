//! Planning of the expert map of the target's ranks, and switching the ranks to a new map.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_coordination::expert_map::Costs;
use bilberryloft_coordination::expert_map::Placement;
use bilberryloft_coordination::expert_map::Plan;
use bilberryloft_coordination::expert_map::Popularity;
use bilberryloft_coordination::expert_map::RankMessage;
use bilberryloft_coordination::expert_map::Shape;
use bilberryloft_coordination::expert_map::SwitchPlanner;
use bilberryloft_coordination::expert_map::plan_moves;
use bilberryloft_protocol::ranks::GroupStatus;
use bilberryloft_protocol::ranks::RankRequest;
use bilberryloft_protocol::ranks::RankResponse;
use bilberryloft_state::expert_map_register::Decision;
use bilberryloft_state::expert_map_register::SettleResult;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::Outcome;
use bilberryloft_transport::clock::monotonic_ms;
use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::agent::Agent;
use crate::events::Event;
use crate::log_event;
use crate::settings::ExpertMapSettings;

/// Time for the quorum to respond.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time for a rank to respond, including the time to load weights.
const RANK_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time for one switch, from its first message to its decision.
const SWITCH_TIMEOUT: Duration = Duration::from_millis(20_000);
/// Pause between rounds of messages to the ranks.
const ROUND_PAUSE: Duration = Duration::from_millis(20);
/// Half-life of the token counts per expert, in milliseconds.
const TOKEN_COUNT_HALF_LIFE_MS: u64 = 30_000;

/// Spawns the planner on the current runtime if the settings enable it.
pub fn spawn_expert_map_planner(agent: Arc<Agent>) {
    let Some(settings) = agent.settings.expert_map.clone() else {
        return;
    };
    tokio::spawn(async move {
        let mut planner = GroupPlanner { agent, settings, popularity: None };
        loop {
            tokio::time::sleep(Duration::from_millis(planner.settings.interval_ms)).await;
            planner.plan_and_switch().await;
        }
    });
}

/// Plans and switches the expert map of one group of ranks.
struct GroupPlanner {
    agent: Arc<Agent>,
    settings: ExpertMapSettings,
    /// Incarnation of the group and the token counts of that incarnation.
    popularity: Option<(u64, Popularity)>,
}

impl GroupPlanner {
    /// Aborts a switch that was left undecided, or plans a new map and switches to it if that pays.
    async fn plan_and_switch(&mut self) {
        let Some(target) = self.agent.present_target(monotonic_ms()) else {
            return;
        };
        let Some(status) =
            self.agent.get_from_target::<GroupStatus>(&target.url, "/expert_map").await
        else {
            return;
        };
        let group = self.agent.group_name(status.incarnation);
        if let Some(version) = status.undecided {
            // An earlier planner armed ranks and stopped before the decision; the ranks hold until there is one.
            self.decide(&target.url, &group, status.ranks, version, Decision::Abort, 0).await;
            return;
        }
        if let Some(plan) = self.plan(&status) {
            self.switch(&target.url, &group, &status, plan).await;
        }
    }

    fn plan(&mut self, status: &GroupStatus) -> Option<Plan> {
        let is_same_incarnation =
            self.popularity.as_ref().is_some_and(|it| it.0 == status.incarnation);
        if !is_same_incarnation {
            self.popularity = Some((
                status.incarnation,
                Popularity::new(status.experts, TOKEN_COUNT_HALF_LIFE_MS),
            ));
        }
        let (_, popularity) = self.popularity.as_mut()?;
        popularity.add(&status.tokens, monotonic_ms());
        let shape = Shape { experts: status.experts, ranks: status.ranks, slots: status.slots };
        let current = Placement::from_slots(shape, status.map.clone())?;
        let costs =
            Costs::from_preset(self.settings.preset, self.settings.load_ms, self.settings.stall_ms);
        plan_moves(&current, &popularity.shares(), &costs)
    }

    /// Runs the switch to the planned map: messages to all ranks until there is a decision.
    async fn switch(&self, url: &str, group: &str, status: &GroupStatus, plan: Plan) {
        let command = Command::ExpertMapToken { group: group.to_string() };
        let outcome = self.agent.control.propose(&command, QUORUM_TIMEOUT).await;
        let Ok(Outcome::ExpertMapToken { token, next_version }) = outcome else {
            return;
        };
        let ranks = status.ranks as u64;
        let mut planner =
            SwitchPlanner::new(next_version, token, ranks, self.settings.margin_steps);
        let map: Vec<u16> =
            (0..status.ranks).flat_map(|it| plan.placement.rank(it).to_vec()).collect();
        let until = tokio::time::Instant::now() + SWITCH_TIMEOUT;
        while planner.decision().is_none() {
            if tokio::time::Instant::now() > until {
                planner.give_up();
                break;
            }
            let requests = planner.messages().into_iter().map(|(rank, message)| {
                let is_stage = matches!(message, RankMessage::Stage { .. });
                self.send_rank_request(url, rank, message, is_stage.then(|| map.clone()))
            });
            for (rank, response) in join_all(requests).await {
                if let Some(reply) = response.and_then(|it| it.reply) {
                    planner.receive(rank, reply);
                }
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        let Some(decision) = planner.decision() else {
            return;
        };
        let decided = self.decide(url, group, status.ranks, next_version, decision, token).await;
        let (before, after) = (plan.skew_before, plan.skew_after);
        log_event!(
            info,
            Event::ExpertMapDecided,
            group,
            version = next_version,
            ?decided,
            moves = plan.moves.len(),
            before,
            after
        );
    }

    /// Has the quorum decide a switch and sends the decision to all ranks.
    ///
    /// Returns `None` if the quorum does not respond in time.
    async fn decide(
        &self,
        url: &str,
        group: &str,
        ranks: usize,
        version: u64,
        decision: Decision,
        token: u64,
    ) -> Option<Decision> {
        let command =
            Command::ExpertMapDecide { group: group.to_string(), version, decision, token };
        let outcome = self.agent.control.propose(&command, QUORUM_TIMEOUT).await;
        // Without an outcome the ranks hold, and the next run of the planner asks again.
        let Ok(Outcome::ExpertMapDecision(decision)) = outcome else {
            return None;
        };
        let message = RankMessage::Decided { version, decision };
        join_all((0..ranks as u64).map(|rank| self.send_rank_request(url, rank, message, None)))
            .await;
        Some(decision)
    }

    async fn send_rank_request(
        &self,
        url: &str,
        rank: u64,
        message: RankMessage,
        map: Option<Vec<u16>>,
    ) -> (u64, Option<RankResponse>) {
        let path = format!("/ranks/{rank}/expert_map");
        (rank, self.agent.post_to_target(url, &path, &RankRequest { message, map }).await)
    }
}

impl Agent {
    /// Returns the name of the ranks' group in the replicated state.
    pub(super) fn group_name(&self, incarnation: u64) -> String {
        format!("{}/{incarnation}", self.settings.target)
    }

    /// Has the quorum settle the switches that a restarted rank may have been armed for.
    ///
    /// Returns `None` if the quorum does not respond in time.
    pub(super) async fn settle_rank(
        &self,
        incarnation: u64,
        next_step: u64,
    ) -> Option<SettleResult> {
        let command = Command::ExpertMapSettle { group: self.group_name(incarnation), next_step };
        match self.control.propose(&command, QUORUM_TIMEOUT).await {
            Ok(Outcome::ExpertMapSettled(settled)) => Some(settled),
            Ok(_) | Err(_) => None,
        }
    }

    async fn get_from_target<T: DeserializeOwned>(&self, url: &str, path: &str) -> Option<T> {
        let request = Request::get(format!("{url}{path}")).body(Full::<Bytes>::default()).ok()?;
        self.fetch_json(request).await
    }

    async fn post_to_target<T: DeserializeOwned>(
        &self,
        url: &str,
        path: &str,
        body: &impl Serialize,
    ) -> Option<T> {
        let body = serde_json::to_vec(body).ok()?;
        let request =
            Request::post(format!("{url}{path}")).header("content-type", "application/json");
        self.fetch_json(request.body(Full::new(Bytes::from(body))).ok()?).await
    }

    async fn fetch_json<T: DeserializeOwned>(&self, request: Request<Full<Bytes>>) -> Option<T> {
        let fetched = tokio::time::timeout(RANK_TIMEOUT, self.http.fetch(request)).await;
        match fetched {
            Ok(Ok((200, body))) => serde_json::from_slice(&body).ok(),
            Ok(_) | Err(_) => None,
        }
    }
}

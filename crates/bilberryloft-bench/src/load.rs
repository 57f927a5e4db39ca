//! A load of concurrent streams to one address, timed at the caller.

use std::time::Duration;

use bilberryloft_testing::caller::Caller;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Delay between the starts of two concurrent streams.
const CONNECT_INTERVAL: Duration = Duration::from_millis(1);

/// Measurements of a load.
#[derive(Debug, Default)]
pub struct LoadResult {
    /// Time to the first event of each stream.
    pub first_event_times: Vec<Duration>,
    /// Time to the end of each stream.
    pub stream_times: Vec<Duration>,
    /// Events of the complete streams, one per token and one more per stream, with those of the first round.
    pub events: u64,
    /// Streams that failed or ended early.
    pub failed: u64,
    /// Duration of the load.
    pub elapsed: Duration,
}

/// Load to run.
#[derive(Clone, Debug)]
pub struct Load {
    /// Address of an entry or engine.
    pub address: String,
    /// Number of concurrent streams.
    pub concurrency: usize,
    /// Number of measured streams that each concurrent caller runs one after another.
    pub rounds: usize,
    /// Tokens per stream.
    pub tokens: u64,
}

impl Load {
    /// Runs the load. An additional first round opens the connections; its times are not recorded.
    pub async fn run(&self) -> LoadResult {
        let mut tasks = JoinSet::new();
        let began = Instant::now();
        for number in 0..self.concurrency {
            let load = self.clone();
            tasks.spawn(async move {
                // Connections opened all at once overflow the listener's backlog and are delayed by a second.
                tokio::time::sleep(CONNECT_INTERVAL * number as u32).await;
                load.run_streams(number).await
            });
        }
        let mut total = LoadResult::default();
        while let Some(Ok(task_result)) = tasks.join_next().await {
            total.first_event_times.extend(task_result.first_event_times);
            total.stream_times.extend(task_result.stream_times);
            total.events += task_result.events;
            total.failed += task_result.failed;
        }
        total.elapsed = began.elapsed();
        total
    }

    /// Runs the streams of all rounds one after another.
    async fn run_streams(&self, number: usize) -> LoadResult {
        let caller = Caller::new("depot-token");
        let mut result = LoadResult::default();
        for round in 0..=self.rounds {
            let body = format!(
                "{{\"model\": \"forecast-writer\", \"prompt\": \"p{number}-{round}\", \"stream\": true, \"max_tokens\": {}}}",
                self.tokens
            );
            let began = Instant::now();
            let Ok(mut stream) =
                caller.open_stream(&self.address, "POST", "/v1/completions", &body).await
            else {
                result.failed += 1;
                continue;
            };
            stream.read_events(1).await;
            let first_event_time = began.elapsed();
            let reply = stream.finish().await;
            if !reply.is_complete {
                result.failed += 1;
                continue;
            }
            if round > 0 {
                result.first_event_times.push(first_event_time);
                result.stream_times.push(began.elapsed());
            }
            result.events += self.tokens + 1;
        }
        result
    }
}

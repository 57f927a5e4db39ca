//! A load of concurrent streams against one address, timed at the caller.

use std::time::Duration;

use bilberryloft_testing::caller::Caller;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time between the first connections of two streams.
const CONNECT_EVERY: Duration = Duration::from_millis(1);

/// What a load measured.
#[derive(Debug, Default)]
pub struct Measured {
    /// Time to the first event of each stream.
    pub first: Vec<Duration>,
    /// Time of each whole stream.
    pub whole: Vec<Duration>,
    /// Events that arrived.
    pub events: u64,
    /// Streams that did not end whole.
    pub failed: u64,
    /// Time of the whole load.
    pub elapsed: Duration,
}

/// A load to run.
#[derive(Clone, Debug)]
pub struct Load {
    /// Address of an entry or engine.
    pub address: String,
    /// Streams side by side.
    pub concurrency: usize,
    /// Streams that each of them runs one after another.
    pub rounds: usize,
    /// Tokens of each stream.
    pub tokens: u64,
}

impl Load {
    /// Runs the load; connections are made by a first round that does not count.
    pub async fn run(&self) -> Measured {
        let mut tasks = JoinSet::new();
        let began = Instant::now();
        for number in 0..self.concurrency {
            let load = self.clone();
            tasks.spawn(async move {
                // Connections that all come in one moment overflow the listener's queue and wait a second.
                tokio::time::sleep(CONNECT_EVERY * number as u32).await;
                load.run_one(number).await
            });
        }
        let mut total = Measured::default();
        while let Some(Ok(one)) = tasks.join_next().await {
            total.first.extend(one.first);
            total.whole.extend(one.whole);
            total.events += one.events;
            total.failed += one.failed;
        }
        total.elapsed = began.elapsed();
        total
    }

    async fn run_one(&self, number: usize) -> Measured {
        let caller = Caller::new("depot-token");
        let mut measured = Measured::default();
        for round in 0..=self.rounds {
            let body = format!(
                "{{\"model\": \"forecast-writer\", \"prompt\": \"p{number}-{round}\", \"stream\": true, \"max_tokens\": {}}}",
                self.tokens
            );
            let began = Instant::now();
            let Ok(mut stream) =
                caller.open_stream(&self.address, "POST", "/v1/completions", &body).await
            else {
                measured.failed += 1;
                continue;
            };
            stream.read_events(1).await;
            let first = began.elapsed();
            let reply = stream.finish().await;
            if !reply.is_complete {
                measured.failed += 1;
                continue;
            }
            if round > 0 {
                measured.first.push(first);
                measured.whole.push(began.elapsed());
            }
            measured.events += self.tokens + 1;
        }
        measured
    }
}

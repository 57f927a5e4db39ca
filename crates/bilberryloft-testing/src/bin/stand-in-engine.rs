//! Runs the stand-in engine as a separate process.

use bilberryloft_testing::engine::Engine;
use bilberryloft_testing::engine::EngineSettings;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let path = std::env::args()
        .nth(2)
        .ok_or_else(|| eyre::eyre!("usage: stand-in-engine --settings FILE"))?;
    let settings: EngineSettings = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let _engine = Engine::spawn(settings).await?;
    std::future::pending::<()>().await;
    Ok(())
}

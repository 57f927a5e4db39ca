//! Case: the first configuration has the version 0, is acknowledged, and never comes into force.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use stands_3::fetches::IN_FORCE_AFTER;
use stands_3::fetches::REQUESTS;
use stands_3::fetches::answer;
use stands_3::fetches::config;
use stands_3::fetches::read_back;
use stands_3::fetches::send_all;
use stands_3::fleet::Fleet;
use stands_3::fleet::Settings;
use stands_3::record::Record;
use stands_3::replica::Replica;
use stands_3::text::has_trouble;

/// Version of the first configuration, with the disruption and without it.
const VERSIONS: [u64; 2] = [0, 1];

fn run() -> Result<bool, String> {
    let folder = PathBuf::from(std::env::args().nth(1).ok_or("the folder of the case is missing")?);
    let record = Record::create(&folder).map_err(|it| it.to_string())?;
    let fleet = Fleet::start(Settings::default()).map_err(|it| it.to_string())?;
    let version = VERSIONS[usize::from(!has_trouble())];
    let first = config(version, &["/fetch/"]);
    if !fleet.put_config(&first, Duration::from_secs(20)) {
        record.show(&format!("the first configuration, version {version}, is not acknowledged"));
        return Ok(true);
    }
    record.show(&format!("the first configuration, version {version}, is acknowledged"));
    let start = |zone: &str| Replica::start("board", zone, 6, fleet.controls(), answer(record.clone()));
    let replicas = [start("hall-a"), start("hall-b")];
    let is_ready = fleet.wait_ready(Duration::from_secs(15));
    record.show(&format!("all machines are ready within 15 s: {is_ready}"));
    std::thread::sleep(IN_FORCE_AFTER);
    let (served, _) = send_all(&fleet, &record, "/fetch/1");
    record.show(&format!("{served} of {REQUESTS} requests are served"));
    let is_read = read_back(&fleet, &record, &first);
    record.show(&format!("the configuration is read back: {is_read}"));
    replicas.iter().for_each(|it| it.stop());
    if served == 0 {
        record.show("BROKEN: Fault, no request is served");
    }
    if !is_read {
        record.show("BROKEN: CONFIG, the acknowledged configuration doesn't come");
    }
    Ok(served > 0 && is_read)
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::from(0),
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

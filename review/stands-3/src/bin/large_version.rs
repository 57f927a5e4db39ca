//! Case: a valid configuration whose version is 2 to the power of 63 is acknowledged and never comes into force.

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

/// Version of the second configuration, with the disruption and without it.
const VERSIONS: [u64; 2] = [1 << 63, (1 << 63) - 1];

fn run() -> Result<bool, String> {
    let folder = PathBuf::from(std::env::args().nth(1).ok_or("the folder of the case is missing")?);
    let record = Record::create(&folder).map_err(|it| it.to_string())?;
    let fleet = Fleet::start(Settings::default()).map_err(|it| it.to_string())?;
    let first = config(1, &["/fetch/"]);
    if !fleet.put_config(&first, Duration::from_secs(20)) || !fleet.wait_ready(Duration::from_secs(15)) {
        return Err("the system does not take the first configuration".to_string());
    }
    let start = |zone: &str| Replica::start("board", zone, 6, fleet.controls(), answer(record.clone()));
    let replicas = [start("hall-a"), start("hall-b")];
    std::thread::sleep(Duration::from_secs(4));
    if send_all(&fleet, &record, "/fetch/1").0 < REQUESTS || !read_back(&fleet, &record, &first) {
        return Err("the first configuration is not served".to_string());
    }
    let version = VERSIONS[usize::from(!has_trouble())];
    let second = config(version, &["/fetch/", "/more/"]);
    if !fleet.put_config(&second, Duration::from_secs(10)) {
        record.show(&format!("version {version} is not acknowledged"));
        return Ok(true);
    }
    record.show(&format!("version {version}, which adds the route /more/, is acknowledged"));
    std::thread::sleep(IN_FORCE_AFTER);
    let (served, unknown) = send_all(&fleet, &record, "/more/1");
    record.show(&format!("3 s later: {served} of {REQUESTS} requests on /more/ are served, {unknown} get 404"));
    let is_read = read_back(&fleet, &record, &second);
    record.show(&format!("the configuration is read back: {is_read}"));
    replicas.iter().for_each(|it| it.stop());
    if unknown > 0 {
        record.show("BROKEN: CONFIG, requests are handled as only an older version allows");
    }
    if !is_read {
        record.show("BROKEN: CONFIG, the acknowledged configuration doesn't come");
    }
    Ok(unknown == 0 && is_read)
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

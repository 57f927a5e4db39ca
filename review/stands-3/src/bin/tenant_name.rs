//! Case: a tenant's name ends with a blank, and the requests with its key run under the name of another tenant.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use stands_3::fleet::Fleet;
use stands_3::fleet::Settings;
use stands_3::http;
use stands_3::record::Record;
use stands_3::replica::Answer;
use stands_3::replica::Replica;
use stands_3::text::has_trouble;
use stands_3::text::new_id;

/// Time after an acknowledgement from which a configuration is in force (`config_apply_ms` is 2 s), and some more.
const IN_FORCE_AFTER: Duration = Duration::from_millis(3_000);
/// Requests of each tenant.
const REQUESTS: usize = 30;
const DEADLINE: Duration = Duration::from_millis(4_000);
const FIRST_TENANT: (&str, &str) = ("depot", "n2ctnfzs989anu6wsjnb");
const SECOND_KEY: &str = "anfqasnmgkcuyj8pjbvk";
/// Name of the second tenant, with the disruption and without it.
const SECOND_NAMES: [&str; 2] = ["depot ", "depot-2"];

fn config(version: u64, tenants: &[(&str, &str)]) -> String {
    let tenant = |it: &(&str, &str)| format!("{{\"name\":\"{}\",\"api_keys\":[\"{}\"],\"priority\":1}}", it.0, it.1);
    let tenants: Vec<String> = tenants.iter().map(tenant).collect();
    format!(
        "{{\"version\":{version},\"route_table\":[{{\"name\":\"r-offer\",\"host\":\"site.example\",\
         \"path_prefix\":\"/offer/\",\"kind\":\"unsafe\",\"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":2,\
         \"service\":\"board\",\"max_attempts\":1,\"public\":false}}],\
         \"services\":[{{\"name\":\"board\",\"health_path\":\"/healthz\",\"max_connections\":56}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{}]}}",
        tenants.join(",")
    )
}

/// What the replicas ran: the `Tenant` of each request, with `None` if there was none.
type Runs = Arc<Mutex<Vec<Option<String>>>>;

fn answer(record: Record, runs: Runs) -> Answer {
    Arc::new(move |replica, connection, request| {
        let tenant = request.field("tenant").map(str::to_string);
        let id = request.field("attempt-id").unwrap_or_default();
        record.line(&format!("{} runs {id} with Tenant {tenant:?}", replica.id));
        runs.lock().unwrap().push(tenant);
        let head = replica.head(request, "200 OK");
        connection.write(format!("{head}Content-Length: 4\r\n\r\ndone").as_bytes())?;
        Ok(true)
    })
}

/// Sends requests with a key; returns the tenants under which they ran.
fn send_all(fleet: &Fleet, record: &Record, runs: &Runs, key: &str) -> Vec<Option<String>> {
    runs.lock().unwrap().clear();
    for number in 0..REQUESTS {
        let id = new_id();
        let key = format!("Token {key}");
        let fields = [("Attempt-Id", id.as_str()), ("Deadline-Ms", "4000"), ("Authorization", key.as_str())];
        let request = http::request("POST", "/offer/1", "site.example", &fields, b"an offer");
        let answered = http::call(&fleet.frontend(number % fleet.nodes.len()), &request, DEADLINE);
        record.line(&format!("POST /offer/1 {id} with {key}: {}", answered.map_or(0, |it| it.status())));
    }
    runs.lock().unwrap().clone()
}

fn run() -> Result<bool, String> {
    let folder = PathBuf::from(std::env::args().nth(1).ok_or("the folder of the case is missing")?);
    let record = Record::create(&folder).map_err(|it| it.to_string())?;
    let runs = Runs::default();
    let fleet = Fleet::start(Settings::default()).map_err(|it| it.to_string())?;
    if !fleet.put_config(&config(1, &[FIRST_TENANT]), Duration::from_secs(20))
        || !fleet.wait_ready(Duration::from_secs(15))
    {
        return Err("the system does not take the first configuration".to_string());
    }
    let start = |zone: &str| Replica::start("board", zone, 6, fleet.controls(), answer(record.clone(), runs.clone()));
    let replicas = [start("hall-a"), start("hall-b")];
    std::thread::sleep(Duration::from_secs(4));
    let first = send_all(&fleet, &record, &runs, FIRST_TENANT.1);
    if first.len() < REQUESTS || first.iter().any(|it| it.as_deref() != Some(FIRST_TENANT.0)) {
        return Err("the first configuration is not served".to_string());
    }
    let name = SECOND_NAMES[usize::from(!has_trouble())];
    let second = config(2, &[FIRST_TENANT, (name, SECOND_KEY)]);
    if !fleet.put_config(&second, Duration::from_secs(10)) {
        record.show(&format!("version 2 with the tenant {name:?} is not acknowledged"));
        return Ok(true);
    }
    record.show(&format!("version 2 with the tenants {:?} and {name:?} is acknowledged", FIRST_TENANT.0));
    std::thread::sleep(IN_FORCE_AFTER);
    let second = send_all(&fleet, &record, &runs, SECOND_KEY);
    let foreign = second.iter().filter(|it| it.as_deref() != Some(name)).count();
    record.show(&format!(
        "{} of {REQUESTS} requests with the key of {name:?} ran, {foreign} of them under another name: {:?}",
        second.len(),
        second.first()
    ));
    replicas.iter().for_each(|it| it.stop());
    if foreign > 0 {
        record.show("BROKEN: UNASKED, requests run whose Tenant isn't the tenant that holds the client's key");
    }
    if foreign == 0 && second.len() < REQUESTS {
        return Err("the requests of the second tenant are not served".to_string());
    }
    Ok(foreign == 0)
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

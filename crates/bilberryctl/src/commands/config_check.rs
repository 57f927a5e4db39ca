//! `bilberryctl config check`: checks a routing configuration before it is sent to the control API.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use bilberryloft_platform::config;
use bilberryloft_platform::names;
use bilberryloft_routing::document::Document;
use bilberryloft_routing::document_check::Difference;
use bilberryloft_routing::document_check::Finding;
use bilberryloft_routing::document_check::FindingKind;
use bilberryloft_routing::document_check::find_differences;
use bilberryloft_routing::document_check::find_flaws;
use bilberryloft_routing::document_check::find_old_version;
use bilberryloft_state::error::Error;
use clap::Args;
use serde::Serialize;

use crate::client::AdminClient;
use crate::failure::Failure;
use crate::table::print_json;
use crate::table::print_table;

/// Arguments of the check.
#[derive(Args)]
pub struct ConfigCheck {
    /// File with the configuration.
    file: PathBuf,
    /// Configuration to compare it with: a file, or the address of an entry's control API for the one in force.
    #[arg(long)]
    against: Option<String>,
    /// Memory of the entries' hosts, in megabytes.
    #[arg(long)]
    memory_mb: Option<u64>,
}

/// Result of the check.
#[derive(Serialize)]
struct CheckReport {
    findings: Vec<Finding>,
    /// Differences from the other configuration, if one was given.
    differences: Option<Vec<Difference>>,
}

impl ConfigCheck {
    /// Prints findings and differences; fails as invalid if the control API would reject the configuration.
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let report = self.check()?;
        if json {
            print_json(&report)?;
        } else {
            print_report(&report);
        }
        match report.findings.iter().find(|it| it.is_error()) {
            Some(finding) => Err(Failure::Invalid(finding.text.clone())),
            None => Ok(()),
        }
    }

    fn check(&self) -> Result<CheckReport, Failure> {
        let document = match decode(&read(&self.file)?) {
            Ok(document) => document,
            Err(text) => {
                let object = self.file.display().to_string();
                let finding = Finding { kind: FindingKind::Rejected, object, text };
                return Ok(CheckReport { findings: vec![finding], differences: None });
            }
        };
        let mut findings = find_flaws(&document, self.memory_mb.map(|it| it << 20));
        let in_force = self.against.as_deref().map(read_other).transpose()?;
        let differences = in_force.map(|in_force| {
            findings.extend(find_old_version(&in_force, &document));
            find_differences(&in_force, &document)
        });
        Ok(CheckReport { findings, differences })
    }
}

/// Decodes and checks a configuration as the control API does.
fn decode(bytes: &[u8]) -> Result<Document, String> {
    config::decode(bytes).and_then(Document::checked).map_err(|it| it.to_string())
}

fn read(file: &Path) -> Result<Vec<u8>, Failure> {
    std::fs::read(file).map_err(|it| Failure::File(Error::disk("read", file, it)))
}

/// Reads the configuration to compare with, from an address or a file.
fn read_other(against: &str) -> Result<Document, Failure> {
    let bytes = match against.parse::<SocketAddr>() {
        Ok(_) => AdminClient::new(against)?.get_bytes(names::CONFIG_PATH)?.to_vec(),
        Err(_) => read(Path::new(against))?,
    };
    decode(&bytes).map_err(|it| Failure::Invalid(format!("{against}: {it}")))
}

fn print_report(report: &CheckReport) {
    if report.findings.is_empty() {
        println!("no findings");
    } else {
        let row = |it: &Finding| {
            let level = if it.is_error() { "error" } else { "warning" };
            vec![level.to_string(), it.object.clone(), it.text.clone()]
        };
        let rows: Vec<Vec<String>> = report.findings.iter().map(row).collect();
        print_table(&["LEVEL", "OBJECT", "FINDING"], &rows);
    }
    let Some(differences) = &report.differences else {
        return;
    };
    let row = |it: &Difference| {
        let kind = format!("{:?}", it.kind).to_lowercase();
        vec![kind, it.object.clone(), it.fields.join(", ")]
    };
    let rows: Vec<Vec<String>> = differences.iter().map(row).collect();
    println!("{} differences", rows.len());
    print_table(&["CHANGE", "OBJECT", "FIELDS"], &rows);
}

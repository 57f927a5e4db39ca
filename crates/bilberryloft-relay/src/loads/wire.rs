//! Datagrams between entries: conversion of reports to messages and back.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bilberryloft_protocol::codec::decode_message;
use bilberryloft_protocol::codec::encode_message;
use bilberryloft_protocol::varint::push_number;
use bilberryloft_protocol::varint::take_number;
use bilberryloft_protocol::wire;
use bilberryloft_routing::load_exchange::EntryReport;
use bilberryloft_routing::load_exchange::ReportNumber;
use bilberryloft_routing::load_exchange::ReportedDemand;
use bilberryloft_routing::load_exchange::ReportedTargets;
use bilberryloft_routing::load_exchange::TargetTag;
use bilberryloft_routing::priority_admission::demand::PriorityDemand;
use bilberryloft_routing::target_limits::LimitReport;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_state::suspect::LostRun;

/// Size of the reports from which the next one goes into another datagram, in bytes.
const DATAGRAM_BYTES: usize = 8 << 10;

/// Largest number of lost runs in a report.
pub const LOST_RUNS_MAX: usize = 8;

/// Encodes reports as one or more datagrams.
pub fn encode(reports: &[EntryReport]) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    let mut encoded: Vec<Vec<u8>> = Vec::new();
    let mut bytes = 0;
    for report in reports {
        let report = encode_message(&to_wire(report));
        if bytes + report.len() > DATAGRAM_BYTES && !encoded.is_empty() {
            datagrams.push(encode_message(&wire::LoadDatagram::new(std::mem::take(&mut encoded))));
            bytes = 0;
        }
        bytes += report.len();
        encoded.push(report);
    }
    datagrams.push(encode_message(&wire::LoadDatagram::new(encoded)));
    datagrams
}

/// Decodes a datagram. Reports that can't be read are left out; the others hold.
pub fn decode(bytes: &[u8], sender: SocketAddr) -> Result<Vec<EntryReport>> {
    let peer = sender.to_string();
    let datagram: wire::LoadDatagram = decode_message(bytes, &peer)?;
    let read = |it: &Vec<u8>| {
        let report = decode_message(it, &peer).and_then(|it| from_wire(it, &peer));
        report.inspect_err(|error| tracing::debug!(%error, "ignoring a load report")).ok()
    };
    Ok(datagram.reports.iter().filter_map(read).collect())
}

fn to_wire(report: &EntryReport) -> wire::EntryLoad {
    let targets = &report.targets;
    let failing = targets
        .failing
        .iter()
        .map(|(id, rate)| (id.clone(), i8::try_from(*rate).unwrap_or(i8::MAX)));
    let leaving =
        targets.leaving.iter().map(|(id, incarnation)| (id.clone(), (*incarnation).cast_signed()));
    let slow_ranks = targets.slow_ranks.as_ref().map(|it| {
        it.iter().map(|(id, slowness)| (id.clone(), (*slowness).into())).collect::<BTreeMap<_, _>>()
    });
    let limits = targets.limits.iter().map(|(id, limit)| {
        let per_s = limit.per_s.map(Into::into);
        let limit = wire::ReportedLimit::new(
            per_s,
            limit.incarnation.cast_signed(),
            limit.age_ms.cast_signed(),
        );
        (id.clone(), limit)
    });
    wire::EntryLoad::new(
        report.entry.clone(),
        report.address.to_string(),
        report.data_center.clone(),
        report.number.incarnation.cast_signed(),
        report.number.number.cast_signed(),
        i32::try_from(report.known_entries).unwrap_or(i32::MAX),
        encode_loads(&targets.loads),
        failing.collect::<BTreeMap<_, _>>(),
        slow_ranks,
        limits.collect::<BTreeMap<_, _>>(),
        encode_lost_runs(&targets.lost_runs),
        leaving.collect::<BTreeMap<_, _>>(),
        encode_demand(&targets.demand),
    )
}

fn from_wire(load: wire::EntryLoad, peer: &str) -> Result<EntryReport> {
    let invalid = |detail: &str| Error::protocol("load_report", peer, detail.to_string());
    let limits = load.limits.unwrap_or_default().into_iter().map(|(id, limit)| {
        let report = LimitReport {
            per_s: limit.per_s.map(f64::from),
            incarnation: limit.incarnation.cast_unsigned(),
            age_ms: u64::try_from(limit.age_ms).unwrap_or(0),
        };
        (id, report)
    });
    let slow_ranks =
        load.slow_ranks.map(|it| it.into_iter().map(|(id, it)| (id, f64::from(it))).collect());
    let failing = load.failing.unwrap_or_default().into_iter();
    let leaving = load.leaving.unwrap_or_default().into_iter();
    let targets = ReportedTargets {
        loads: decode_loads(&load.loads).ok_or_else(|| invalid("the loads can't be read"))?,
        failing: failing.map(|(id, rate)| (id, u8::try_from(rate).unwrap_or(0))).collect(),
        slow_ranks,
        limits: limits.collect(),
        leaving: leaving.map(|(id, incarnation)| (id, incarnation.cast_unsigned())).collect(),
        lost_runs: decode_lost_runs(&load.lost_runs.unwrap_or_default()),
        demand: decode_demand(load.demand.unwrap_or_default()),
    };
    let address = load.address.parse().map_err(|_| invalid("the address can't be read"))?;
    let (incarnation, number) = (load.incarnation.cast_unsigned(), load.number.cast_unsigned());
    Ok(EntryReport {
        entry: load.entry,
        address,
        data_center: load.data_center,
        number: ReportNumber { incarnation, number },
        known_entries: usize::try_from(load.known_entries).unwrap_or(0),
        targets,
    })
}

/// Encodes the demand; services and priorities without any are left out.
fn encode_demand(demand: &ReportedDemand) -> Option<Vec<wire::ServiceDemand>> {
    let services = demand.iter().map(|(service, demand)| {
        let priorities = demand.iter().filter(|it| !it.1.is_idle()).map(|(priority, it)| {
            let numbers = [it.running, it.waiting, it.arrivals_per_s];
            let [running, waiting, arrivals] =
                numbers.map(|it| i32::try_from(it).unwrap_or(i32::MAX));
            wire::PriorityDemand::new((*priority).cast_signed(), running, waiting, arrivals)
        });
        wire::ServiceDemand::new(service.clone(), priorities.collect())
    });
    let services: Vec<wire::ServiceDemand> =
        services.filter(|it| !it.priorities.is_empty()).collect();
    (!services.is_empty()).then_some(services)
}

/// Decodes the demand; negative numbers count as 0.
fn decode_demand(services: Vec<wire::ServiceDemand>) -> ReportedDemand {
    let number = |it: i32| u32::try_from(it).unwrap_or(0);
    let services = services.into_iter().map(|service| {
        let priorities = service.priorities.iter().filter_map(|it| {
            let demand = PriorityDemand {
                running: number(it.running),
                waiting: number(it.waiting),
                arrivals_per_s: number(it.arrivals_per_s),
            };
            Some((u8::try_from(it.priority).ok()?, demand))
        });
        (service.service_name, priorities.collect())
    });
    services.collect()
}

fn encode_lost_runs(runs: &[LostRun]) -> Option<Vec<Vec<u8>>> {
    // A lost run consists of numbers and strings, so encoding it cannot fail.
    let encoded = runs.iter().map(|it| serde_json::to_vec(it).unwrap_or_default());
    (!runs.is_empty()).then(|| encoded.collect())
}

/// Decodes lost runs; those that can't be read are left out.
fn decode_lost_runs(encoded: &[Vec<u8>]) -> Vec<LostRun> {
    let read = |it: &Vec<u8>| {
        let run = serde_json::from_slice(it);
        run.inspect_err(|error| tracing::debug!(%error, "ignoring a lost run")).ok()
    };
    encoded.iter().take(LOST_RUNS_MAX).filter_map(read).collect()
}

fn encode_loads(loads: &BTreeMap<TargetTag, u32>) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(5 * loads.len());
    for (tag, load) in loads {
        bytes.extend(tag.0.to_le_bytes());
        push_number(&mut bytes, u64::from(*load));
    }
    bytes
}

fn decode_loads(mut bytes: &[u8]) -> Option<BTreeMap<TargetTag, u32>> {
    let mut loads = BTreeMap::new();
    while !bytes.is_empty() {
        let (tag, rest) = bytes.split_first_chunk()?;
        bytes = rest;
        let load = u32::try_from(take_number(&mut bytes)?).ok()?;
        loads.insert(TargetTag(u32::from_le_bytes(*tag)), load);
    }
    Some(loads)
}

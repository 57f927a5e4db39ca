//! Compares ways to share memory between unfinished bodies under a flood, without a network; see
//! `docs/design/memory.md`. One step is one millisecond.

/// Memory for bodies.
const TOTAL_BYTES: u64 = 26 << 20;
/// Clients of the flood, each with one body that stops short of its end.
const FLOOD: usize = 250;
/// Bytes of such a body.
const FLOOD_BYTES: u64 = (1 << 20) - 100;
/// Bytes that arrive of it in a step.
const FLOOD_BYTES_PER_MS: u64 = 8 << 10;
/// Time after which bodies are dropped as late; longer than the run, so that no deadline helps a policy.
const DEADLINE_MS: u64 = 4_000;
/// Duration of the run.
const RUN_MS: u64 = 2_000;
/// Time between two ordinary bodies.
const ORDINARY_INTERVAL_MS: u64 = 5;
/// Sizes of ordinary bodies, which take turns.
const ORDINARY_BYTES: [u64; 4] = [2 << 10, 20 << 10, 200 << 10, 900 << 10];
/// Bytes that arrive of an ordinary body in a step.
const ORDINARY_BYTES_PER_MS: u64 = 64 << 10;

/// Who loses when there is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// Whoever asks for more.
    Newcomer,
    /// Whoever asks for more than an equal part of the memory for each address.
    FixedParts,
    /// Whoever announces a length for which there is no room; the whole length is reserved at once.
    WholeLength,
    /// The largest body of the address with the most bytes.
    LargestOfLargest,
}

#[derive(Clone, Copy)]
struct Body {
    address: usize,
    is_ordinary: bool,
    begun_ms: u64,
    size: u64,
    held: u64,
    arrived: u64,
}

/// Bodies of one run.
struct Run {
    policy: Policy,
    addresses: usize,
    bodies: Vec<Body>,
    peak_bytes: u64,
}

impl Run {
    fn held(&self) -> u64 {
        self.bodies.iter().map(|it| it.held).sum()
    }

    fn held_by(&self, address: usize) -> u64 {
        self.bodies.iter().filter(|it| it.address == address).map(|it| it.held).sum()
    }

    /// Returns whether a body may hold `bytes` more, after others were dropped for it.
    fn make_room(&mut self, idx: usize, bytes: u64) -> bool {
        let body = self.bodies[idx];
        match self.policy {
            Policy::Newcomer | Policy::WholeLength => self.held() + bytes <= TOTAL_BYTES,
            Policy::FixedParts => {
                let part = TOTAL_BYTES / self.addresses as u64;
                self.held_by(body.address) + bytes <= part
            }
            Policy::LargestOfLargest => self.drop_largest_of_largest(idx, bytes),
        }
    }

    fn drop_largest_of_largest(&mut self, idx: usize, bytes: u64) -> bool {
        let mut held = self.held();
        let mut sums = vec![0; self.addresses];
        self.bodies.iter().for_each(|it| sums[it.address] += it.held);
        while held + bytes > TOTAL_BYTES {
            let size = |it: &usize| (sums[self.bodies[*it].address], self.bodies[*it].held);
            let Some(largest) = (0..self.bodies.len()).max_by_key(size).filter(|it| *it != idx)
            else {
                return false;
            };
            let body = &mut self.bodies[largest];
            held -= body.held;
            sums[body.address] -= body.held;
            // A body of no size is removed at the end of the step.
            (body.held, body.size) = (0, 0);
        }
        true
    }

    /// Lets bytes of all bodies arrive; returns the ordinary ones that ended, by size.
    fn step(&mut self, now_ms: u64) -> Vec<u64> {
        let mut ended = Vec::new();
        for idx in 0..self.bodies.len() {
            let body = self.bodies[idx];
            if body.size == 0 {
                continue;
            }
            let rate = if body.is_ordinary { ORDINARY_BYTES_PER_MS } else { FLOOD_BYTES_PER_MS };
            let arrived = (body.arrived + rate).min(body.size);
            let wanted = if self.policy == Policy::WholeLength { body.size } else { arrived };
            if wanted > body.held && !self.make_room(idx, wanted - body.held) {
                self.bodies[idx].size = 0;
                self.bodies[idx].held = 0;
                continue;
            }
            self.bodies[idx].held = wanted;
            self.bodies[idx].arrived = arrived;
            if body.is_ordinary && arrived == body.size {
                ended.push(body.size);
                self.bodies[idx].size = 0;
            }
        }
        self.peak_bytes = self.peak_bytes.max(self.held());
        self.bodies.retain(|it| it.size > 0 && it.begun_ms + DEADLINE_MS > now_ms);
        ended
    }
}

/// Prints the share of ordinary bodies that ended, by size. The flood comes from one or from many addresses, and its
/// clients come back at once when they are dropped.
fn run(policy: Policy, flood_addresses: usize) {
    let addresses = flood_addresses + ORDINARY_BYTES.len();
    let mut run = Run { policy, addresses, bodies: Vec::new(), peak_bytes: 0 };
    let (mut sent, mut ended) =
        (vec![0_u32; ORDINARY_BYTES.len()], vec![0_u32; ORDINARY_BYTES.len()]);
    for now_ms in 0..RUN_MS {
        let flood = run.bodies.iter().filter(|it| !it.is_ordinary).count();
        for client in flood..FLOOD {
            let address = ORDINARY_BYTES.len() + client % flood_addresses;
            let size = FLOOD_BYTES;
            run.bodies.push(Body {
                address,
                is_ordinary: false,
                begun_ms: now_ms,
                size,
                held: 0,
                arrived: 0,
            });
        }
        if now_ms.is_multiple_of(ORDINARY_INTERVAL_MS) {
            let kind = (now_ms / ORDINARY_INTERVAL_MS) as usize % ORDINARY_BYTES.len();
            let size = ORDINARY_BYTES[kind];
            sent[kind] += 1;
            run.bodies.push(Body {
                address: kind,
                is_ordinary: true,
                begun_ms: now_ms,
                size,
                held: 0,
                arrived: 0,
            });
        }
        for size in run.step(now_ms) {
            if let Some(kind) = ORDINARY_BYTES.iter().position(|it| *it == size) {
                ended[kind] += 1;
            }
        }
    }
    let shares: Vec<String> = sent
        .iter()
        .zip(&ended)
        .map(|(sent, ended)| format!("{:.2}", f64::from(*ended) / f64::from(*sent)))
        .collect();
    let peak_mb = run.peak_bytes as f64 / f64::from(1 << 20);
    println!(
        "{policy:?}, {flood_addresses} addresses: ended {}; peak {peak_mb:.1} MiB",
        shares.join(", ")
    );
}

fn main() {
    println!("ordinary bodies of {ORDINARY_BYTES:?} bytes that ended, as shares");
    let policies =
        [Policy::Newcomer, Policy::FixedParts, Policy::WholeLength, Policy::LargestOfLargest];
    for policy in policies {
        for flood_addresses in [1, 50, 250] {
            run(policy, flood_addresses);
        }
    }
}

//! Compact encoding of a whole expert map, for orders that go through the agents beside the ranks.

use bilberryloft_coordination::expert_map::ExpertId;
use bilberryloft_coordination::expert_map::ExpertSetMap;
use bilberryloft_protocol::varint::push_number;
use bilberryloft_protocol::varint::take_number;

/// Largest number of sets, ranks or experts that a map may name; larger ones are taken for damaged bytes.
const ITEMS_MAX: u64 = u16::MAX as u64;

/// Encodes a map, by set and rank.
pub fn encode(map: &[ExpertSetMap]) -> Vec<u8> {
    let mut bytes = Vec::new();
    push_number(&mut bytes, map.len() as u64);
    for ranks in map {
        push_number(&mut bytes, ranks.len() as u64);
        for experts in ranks {
            push_number(&mut bytes, experts.len() as u64);
            for expert in experts {
                push_number(&mut bytes, u64::from(*expert));
            }
        }
    }
    bytes
}

/// Decodes a map; `None` if the bytes are no map.
pub fn decode(mut bytes: &[u8]) -> Option<Vec<ExpertSetMap>> {
    let bytes = &mut bytes;
    let map = (0..take_size(bytes)?).map(|_| take_set(bytes)).collect::<Option<Vec<_>>>()?;
    bytes.is_empty().then_some(map)
}

fn take_set(bytes: &mut &[u8]) -> Option<ExpertSetMap> {
    (0..take_size(bytes)?).map(|_| take_experts(bytes)).collect()
}

fn take_experts(bytes: &mut &[u8]) -> Option<Vec<ExpertId>> {
    (0..take_size(bytes)?).map(|_| ExpertId::try_from(take_number(bytes)?).ok()).collect()
}

fn take_size(bytes: &mut &[u8]) -> Option<u64> {
    take_number(bytes).filter(|it| *it <= ITEMS_MAX)
}

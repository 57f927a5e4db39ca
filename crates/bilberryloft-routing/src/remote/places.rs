//! Data centres as one entry sees them: distances, regions and the price of bytes between them.

use std::collections::BTreeMap;

use crate::document::Service;
use crate::remote::COST_WITHOUT_PRICE;
use crate::remote::cost::RemotePrice;
use crate::remote::cost::RequestSize;
use crate::remote::cost::cost_requests;

/// Data centres as an entry in one of them sees them.
#[derive(Clone, Debug, Default)]
pub struct Places {
    own: String,
    price: Option<RemotePrice>,
    regions: BTreeMap<String, String>,
    delays_ms: BTreeMap<String, f64>,
}

impl Places {
    /// Creates the view from a data centre, without distances.
    pub fn new(own: &str) -> Places {
        Places { own: own.to_string(), ..Places::default() }
    }

    /// Sets the price of bytes between data centres, and the region of each data centre.
    pub fn set_price(&mut self, price: Option<RemotePrice>, regions: BTreeMap<String, String>) {
        self.price = price;
        self.regions = regions;
    }

    /// Takes over the distances that services name; the largest one counts.
    pub fn set_distances<'a>(&mut self, services: impl Iterator<Item = &'a Service>) {
        self.delays_ms.clear();
        for distance in services.flat_map(|it| &it.distances) {
            let other = match (distance.from == self.own, distance.to == self.own) {
                (true, false) => &distance.to,
                (false, true) => &distance.from,
                (true, true) | (false, false) => continue,
            };
            let known_ms = self.delays_ms.entry(other.clone()).or_default();
            *known_ms = known_ms.max(distance.delay_ms);
        }
    }

    /// Returns the entry's own data centre.
    pub fn own(&self) -> &str {
        &self.own
    }

    /// Returns whether a price is set, so that costs differ by data centre.
    pub fn has_price(&self) -> bool {
        self.price.is_some()
    }

    /// Returns the time to a data centre and back, in milliseconds; 0 if it is not known.
    pub fn round_trip_ms(&self, data_center: &str) -> f64 {
        2.0 * self.delays_ms.get(data_center).copied().unwrap_or(0.0)
    }

    /// Returns the cost of a target in another data centre, in requests.
    pub fn cost_requests(
        &self,
        data_center: &str,
        size: &RequestSize,
        per_request_ms: Option<f64>,
    ) -> f64 {
        let Some(price) = self.price else {
            return COST_WITHOUT_PRICE;
        };
        let is_known = |it: &&String| !it.is_empty();
        let region = |it: &str| self.regions.get(it).filter(is_known);
        let own_region = region(&self.own);
        let is_same_region = own_region.is_none() || own_region == region(data_center);
        let way_ms = self.round_trip_ms(data_center);
        cost_requests(way_ms + price.of_bytes_ms(size.bytes(), is_same_region), per_request_ms)
    }
}

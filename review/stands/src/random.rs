//! Random numbers from a seed.

pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let time = time.map_or(0, |it| it.as_nanos() as u64);
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ time)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut it = self.0;
        it = (it ^ (it >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        it = (it ^ (it >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        it ^ (it >> 31)
    }

    /// Returns a number in 0..1.
    pub fn share(&mut self) -> f64 {
        self.next() as f64 / u64::MAX as f64
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

//! Interning: equal values are stored once and reference-counted.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Key of a value in an [`Interner`]; valid until the last use of the value is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InternKey(u32);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Slot<T> {
    value: T,
    uses: u32,
}

/// Reference-counted values; the slot of a value that is no longer used is reused.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "Vec<Option<Slot<T>>>", into = "Vec<Option<Slot<T>>>")]
#[serde(bound = "T: Ord + Clone + Serialize + serde::de::DeserializeOwned")]
pub struct Interner<T: Ord + Clone> {
    slots: Vec<Option<Slot<T>>>,
    index: BTreeMap<T, InternKey>,
    free: Vec<InternKey>,
}

impl<T: Ord + Clone> Default for Interner<T> {
    fn default() -> Self {
        Interner { slots: Vec::new(), index: BTreeMap::new(), free: Vec::new() }
    }
}

impl<T: Ord + Clone> Interner<T> {
    /// Adds a use of a value and returns its key.
    pub fn acquire(&mut self, value: &T) -> InternKey {
        if let Some(key) = self.index.get(value).copied() {
            if let Some(slot) = &mut self.slots[key.0 as usize] {
                slot.uses += 1;
            }
            return key;
        }
        let slot = Some(Slot { value: value.clone(), uses: 1 });
        let key = match self.free.pop() {
            Some(key) => {
                self.slots[key.0 as usize] = slot;
                key
            }
            None => {
                self.slots.push(slot);
                InternKey(self.slots.len() as u32 - 1)
            }
        };
        self.index.insert(value.clone(), key);
        key
    }

    /// Releases one use of a value; the last one frees its slot.
    pub fn release(&mut self, key: InternKey) {
        let entry = &mut self.slots[key.0 as usize];
        let Some(slot) = entry else { return };
        slot.uses -= 1;
        if slot.uses == 0 {
            self.index.remove(&slot.value);
            *entry = None;
            self.free.push(key);
        }
    }

    /// Value of a key, if it is in use.
    pub fn get(&self, key: InternKey) -> Option<&T> {
        self.slots.get(key.0 as usize)?.as_ref().map(|it| &it.value)
    }

    /// Number of distinct values in use.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether no value is in use.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }
}

impl<T: Ord + Clone> From<Vec<Option<Slot<T>>>> for Interner<T> {
    fn from(slots: Vec<Option<Slot<T>>>) -> Self {
        let mut index = BTreeMap::new();
        let mut free = Vec::new();
        for (number, slot) in slots.iter().enumerate() {
            let key = InternKey(number as u32);
            match slot {
                Some(slot) => drop(index.insert(slot.value.clone(), key)),
                None => free.push(key),
            }
        }
        Interner { slots, index, free }
    }
}

impl<T: Ord + Clone> From<Interner<T>> for Vec<Option<Slot<T>>> {
    fn from(interner: Interner<T>) -> Self {
        interner.slots
    }
}

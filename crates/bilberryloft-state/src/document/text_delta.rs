//! Difference between two texts, as parts that are copied from the earlier one and parts that are inserted.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use serde::Deserialize;
use serde::Serialize;

/// Bytes that end a segment of a text. In JSON, each object and each list ends one.
const SEGMENT_ENDS: [u8; 3] = *b"}]\n";

/// One part of a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Part {
    /// Range of the earlier text, in bytes.
    #[serde(rename = "c")]
    Copy(usize, usize),
    /// New text.
    #[serde(rename = "i")]
    Insert(String),
}

impl Part {
    fn len(&self) -> usize {
        match self {
            Part::Copy(start, end) => end - start,
            Part::Insert(text) => text.len(),
        }
    }

    /// Returns the part from `start` to `end`, counted from its own start; `None` if it doesn't have this range.
    fn range(&self, start: usize, end: usize) -> Option<Part> {
        match self {
            Part::Copy(first, last) if first + end <= *last => {
                Some(Part::Copy(first + start, first + end))
            }
            Part::Copy(..) => None,
            Part::Insert(text) => Some(Part::Insert(text.get(start..end)?.to_string())),
        }
    }
}

/// Change that turns one text into another. Its size depends on what differs, not on the length of the texts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TextDelta {
    parts: Vec<Part>,
}

impl TextDelta {
    /// Returns the change from an empty text to this one.
    pub fn whole(text: &str) -> TextDelta {
        let mut delta = TextDelta::default();
        delta.push(Part::Insert(text.to_string()));
        delta
    }

    /// Returns the change from one text to another. Segments that are moved or repeated are copied, too.
    pub fn between(base: &str, text: &str) -> TextDelta {
        let segments = Segments::of(base);
        let mut delta = TextDelta::default();
        let mut next = 0;
        for segment in split_segments(text) {
            match segments.find(segment, next) {
                Some(idx) => {
                    let (start, end) = segments.range(idx);
                    delta.push(Part::Copy(start, end));
                    next = idx + 1;
                }
                None => delta.push(Part::Insert(segment.to_string())),
            }
        }
        delta
    }

    /// Applies the change to the text that it was made for; `None` if it doesn't fit this text.
    pub fn apply(&self, base: &str) -> Option<String> {
        let mut text = String::with_capacity(self.parts.iter().map(Part::len).sum());
        for part in &self.parts {
            match part {
                Part::Copy(start, end) => text.push_str(base.get(*start..*end)?),
                Part::Insert(inserted) => text.push_str(inserted),
            }
        }
        Some(text)
    }

    /// Returns the change that has the effect of this one followed by `next`; `None` if they don't fit together.
    pub fn then(&self, next: &TextDelta) -> Option<TextDelta> {
        let mut ends = Vec::with_capacity(self.parts.len());
        let mut length = 0;
        for part in &self.parts {
            length += part.len();
            ends.push(length);
        }
        let mut joined = TextDelta::default();
        for part in &next.parts {
            match part {
                Part::Insert(_) => joined.push(part.clone()),
                Part::Copy(start, end) => self.copy_range(&ends, *start, *end, &mut joined)?,
            }
        }
        Some(joined)
    }

    /// Appends the parts that make up a range of the text that this change produces.
    fn copy_range(
        &self,
        ends: &[usize],
        start: usize,
        end: usize,
        target: &mut TextDelta,
    ) -> Option<()> {
        let mut position = start;
        let mut idx = ends.partition_point(|it| *it <= start);
        while position < end {
            let part = self.parts.get(idx)?;
            let part_start = ends[idx] - part.len();
            let until = end.min(ends[idx]);
            target.push(part.range(position - part_start, until - part_start)?);
            position = until;
            idx += 1;
        }
        Some(())
    }

    /// Returns the approximate size of the change in memory, in bytes.
    pub fn bytes(&self) -> usize {
        let inserted = |part: &Part| match part {
            Part::Copy(..) => 0,
            Part::Insert(text) => text.len(),
        };
        self.parts.iter().map(|it| size_of::<Part>() + inserted(it)).sum()
    }

    /// Appends a part, joined to the last one if they are adjacent.
    fn push(&mut self, part: Part) {
        match (self.parts.last_mut(), part) {
            (Some(Part::Copy(_, last)), Part::Copy(start, end)) if *last == start => *last = end,
            (Some(Part::Insert(text)), Part::Insert(more)) => text.push_str(&more),
            (_, part) => self.parts.push(part),
        }
    }
}

/// Segments of a text, in their order and by their hash.
struct Segments<'a> {
    texts: Vec<&'a str>,
    starts: Vec<usize>,
    by_hash: Vec<(u64, usize)>,
}

impl<'a> Segments<'a> {
    fn of(text: &'a str) -> Segments<'a> {
        let texts: Vec<&str> = split_segments(text).collect();
        let mut starts = Vec::with_capacity(texts.len());
        let mut position = 0;
        for segment in &texts {
            starts.push(position);
            position += segment.len();
        }
        let mut by_hash: Vec<_> =
            texts.iter().enumerate().map(|(idx, it)| (hash(it), idx)).collect();
        by_hash.sort_unstable();
        Segments { texts, starts, by_hash }
    }

    /// Returns the first segment at or after `next` with the given text, or else the last one before it.
    fn find(&self, segment: &str, next: usize) -> Option<usize> {
        if self.texts.get(next) == Some(&segment) {
            return Some(next);
        }
        let hash = hash(segment);
        let after = self.by_hash.partition_point(|it| *it < (hash, next));
        let candidates = [Some(after), after.checked_sub(1)].into_iter().flatten();
        let mut found = candidates.filter_map(|it| self.by_hash.get(it));
        found.find(|it| it.0 == hash && self.texts[it.1] == segment).map(|it| it.1)
    }

    /// Returns the start and the end of a segment in the text, in bytes.
    fn range(&self, idx: usize) -> (usize, usize) {
        (self.starts[idx], self.starts[idx] + self.texts[idx].len())
    }
}

fn split_segments(text: &str) -> impl Iterator<Item = &str> {
    text.split_inclusive(|it: char| it.is_ascii() && SEGMENT_ENDS.contains(&(it as u8)))
}

fn hash(segment: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    segment.hash(&mut hasher);
    hasher.finish()
}

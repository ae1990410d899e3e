use super::KeyedRecord;

/// The most bytes that the framing of the store adds to the key and the value of a record.
const FRAME_MAX_BYTES: usize = 16;

/// The limits of the store on the size of what is appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// The largest size of one record, in bytes.
    pub record_max_bytes: usize,
    /// The largest size of all records of one append, in bytes.
    pub append_max_bytes: usize,
}

impl Default for StoreLimits {
    /// Returns the limits that the platform documents.
    fn default() -> Self {
        Self {
            record_max_bytes: 256 << 10,
            append_max_bytes: 2 << 20,
        }
    }
}

impl StoreLimits {
    /// Returns the size of a record as the store counts it, or a little more.
    pub fn size_bytes(record: &KeyedRecord) -> usize {
        FRAME_MAX_BYTES + record.key.len() + record.value.len()
    }

    /// Returns the largest size of the value that a record with this key may have, in bytes.
    pub fn value_max_bytes(&self, key: &str) -> usize {
        self.record_max_bytes
            .saturating_sub(FRAME_MAX_BYTES + key.len())
    }

    /// Returns whether the store takes a record.
    pub fn permits(&self, record: &KeyedRecord) -> bool {
        Self::size_bytes(record) <= self.record_max_bytes
    }

    /// Splits records into the appends that the store takes, in order. A record that is too large for any
    /// append gets one of its own.
    pub fn split<'r>(&self, mut records: &'r [KeyedRecord]) -> Vec<&'r [KeyedRecord]> {
        let mut appends = Vec::new();
        while !records.is_empty() {
            let mut left_bytes = self.append_max_bytes;
            let fitting = records.iter().take_while(|record| {
                let size_bytes = Self::size_bytes(record);
                let fits = size_bytes <= left_bytes;
                left_bytes = left_bytes.saturating_sub(size_bytes);
                fits
            });
            let (append, rest) = records.split_at(fitting.count().max(1));
            appends.push(append);
            records = rest;
        }
        appends
    }
}
